#include "fuchsialb/Base.h"
#include "tests/support/FleetDataCentre.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

const EndpointId runner { "r" };
constexpr std::int64_t startedAt = 1000;
constexpr Duration stepTime = 10ms;

/// Hosts with requests for a runner that names a limit; its answers arrive with the next step.
class LimitedRunner {
public:
    LimitedRunner(FleetDataCentre& hosts, double limit, std::uint64_t seed)
        : m_hosts(hosts)
        , m_limit(limit)
        , m_random(seed)
    {
        RunnerEntry entry;
        entry.id = runner;
        entry.startedAt = startedAt;
        for (const auto& host : m_hosts.hosts)
            host->runners.put(entry);
    }

    /// Requests a second of each host by its index.
    std::function<double(std::size_t index, Duration elapsed)> demand;
    /// Urgency of a request.
    std::function<std::uint32_t(Random&)> urgency = [](Random&) { return 1U; };

    void setLimit(std::optional<double> limit) { m_limit = limit; }

    void run(Duration time)
    {
        for (Duration end = m_elapsed + time; m_elapsed < end; m_elapsed += stepTime) {
            for (std::size_t i = 0; i < m_hosts.hosts.size(); ++i)
                offer(i);
            if (m_elapsed % 100ms == 0ms)
                m_hosts.step();
        }
    }

    /// \return The most arrivals in four seconds since the time `from` of the run.
    std::size_t mostInFourSeconds(Duration from) const
    {
        std::size_t most = 0;
        std::deque<Duration> window;
        for (const Duration at : m_arrivals) {
            if (at < from)
                continue;
            window.push_back(at);
            while (at - window.front() >= 4s)
                window.pop_front();
            most = std::max(most, window.size());
        }
        return most;
    }

    double rate(Duration from, Duration to) const
    {
        const auto count
            = std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](Duration at) { return at >= from && at < to; });
        return static_cast<double>(count) / std::chrono::duration<double>(to - from).count();
    }

    std::map<std::uint32_t, std::size_t> asked;
    std::map<std::uint32_t, std::size_t> admitted;

private:
    void offer(std::size_t index)
    {
        Host& host = *m_hosts.hosts[index];
        const double chance = demand(index, m_elapsed) * std::chrono::duration<double>(stepTime).count();
        if (!m_hosts.isAlive(host.id) || !m_random.chance(chance))
            return;
        const TimePoint now = m_hosts.now;
        const std::uint32_t rank = urgency(m_random);
        ++asked[rank];
        if (!host.rateAdmission.admit({ host.rateLimits, host.ledger, host.directory }, runner, startedAt, rank, now))
            return;
        ++admitted[rank];
        m_arrivals.push_back(m_elapsed);
        const auto named = m_limit ? std::optional(RequestsPerSecond(*m_limit)) : std::nullopt;
        host.rateLimits.recordResponse(runner, startedAt, named, now, now + 1ms);
    }

    FleetDataCentre& m_hosts;
    std::optional<double> m_limit;
    Random m_random;
    Duration m_elapsed { 0 };
    std::vector<Duration> m_arrivals;
};

/// The most that may arrive in four seconds: one and a half times the limit, and five.
std::size_t allowed(double limit) { return static_cast<std::size_t>(1.5 * 4 * limit) + 5; }

} // namespace

// Guards against a limit that each host keeps for itself, so that many hosts together break it.
TEST_CASE("All hosts together send a runner no more requests than it takes")
{
    const std::size_t count = GENERATE(4U, 18U, 60U);
    const double limit = GENERATE(2.0, 8.9);
    const std::uint64_t seed = count;
    CAPTURE(count, limit, seed);
    FleetDataCentre hosts(count);
    hosts.run(3s);
    LimitedRunner load(hosts, limit, seed);
    const double total = 20;
    // Of few requests, the number in a span varies more.
    const double minUse = limit < 4 ? 0.5 : 0.75;

    SECTION("of which all hosts have equally many")
    {
        load.demand = [&](std::size_t, Duration) { return total / static_cast<double>(count); };
        load.run(20s);
        CHECK(load.mostInFourSeconds(3s) <= allowed(limit));
        CHECK(load.rate(4s, 20s) >= minUse * limit);
    }

    SECTION("of which a few hosts have most")
    {
        load.demand = [&](std::size_t index, Duration) {
            return index < 2 ? total * 0.4 : total * 0.2 / static_cast<double>(count - 2);
        };
        load.run(20s);
        CHECK(load.mostInFourSeconds(3s) <= allowed(limit));
        CHECK(load.rate(4s, 20s) >= minUse * limit);
    }

    SECTION("when their number doubles")
    {
        load.demand = [&](std::size_t, Duration elapsed) {
            return (elapsed < 10s ? total : 2 * total) / static_cast<double>(count);
        };
        load.run(20s);
        CHECK(load.mostInFourSeconds(3s) <= allowed(limit));
    }

    SECTION("when hosts end and others take their requests")
    {
        load.demand = [&](std::size_t, Duration) { return total / static_cast<double>(count); };
        load.run(8s);
        for (std::size_t i = 0; i < count / 2; ++i)
            hosts.kill(hosts.hosts[i]->id);
        load.demand = [&](std::size_t, Duration) { return 2 * total / static_cast<double>(count); };
        load.run(12s);
        CHECK(load.mostInFourSeconds(3s) <= allowed(limit));
    }

    SECTION("when the limit ends")
    {
        load.demand = [&](std::size_t, Duration) { return total / static_cast<double>(count); };
        load.run(10s);
        load.setLimit(std::nullopt);
        load.run(10s);
        CHECK(load.rate(14s, 20s) >= 0.8 * total);
    }
}

