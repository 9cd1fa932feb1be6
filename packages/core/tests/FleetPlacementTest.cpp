#include "tests/support/FleetSamples.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

/// Applies steps as if the runners had executed them.
void apply(std::vector<PlacementNode>& nodes, const std::vector<PlacementStep>& steps)
{
    for (const PlacementStep& step : steps) {
        for (PlacementNode& node : nodes) {
            if (node.runner == step.runner)
                node.layers = step.layers;
        }
    }
}

bool fits(const std::vector<PlacementNode>& nodes, const std::vector<PlacementStep>& steps, const EngineProfile& engine)
{
    return std::all_of(steps.begin(), steps.end(), [&](const PlacementStep& step) {
        const auto node = std::find_if(nodes.begin(), nodes.end(),
            [&](const PlacementNode& candidate) { return candidate.runner == step.runner; });
        return step.layers.count() <= engine.maxLayers(*engine.accelerator(node->accelerator));
    });
}

} // namespace

// Guards against layers that no runner holds, and against ranges that exceed a runner's memory.
TEST_CASE("Runners of a data centre get all layers of a model")
{
    const EngineProfile engine = fleetEngine();
    std::vector<PlacementNode> nodes = fleetNodes();

    SECTION("an empty fleet holds each layer once, within its memory")
    {
        const auto steps = PlacementPlanner::plan(nodes, engine);
        CHECK(fits(nodes, steps, engine));
        apply(nodes, steps);
        CHECK_FALSE(PlacementPlanner::hasGap(nodes, engine));
        std::uint32_t held = 0;
        for (const PlacementNode& node : nodes)
            held += node.layers.count();
        CHECK(held == engine.layers);

        SECTION("and nothing more is ordered") { CHECK(PlacementPlanner::plan(nodes, engine).empty()); }

        SECTION("the layers of a lost small runner go to its neighbours")
        {
            nodes.erase(nodes.begin() + 5);
            const auto repair = PlacementPlanner::plan(nodes, engine);
            CHECK(repair.size() <= 2);
            CHECK(fits(nodes, repair, engine));
            apply(nodes, repair);
            CHECK_FALSE(PlacementPlanner::hasGap(nodes, engine));
        }

        SECTION("the layers of a lost runner go to an empty runner if there is one")
        {
            nodes.erase(nodes.begin() + 5);
            nodes.push_back({ EndpointId("new"), AcceleratorKindId("middle"), {} });
            const auto repair = PlacementPlanner::plan(nodes, engine);
            REQUIRE(repair.size() == 1);
            CHECK(repair.front().runner == EndpointId("new"));
            apply(nodes, repair);
            CHECK_FALSE(PlacementPlanner::hasGap(nodes, engine));
        }

        SECTION("the loss of the largest runner, at the end of the model, requires a new layout")
        {
            nodes.erase(nodes.begin());
            REQUIRE(PlacementPlanner::hasGap(nodes, engine));
            const auto repair = PlacementPlanner::relayout(nodes, engine);
            CHECK(fits(nodes, repair, engine));
            apply(nodes, repair);
            CHECK_FALSE(PlacementPlanner::hasGap(nodes, engine));
        }

        SECTION("an empty runner replicates layers when there is no gap")
        {
            nodes.push_back({ EndpointId("new"), AcceleratorKindId("small"), {} });
            const auto more = PlacementPlanner::plan(nodes, engine);
            REQUIRE(more.size() == 1);
            CHECK(more.front().layers.count() > 0);
            CHECK(fits(nodes, more, engine));

            SECTION("and fills a later gap before the ranges next to the gap are extended")
            {
                apply(nodes, more);
                // A runner whose range is not replicated.
                const auto leaving = std::find_if(nodes.begin(), nodes.end() - 1,
                    [&](const PlacementNode& node) { return node.layers.first >= more.front().layers.end; });
                REQUIRE(leaving != nodes.end() - 1);
                nodes.erase(leaving);
                const auto repair = PlacementPlanner::plan(nodes, engine);
                REQUIRE_FALSE(repair.empty());
                CHECK(repair.front().runner == EndpointId("new"));
                apply(nodes, repair);
                CHECK_FALSE(PlacementPlanner::hasGap(nodes, engine));
            }
        }

        SECTION("a runner that reports layers outside the model can fill a gap")
        {
            nodes.push_back({ EndpointId("odd"), AcceleratorKindId("middle"), { 100, 120 } });
            CHECK(PlacementPlanner::plan(nodes, engine).empty());
            nodes.erase(nodes.begin() + 3);
            const auto repair = PlacementPlanner::plan(nodes, engine);
            REQUIRE(repair.size() == 1);
            CHECK(repair.front().runner == EndpointId("odd"));
        }

        SECTION("a spare stays empty until a runner leaves, then takes its layers")
        {
            PlacementNode spare { EndpointId("new"), AcceleratorKindId("middle"), {} };
            spare.spare = true;
            nodes.push_back(spare);
            CHECK(PlacementPlanner::plan(nodes, engine).empty());
            nodes.erase(nodes.begin() + 3);
            const auto repair = PlacementPlanner::plan(nodes, engine);
            REQUIRE(repair.size() == 1);
            CHECK(repair.front().runner == EndpointId("new"));
        }

        SECTION("the gap goes to the neighbour with capacity beside its reserved KV cache")
        {
            // r6 lies between r5 and r7, and r7 has room for its layers.
            nodes[7].accelerator = AcceleratorKindId("middle");
            nodes[5].accelerator = AcceleratorKindId("middle");
            nodes.erase(nodes.begin() + 6);
            const auto full = std::find_if(nodes.begin(), nodes.end(),
                [](const PlacementNode& candidate) { return candidate.runner == EndpointId("r5"); });
            full->reservedCache = engine.cacheCapacity(*engine.accelerator(full->accelerator), full->layers.count());
            const auto repair = PlacementPlanner::plan(nodes, engine);
            REQUIRE(repair.size() == 1);
            CHECK(repair.front().runner == EndpointId("r7"));
        }
    }

    SECTION("a fleet with too little memory for the model gets no orders")
    {
        nodes.resize(2);
        CHECK(PlacementPlanner::plan(nodes, engine).empty());
    }

    SECTION("a runner with an unlisted kind of accelerator gets no layers")
    {
        nodes.front().accelerator = AcceleratorKindId("unheard-of");
        const auto steps = PlacementPlanner::plan(nodes, engine);
        CHECK(std::none_of(steps.begin(), steps.end(),
            [&](const PlacementStep& step) { return step.runner == nodes.front().runner; }));
    }
}

