#include "fuchsialb/Control.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;
using namespace std::chrono_literals;

// Guards against a rollout that takes too much capacity away or goes on with a version that fails.
TEST_CASE("A rollout moves a group in steps and stops when the new version is worse")
{
    ManualClock clock;
    std::vector<RolloutEndpoint> endpoints;
    for (int i = 0; i < 10; ++i)
        endpoints.push_back({ EndpointId("e" + std::to_string(i)), i < 2 ? 2.0 : 1.0 });
    Rollout rollout = Rollout::create(endpoints, {}, clock).value();

    SECTION("no more than the stated fraction is away at a time, until all are done")
    {
        std::size_t ordered = 0;
        for (int round = 0; round < 20 && rollout.state() == Rollout::State::Going; ++round) {
            const auto orders = rollout.takeOrders();
            CHECK(rollout.fractionAway() <= 0.25);
            ordered += orders.size();
            for (const EndpointId& endpoint : orders)
                rollout.onOrderDone(endpoint, true);
            CHECK(rollout.takeOrders().empty());
            clock.advance(30s);
        }
        CHECK(rollout.state() == Rollout::State::Complete);
        CHECK(ordered == 10);
    }

    SECTION("it stops when the new version fails more often by over the margin, and not before")
    {
        const auto first = rollout.takeOrders();
        REQUIRE_FALSE(first.empty());
        for (const EndpointId& endpoint : first)
            rollout.onOrderDone(endpoint, true);
        for (int i = 0; i < 1000; ++i)
            rollout.onRequest(false, i % 100 == 0);
        // 1% old; 3% new is within the margin of 2 points, one failure more is not.
        for (int i = 0; i < 100; ++i)
            rollout.onRequest(true, i < 3);
        CHECK(rollout.state() == Rollout::State::Going);
        rollout.onRequest(true, true);
        CHECK(rollout.state() == Rollout::State::Stopped);
        clock.advance(60s);
        CHECK(rollout.takeOrders().empty());
    }

    SECTION("a failed order stops it, and one endpoint above the fraction is refused")
    {
        rollout.onOrderDone(rollout.takeOrders().front(), false);
        CHECK(rollout.state() == Rollout::State::Stopped);
        endpoints[0].capacity = 9;
        CHECK(reasonOf(Rollout::create(endpoints, {}, clock).status()) == Reason::InvalidInput);
    }
}