// Guards against urgent requests that are turned away for less urgent ones, and against ranks that get nothing.
TEST_CASE("Within a limit on requests, urgent ones go first and each rank keeps a part")
{
    const std::size_t count = GENERATE(4U, 18U);
    CAPTURE(count);
    FleetDataCentre hosts(count);
    hosts.run(3s);
    LimitedRunner load(hosts, 8, 1);
    load.demand = [&](std::size_t, Duration) { return 20 / static_cast<double>(count); };
    load.urgency = [](Random& random) { return random.chance(0.3) ? 0U : 2U; };
    load.run(30s);
    const auto share = [&](std::uint32_t rank) {
        return static_cast<double>(load.admitted[rank]) / static_cast<double>(load.asked[rank]);
    };
    CHECK(share(0) > 0.6);
    CHECK(share(2) > 0.08);
    CHECK(load.mostInFourSeconds(3s) <= allowed(8));
}

// Guards against a runner that takes no requests at all and can therefore never say that it takes some again.
TEST_CASE("A limit of zero leaves a few requests by which its end is learnt")
{
    FleetDataCentre hosts(18);
    hosts.run(3s);
    LimitedRunner load(hosts, 0, 1);
    load.demand = [&](std::size_t, Duration) { return 1.0; };
    load.run(20s);
    CHECK(load.mostInFourSeconds(3s) <= 5);
    CHECK(load.rate(4s, 20s) > 0);
    load.setLimit(std::nullopt);
    load.run(20s);
    CHECK(load.rate(32s, 40s) > 10);
}

// Guards against hosts that don't hear of each other and each take the whole limit for themselves.
TEST_CASE("Hosts that don't hear from others leave them their part of a limit")
{
    FleetDataCentre hosts(6);
    hosts.run(3s);
    LimitedRunner load(hosts, 6, 1);
    load.demand = [&](std::size_t, Duration) { return 10.0; };
    load.run(5s);
    for (const auto& from : hosts.hosts) {
        for (const auto& to : hosts.hosts)
            hosts.cut(from->id, to->id);
    }
    load.run(15s);
    CHECK(load.mostInFourSeconds(8s) <= allowed(6));
}

// Guards against a share of each host that is too small to admit anything, or is rounded up at each of them.
TEST_CASE("Hundreds of hosts with few requests each send a runner no more than it takes")
{
    FleetDataCentre hosts(300);
    hosts.run(3s);
    LimitedRunner load(hosts, 2, 1);
    load.demand = [&](std::size_t, Duration) { return 20.0 / 300; };
    load.run(12s);
    CHECK(load.mostInFourSeconds(3s) <= allowed(2));
    CHECK(load.rate(4s, 12s) > 0.5);
}

// Guards against beats that grow with each runner that has ever named a limit.
TEST_CASE("Limits of runners that are gone, or of their former processes, aren't passed on")
{
    Host from("a", "east");
    Host to("b", "east");
    const TimePoint now { 100s };
    from.directory.put(to.registration(), now);
    RunnerEntry entry;
    entry.id = runner;
    entry.startedAt = startedAt;
    from.runners.put(entry);
    from.rateLimits.recordResponse(runner, startedAt, RequestsPerSecond(5), now, now);
    const auto limitsInBeat = [&](TimePoint at) {
        const auto beats = from.beats.dueBeats(at, at.time_since_epoch(), false, "");
        REQUIRE(beats.size() == 1);
        return beats.front().beat.rateLimits.size();
    };
    CHECK(limitsInBeat(now) == 1);

    SECTION("when the runner is gone")
    {
        from.runners.remove(runner);
        CHECK(limitsInBeat(now + 1s) == 0);
    }

    SECTION("when it has started again")
    {
        entry.startedAt = startedAt + 1;
        from.runners.put(entry);
        CHECK(limitsInBeat(now + 1s) == 0);
    }
}