// Guards against orders that are executed late or twice, and against counting on the layers of a restarted runner.
TEST_CASE("Placement orders follow what runners say")
{
    const EngineProfile engine = fleetEngine();
    RunnerDirectory directory;
    const LoadLedger ledger;
    for (const RunnerEntry& entry : fleetEntries())
        directory.put(entry);
    PlacementDriver driver(DataCentreId("east"), fleetService());
    TimePoint now { 10s };
    const auto nextOrders = [&] { return driver.nextOrders(directory, ledger, engine, now, 1s); };

    SECTION("an empty fleet is placed once its set of runners is stable")
    {
        CHECK(nextOrders().empty());
        now += 500ms;
        RunnerEntry late = fleetEntries().back();
        late.id = EndpointId("late");
        directory.put(late);
        CHECK(nextOrders().empty());
        now += 900ms;
        CHECK(nextOrders().empty());
        now += 200ms;
        const auto orders = nextOrders();
        CHECK(orders.size() >= 5);
        // A runner that rounding left empty gets an order to replicate layers at the next call.
        const auto doubling = nextOrders();
        for (const PlacementOrder& order : doubling)
            driver.handleOutcome(order.runner, OrderOutcome::Begun, now);

        SECTION("and no order is repeated while it is in progress")
        {
            for (const PlacementOrder& order : orders)
                driver.handleOutcome(order.runner, OrderOutcome::Begun, now);
            now += 100ms;
            CHECK(nextOrders().empty());
        }

        SECTION("a refused order is repeated after a delay, with the reported number of orders")
        {
            const EndpointId runner = orders.front().runner;
            for (const PlacementOrder& order : orders)
                driver.handleOutcome(
                    order.runner, order.runner == runner ? OrderOutcome::Refused : OrderOutcome::Begun, now);
            now += 100ms;
            for (const PlacementOrder& order : nextOrders())
                CHECK(order.runner != runner);
            directory.recordReport(runner, 3, {}, 0);
            now += 400ms;
            const auto again = nextOrders();
            REQUIRE(again.size() == 1);
            CHECK(again.front().runner == runner);
            CHECK(again.front().expectedOrders == 3);
        }

        SECTION("an order without a response is repeated with the same expected number, so that a duplicate is refused")
        {
            const PlacementOrder lost = orders.front();
            for (const PlacementOrder& order : orders)
                driver.handleOutcome(
                    order.runner, order.runner == lost.runner ? OrderOutcome::Unknown : OrderOutcome::Begun, now);
            now += 1300ms;
            const auto again = nextOrders();
            REQUIRE(again.size() == 1);
            CHECK(again.front().runner == lost.runner);
            CHECK(again.front().expectedOrders == lost.expectedOrders);
        }

        SECTION("a runner that restarted under its id is empty and has begun no orders")
        {
            for (const PlacementOrder& order : orders) {
                driver.handleOutcome(order.runner, OrderOutcome::Begun, now);
                directory.recordOrder(order.runner);
                RunnerEntry placed = directory.find(order.runner)->entry;
                placed.layers = order.layers;
                directory.put(placed);
            }
            now += 2s;
            CHECK(nextOrders().empty());
            RunnerEntry restarted = directory.find(orders.front().runner)->entry;
            restarted.startedAt += 1;
            restarted.layers = {};
            directory.put(restarted);
            const auto again = nextOrders();
            REQUIRE(again.size() == 1);
            CHECK(again.front().runner == restarted.id);
            CHECK(again.front().expectedOrders == 0);
        }

        SECTION("and once all runners hold layers")
        {
            for (const auto& list : { orders, doubling }) {
                for (const PlacementOrder& order : list) {
                    driver.handleOutcome(order.runner, OrderOutcome::Begun, now);
                    RunnerEntry placed = directory.find(order.runner)->entry;
                    placed.layers = order.layers;
                    directory.put(placed);
                }
            }
            now += 2s;
            CHECK(nextOrders().empty());
            // A runner whose layers no other one holds.
            const auto overlaps = [](const PlacementOrder& a, const PlacementOrder& b) {
                return a.runner != b.runner && a.layers.first < b.layers.end && b.layers.first < a.layers.end;
            };
            const auto sole = std::find_if(orders.begin(), orders.end(), [&](const PlacementOrder& order) {
                const auto shares = [&](const PlacementOrder& other) { return overlaps(order, other); };
                return std::none_of(orders.begin(), orders.end(), shares)
                    && std::none_of(doubling.begin(), doubling.end(), shares);
            });
            REQUIRE(sole != orders.end());
            const RunnerEntry old = directory.find(sole->runner)->entry;
            RunnerEntry replacement = old;
            replacement.id = EndpointId("replacement");
            replacement.address = "10.0.0.99:80";
            replacement.layers = {};

            SECTION("a runner that joins gets the layers of a runner that leaves after it")
            {
                directory.put(replacement);
                CHECK(nextOrders().empty());
                now += 900ms;
                CHECK(nextOrders().empty());
                RunnerEntry leaving = old;
                leaving.draining = true;
                directory.put(leaving);
                const auto repair = nextOrders();
                REQUIRE(repair.size() == 1);
                CHECK(repair.front().runner == replacement.id);
                CHECK(repair.front().layers == old.layers);
            }

            SECTION("a runner that joins while none leaves replicates layers some seconds later")
            {
                directory.put(replacement);
                CHECK(nextOrders().empty());
                now += 3s;
                const auto doubled = nextOrders();
                REQUIRE(doubled.size() == 1);
                CHECK(doubled.front().runner == replacement.id);
            }

            SECTION("a runner that refused a request for lack of capacity keeps its layers, a dead one does not")
            {
                directory.recordFailure(old.id, now, 300ms);
                CHECK(nextOrders().empty());
                now += 300ms;
                directory.markDead(old.id, now, 3s);
                CHECK_FALSE(nextOrders().empty());
            }

            SECTION("a runner that fails all requests for seconds loses its layers, one that serves some does not")
            {
                const auto fail = [&] {
                    for (int i = 0; i < 12; ++i) {
                        directory.recordFailure(old.id, now, 100ms, 2);
                        CHECK(nextOrders().empty());
                        now += 400ms;
                    }
                };
                fail();
                directory.recordSuccess(old.id, now);
                fail();
                now += 1s;
                directory.recordFailure(old.id, now, 100ms, 2);
                CHECK_FALSE(nextOrders().empty());
            }
        }
    }
}

// Guards against a model that is never placed because runners of another model keep joining and leaving.
TEST_CASE("Models in one data centre are placed apart from each other")
{
    const EngineProfile engine = fleetEngine();
    RunnerDirectory directory;
    const LoadLedger ledger;
    for (RunnerEntry entry : fleetEntries()) {
        directory.put(entry);
        entry.id = EndpointId("other-" + entry.id.value());
        entry.service = TargetId("other");
        directory.put(entry);
    }
    PlacementDriver first(DataCentreId("east"), fleetService());
    PlacementDriver second(DataCentreId("east"), TargetId("other"));
    TimePoint now { 10s };
    CHECK(first.nextOrders(directory, ledger, engine, now, 1s).empty());
    CHECK(second.nextOrders(directory, ledger, engine, now, 1s).empty());
    now += 1s;
    for (const PlacementOrder& order : first.nextOrders(directory, ledger, engine, now, 1s))
        CHECK_FALSE(order.runner.value().starts_with("other-"));
    const auto orders = second.nextOrders(directory, ledger, engine, now, 1s);
    CHECK(orders.size() >= 5);
    for (const PlacementOrder& order : orders)
        CHECK(order.runner.value().starts_with("other-"));
}
