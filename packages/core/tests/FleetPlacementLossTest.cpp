#include "tests/support/FleetSamples.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;
using namespace fuchsialb::test;

// Guards against healthy runners that load other layers because one host couldn't reach a runner for a moment.
TEST_CASE("The layers of a runner are placed elsewhere once the placing host finds it dead itself")
{
    const EngineProfile engine = fleetEngine();
    RunnerDirectory directory;
    const LoadLedger ledger;
    for (const RunnerEntry& entry : placedEntries(4))
        directory.put(entry);
    PlacementDriver driver(DataCentreId("east"), fleetService());
    TimePoint now { 100s };
    const auto nextOrders = [&] { return driver.nextOrders(directory, ledger, engine, now, 1s); };
    const EndpointId runner("east-1");
    CHECK(nextOrders().empty());
    now += 10s;
    CHECK(nextOrders().empty());

    SECTION("and not because another host did")
    {
        directory.markDeadByPeer(runner, now, 3s);
        REQUIRE_FALSE(directory.find(runner)->usable(now));
        CHECK(nextOrders().empty());
        now += 2s;
        CHECK(nextOrders().empty());

        SECTION("until it finds that itself")
        {
            directory.markDead(runner, now, 3s);
            CHECK_FALSE(nextOrders().empty());
        }
    }

    SECTION("at once, when it found that first")
    {
        directory.markDead(runner, now, 3s);
        CHECK_FALSE(nextOrders().empty());
    }
}
