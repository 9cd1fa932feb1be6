#include "tests/support/FleetSamples.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <algorithm>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

bool coversAllOnce(const Path& path, std::uint32_t layers)
{
    std::uint32_t next = 0;
    for (const PathStage& stage : path) {
        if (stage.layers.first != next || stage.layers.count() == 0)
            return false;
        next = stage.layers.end;
    }
    return next == layers;
}

bool stagesHeld(const Path& path, const RunnerDirectory& directory)
{
    return std::all_of(path.begin(), path.end(), [&](const PathStage& stage) {
        const LayerRange held = directory.find(stage.runner)->entry.layers;
        return held.first <= stage.layers.first && stage.layers.end <= held.end;
    });
}

} // namespace

// Guards against paths that omit layers, cross data centres without need, or use runners without capacity.
TEST_CASE("A path runs every layer once and stays in a data centre")
{
    const EngineProfile engine = fleetEngine();
    RunnerDirectory directory;
    LoadLedger ledger;
    for (const RunnerEntry& entry : placedEntries(4))
        directory.put(entry);
    const PathFinder finder(directory, ledger);
    const TimePoint now { 10s };
    PathRequest request { fleetService(), DataCentreId("east"), 600, 1, {} };

    SECTION("of the host that sends the request")
    {
        const auto path = finder.find(request, engine, now);
        REQUIRE(path);
        CHECK(coversAllOnce(*path, engine.layers));
        for (const PathStage& stage : *path)
            CHECK(directory.find(stage.runner)->entry.dataCentre == DataCentreId("east"));

        SECTION("until it is full, then of another one")
        {
            while (true) {
                const auto next = finder.find(request, engine, now);
                REQUIRE(next);
                if (directory.find(next->front().runner)->entry.dataCentre == DataCentreId("west"))
                    break;
                ledger.reserve(*next, request.tokens);
            }
            // More than half of the data centre's KV cache is used before requests go elsewhere.
            CHECK(ledger.at(EndpointId("east-0")).cache
                > 0.5 * engine.cacheCapacity(*engine.accelerator(AcceleratorKindId("large")), 10));
        }
    }

    SECTION("a dead runner moves the whole path to the other data centre")
    {
        directory.markDead(EndpointId("east-2"), now, 3s);
        const auto path = finder.find(request, engine, now);
        REQUIRE(path);
        for (const PathStage& stage : *path)
            CHECK(directory.find(stage.runner)->entry.dataCentre == DataCentreId("west"));

        SECTION("and the path crosses when the data centres lack different layers")
        {
            directory.markDead(EndpointId("west-0"), now, 3s);
            request.mayCrossDataCentres = false;
            CHECK_FALSE(finder.find(request, engine, now));
            request.mayCrossDataCentres = true;
            const auto crossing = finder.find(request, engine, now);
            REQUIRE(crossing);
            CHECK(coversAllOnce(*crossing, engine.layers));
        }

        SECTION("and there is no path when both lack the same layers")
        {
            directory.markDead(EndpointId("west-2"), now, 3s);
            CHECK_FALSE(finder.find(request, engine, now));
            CHECK_FALSE(finder.feasibleWhenIdle(request, engine, now));
        }
    }

    SECTION("a path starts only at an allowed first runner")
    {
        request.allowedFirstRunners = { EndpointId("west-0") };
        const auto path = finder.find(request, engine, now);
        REQUIRE(path);
        CHECK(path->front().runner == EndpointId("west-0"));
    }

    SECTION("a full fleet has no path, but an idle one would have")
    {
        while (const auto path = finder.find(request, engine, now))
            ledger.reserve(*path, request.tokens);
        CHECK(finder.feasibleWhenIdle(request, engine, now));
    }

    SECTION("a request too large for any runner is not feasible on an idle fleet either")
    {
        request.tokens = 1e9;
        CHECK_FALSE(finder.find(request, engine, now));
        CHECK_FALSE(finder.feasibleWhenIdle(request, engine, now));
    }

    SECTION("a runner without free slots still serves as a later stage")
    {
        RunnerEntry second = placedEntries(4)[1];
        const Path held { { second.id, second.address, { 10, 20 }, second.dataCentre } };
        for (std::uint32_t i = 0; i < engine.slots; ++i)
            ledger.reserve(held, 0);
        const auto path = finder.find(request, engine, now);
        REQUIRE(path);
        CHECK((*path)[1].runner == second.id);
    }

    SECTION("a stage at a draining runner is replaced, and all other stages stay")
    {
        const auto path = finder.find(request, engine, now);
        REQUIRE(path);
        RunnerEntry copy = placedEntries(4)[2];
        copy.id = EndpointId("east-copy");
        copy.address = "10.1.0.99:80";
        RunnerEntry leaving = placedEntries(4)[2];
        leaving.draining = true;
        directory.put(leaving);
        CHECK_FALSE(finder.replaceStage(*path, leaving.id, request, engine, now));
        directory.put(copy);
        const auto changed = finder.replaceStage(*path, leaving.id, request, engine, now);
        REQUIRE(changed);
        CHECK(coversAllOnce(*changed, engine.layers));
        CHECK(stagesHeld(*changed, directory));
        REQUIRE(changed->size() == path->size());
        for (std::size_t i = 0; i < path->size(); ++i)
            CHECK((*changed)[i].runner == (i == 2 ? copy.id : (*path)[i].runner));

        SECTION("but not the first stage, which holds the request")
        {
            CHECK_FALSE(finder.replaceStage(*path, path->front().runner, request, engine, now));
        }

        SECTION("and not by a runner without capacity")
        {
            ledger.reserve({ { copy.id, copy.address, copy.layers, copy.dataCentre } }, 1e9);
            CHECK_FALSE(finder.replaceStage(*path, leaving.id, request, engine, now));
        }
    }

    SECTION("several stages are replaced together, none of them by another one of them")
    {
        const auto path = finder.find(request, engine, now);
        REQUIRE(path);
        std::set<EndpointId> leaving;
        for (const int i : { 1, 2 }) {
            RunnerEntry entry = placedEntries(4)[static_cast<std::size_t>(i)];
            leaving.insert(entry.id);
            CHECK_FALSE(finder.replaceStages(*path, leaving, request, engine, now));
            entry.id = EndpointId("copy-" + std::to_string(i));
            entry.address = "10.1.0.9" + std::to_string(i) + ":80";
            directory.put(entry);
        }
        const auto changed = finder.replaceStages(*path, leaving, request, engine, now);
        REQUIRE(changed);
        CHECK(coversAllOnce(*changed, engine.layers));
        CHECK(std::none_of(
            changed->begin(), changed->end(), [&](const PathStage& stage) { return leaving.contains(stage.runner); }));
        CHECK(changed->front().runner == path->front().runner);
        CHECK(changed->back().runner == path->back().runner);
        CHECK_FALSE(finder.replaceStages(*path, { EndpointId("elsewhere") }, request, engine, now));
    }

    SECTION("draining runners are excluded")
    {
        for (RunnerEntry entry : placedEntries(4)) {
            entry.draining = entry.dataCentre == DataCentreId("east");
            directory.put(entry);
        }
        const auto path = finder.find(request, engine, now);
        REQUIRE(path);
        CHECK(directory.find(path->front().runner)->entry.dataCentre == DataCentreId("west"));
    }
}

