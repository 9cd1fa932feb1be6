#include "fuchsialb/Base.h"
#include "tests/support/FleetDataCentre.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

const EndpointId runner { "r" };
constexpr std::int64_t firstStart = 1000;

RunnerEntry entry(std::int64_t startedAt, bool draining = false)
{
    RunnerEntry made;
    made.id = runner;
    made.address = "10.0.0.1:80";
    made.dataCentre = DataCentreId("east");
    made.service = TargetId("plain");
    made.draining = draining;
    made.startedAt = startedAt;
    return made;
}

} // namespace

// Guards against requests to a runner that has said that it leaves, while the registry still calls it ready.
TEST_CASE("A runner that has said that it leaves is not used again before it has started anew")
{
    const TimePoint now { 10s };
    RunnerDirectory directory;
    directory.put(entry(firstStart));
    REQUIRE(directory.find(runner)->usable(now));
    CHECK(directory.recordLeaving({ runner, firstStart }));
    CHECK_FALSE(directory.find(runner)->usable(now));

    SECTION("though it says so in every response")
    {
        CHECK_FALSE(directory.recordLeaving({ runner, firstStart }));
        CHECK_FALSE(directory.find(runner)->usable(now));
    }

    SECTION("though the registry goes on to call it ready")
    {
        directory.put(entry(firstStart));
        CHECK_FALSE(directory.find(runner)->usable(now));
        directory.replaceAll({ entry(firstStart) });
        CHECK_FALSE(directory.find(runner)->usable(now));
    }

    SECTION("though the registry came back from an older copy and names it again")
    {
        directory.remove(runner);
        directory.put(entry(firstStart));
        CHECK_FALSE(directory.find(runner)->usable(now));
    }

    SECTION("though it reports its state")
    {
        directory.recordReport(runner, 3, {}, firstStart);
        CHECK_FALSE(directory.find(runner)->usable(now));
    }

    SECTION("until the registry names a later start")
    {
        directory.put(entry(firstStart + 1));
        CHECK(directory.find(runner)->usable(now));

        SECTION("which a late statement of the former process doesn't change")
        {
            CHECK_FALSE(directory.recordLeaving({ runner, firstStart }));
            CHECK(directory.find(runner)->usable(now));
        }
    }

    SECTION("until it reports a later start itself")
    {
        directory.recordReport(runner, 0, {}, firstStart + 1);
        CHECK(directory.find(runner)->usable(now));
    }

    SECTION("and is named to other hosts as long as the registry doesn't say so")
    {
        CHECK(directory.leavingAheadOfRegistry() == std::vector<RunnerLeaving> { { runner, firstStart } });
        directory.put(entry(firstStart, true));
        CHECK(directory.leavingAheadOfRegistry().empty());
    }

    SECTION("and a runner that isn't known is none")
    {
        CHECK_FALSE(directory.recordLeaving({ EndpointId("other"), firstStart }));
        CHECK(directory.leavingAheadOfRegistry().size() == 1);
    }
}

// Guards against hosts that have to be told by the runner one by one.
TEST_CASE("All hosts of a data centre hear that a runner has told one of them that it leaves")
{
    const std::size_t count = GENERATE(3U, 36U, 100U);
    CAPTURE(count);
    FleetDataCentre dataCentre(count);
    for (const auto& host : dataCentre.hosts)
        host->runners.put(entry(firstStart));
    dataCentre.run(3s);
    const auto hostsThatUseIt = [&] {
        return std::count_if(dataCentre.hosts.begin(), dataCentre.hosts.end(),
            [&](const auto& host) { return host->runners.find(runner)->usable(dataCentre.now); });
    };
    dataCentre.hosts.back()->runners.recordLeaving({ runner, firstStart });
    dataCentre.run(1s);
    CHECK(hostsThatUseIt() == 0);

    SECTION("and use it again after it has started anew, though hosts that don't know of that still name it")
    {
        for (std::size_t i = 0; i < count; i += 2)
            dataCentre.hosts[i]->runners.put(entry(firstStart + 1));
        dataCentre.run(1s);
        CHECK(hostsThatUseIt() == static_cast<std::ptrdiff_t>((count + 1) / 2));
    }
}

// Guards against requests to a runner that has asked this host for a rest.
TEST_CASE("A runner that wants no requests for a while gets none")
{
    const TimePoint now { 10s };
    const TargetId plain { "plain" };
    RunnerDirectory directory;
    directory.put(entry(firstStart));
    directory.recordRest(runner, now, 2s, 0);
    CHECK_FALSE(directory.find(runner)->usable(now));
    CHECK_FALSE(directory.find(runner)->usable(now + 1999ms));
    CHECK(directory.find(runner)->usable(now + 2s));
    CHECK(directory.earliestRestEnd(plain, now) == now + 2s);
    CHECK_FALSE(directory.hasUsable(plain, now));

    SECTION("also if it has answered another request meanwhile")
    {
        directory.recordSuccess(runner, now + 1s);
        CHECK_FALSE(directory.find(runner)->usable(now + 1s));
    }

    SECTION("also if it has named a shorter time since")
    {
        directory.recordRest(runner, now + 1s, 100ms, 0.5);
        CHECK_FALSE(directory.find(runner)->usable(now + 1500ms));
    }

    SECTION("and other runners of the service are used")
    {
        RunnerEntry other = entry(firstStart);
        other.id = EndpointId("s");
        directory.put(other);
        CHECK(directory.hasUsable(plain, now));
    }

    SECTION("and a start under the same id ends the rest")
    {
        directory.put(entry(firstStart + 1));
        CHECK(directory.find(runner)->usable(now));
    }

    SECTION("and the time is bounded")
    {
        CHECK(directory.recordRest(runner, now, std::chrono::hours(100), 0) == 5min);
        CHECK(directory.find(runner)->usable(now + 5min));
    }

    SECTION("and hosts that were told the same time at once come back one after the other, none of them early")
    {
        constexpr int hosts = 300;
        constexpr Duration window = 20ms;
        std::map<Duration::rep, int> returns;
        Random random(1);
        for (int i = 0; i < hosts; ++i) {
            const Duration rest = directory.recordRest(runner, now, 2s, random.unit());
            CHECK(rest >= 2s);
            CHECK(rest <= 2400ms);
            ++returns[rest / window];
        }
        for (const auto& [index, count] : returns)
            CHECK(count < hosts / 5);
    }
}
