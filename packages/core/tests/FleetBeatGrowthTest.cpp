#include "tests/support/FleetDataCentre.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

/// Beats that a host sends and receives in a second: the busiest host, and the mean over all.
struct BeatRate {
    std::size_t most = 0;
    double mean = 0;
};

BeatRate beatRate(std::size_t hostCount)
{
    constexpr int seconds = 2;
    FleetDataCentre dataCentre(hostCount);
    // By then each host knows which others are alive.
    dataCentre.run(4s);
    dataCentre.messages.clear();
    dataCentre.run(std::chrono::seconds(seconds));
    BeatRate rate;
    std::size_t total = 0;
    for (const auto& [host, count] : dataCentre.messages) {
        rate.most = std::max(rate.most, count / seconds);
        total += count / seconds;
    }
    rate.mean = static_cast<double>(total) / static_cast<double>(hostCount);
    return rate;
}

} // namespace

// Guards against hosts of a large data centre that spend their processor time on beats.
TEST_CASE("The beats of a host grow with the square root of the hosts at most")
{
    // A host may spend 3 % of a core on control. A beat sent or received takes 57 us on the users' hosts.
    constexpr std::size_t maxMessages = 526;
    const BeatRate small = beatRate(18);
    for (const std::size_t hostCount : { 36U, 107U, 300U }) {
        CAPTURE(hostCount);
        const BeatRate rate = beatRate(hostCount);
        const double growth = std::sqrt(static_cast<double>(hostCount) / 18);
        CHECK(rate.most <= maxMessages);
        CHECK(rate.mean <= small.mean * growth);
    }
}