TEST_CASE("Any holders of any ranges give a whole path or none")
{
    rc::check("all layers once, each at a runner that holds it", [] {
        const EngineProfile engine = fleetEngine();
        RunnerDirectory directory;
        LoadLedger ledger;
        const int count = *rc::gen::inRange(1, 12);
        for (int i = 0; i < count; ++i) {
            RunnerEntry entry = placedEntries(4).front();
            entry.id = EndpointId(std::to_string(i));
            entry.address = "10.0.0.1:" + std::to_string(i + 1);
            entry.dataCentre = DataCentreId(*rc::gen::element<std::string>("east", "west"));
            const auto first = static_cast<std::uint32_t>(*rc::gen::inRange(0, 39));
            entry.layers = { first, first + static_cast<std::uint32_t>(*rc::gen::inRange(1, 18)) };
            entry.layers.end = std::min(entry.layers.end, engine.layers);
            directory.put(entry);
        }
        const PathFinder finder(directory, ledger);
        const auto path = finder.find({ fleetService(), DataCentreId("east"), 10, 1, {} }, engine, TimePoint { 10s });
        if (path) {
            RC_ASSERT(coversAllOnce(*path, engine.layers));
            RC_ASSERT(stagesHeld(*path, directory));
        }
    });
}

// Guards against streams that stall because the prompts of too many requests cross between data centres at once.
TEST_CASE("Requests that cross between data centres leave the link between them free")
{
    EngineProfile engine = fleetEngine();
    engine.hiddenStateBytes = 30'000;
    engine.linkMegabits = 12'000;
    const Duration transferTime = engine.linkTransferTime(800);
    CHECK(transferTime == 16ms);
    TimePoint now { 10s };
    constexpr std::size_t hosts = 4;
    LinkBudget budget;

    SECTION("in a burst at every host")
    {
        Duration taken { 0 };
        for (int i = 0; i < 1000; ++i) {
            if (!budget.allows(now, hosts))
                continue;
            budget.take(transferTime);
            taken += transferTime;
        }
        CHECK(taken * hosts <= 800ms);
        CHECK(taken > Duration(0));
    }

    SECTION("over time")
    {
        Duration taken { 0 };
        for (int i = 0; i < 100'000; ++i) {
            now += 100us;
            if (!budget.allows(now, hosts))
                continue;
            budget.take(transferTime);
            taken += transferTime;
        }
        CHECK(taken * hosts < 8s);
        CHECK(taken * hosts > 5s);
    }
}

TEST_CASE("A link of unknown speed is not budgeted") { CHECK(fleetEngine().linkTransferTime(1e6) == Duration(0)); }
