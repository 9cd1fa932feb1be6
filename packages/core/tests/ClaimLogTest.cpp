#include "fuchsialb/Claims.h"
#include "tests/support/ClaimHistory.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace fuchsialb;
using internal::ClaimFault;

namespace {

std::uint64_t seedCount()
{
    const char* text = std::getenv("FUCHSIALB_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : 1000;
}

} // namespace

// Guards P4: a key that runs twice, an answer "not run" for a request that runs, and claims that are never answered.
TEST_CASE("No claim is granted twice, whatever the store and the writers go through")
{
    std::size_t granted = 0;
    std::size_t unavailable = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        ClaimHistory history(seed);
        history.run();
        INFO("seed " << seed);
        if (!history.checker().violations().empty())
            FAIL(history.checker().violations().front());
        if (!history.becameIdle())
            FAIL("a log did not become idle");
        granted += history.checker().count(ClaimVerdict::Granted);
        unavailable += history.checker().count(ClaimVerdict::Unavailable);
    }
    // A history in which nothing is granted or given up would show nothing.
    CHECK(granted > 10 * seedCount());
    CHECK(unavailable > seedCount());
}

// Guards against a checker that accepts everything.
TEST_CASE("The checker notices deliberate faults")
{
    const auto [name, fault] = GENERATE(table<std::string, ClaimFault>({
        { "grant before write", ClaimFault::GrantBeforeWrite },
        { "lost is success", ClaimFault::LostIsSuccess },
        { "lost is failure", ClaimFault::LostIsFailure },
        { "no read on conflict", ClaimFault::NoReadOnConflict },
        { "write into sealed", ClaimFault::WriteIntoSealed },
        { "skip older segments", ClaimFault::SkipOlderSegments },
        { "release unknown", ClaimFault::ReleaseUnknown },
        { "claim over foreign", ClaimFault::ClaimOverForeign },
        { "grant abandoned", ClaimFault::GrantAbandoned },
    }));
    DYNAMIC_SECTION(name)
    {
        constexpr std::uint64_t maxSeeds = 200;
        std::uint64_t seed = 1;
        std::string noticed;
        for (; seed <= maxSeeds && noticed.empty(); ++seed) {
            ClaimHistory history(seed, fault);
            history.run();
            if (!history.checker().violations().empty())
                noticed = history.checker().violations().front();
        }
        INFO(name << " noticed after " << seed - 1 << " seeds: " << noticed);
        CHECK_FALSE(noticed.empty());
    }
}
