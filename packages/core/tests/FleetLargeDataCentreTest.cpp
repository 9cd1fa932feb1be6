#include "tests/support/FleetPlacementWorld.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace fuchsialb;
using namespace fuchsialb::test;

// Guards against a data centre of many runners that serves no more streams than one copy of the model can: the path
// then has more stages than runners accept, and all streams start at the only holder of the first layers.
TEST_CASE("A data centre of many runners serves more streams than one first runner has slots")
{
    const EngineProfile engine = mixedEngine();
    PlacementWorld world(engine);

    SECTION("with 43 runners of four kinds")
    {
        world.add("h", "huge", 1);
        world.add("l", "large", 3);
        world.add("m", "middle", 26);
        world.add("s", "small", 13);
        world.settle();

        SECTION("every layer has several holders, and the loss of any runner leaves paths")
        {
            for (std::uint32_t layer = 0; layer < engine.layers; ++layer)
                CHECK(world.holders(layer) >= 2);
        }

        SECTION("as many streams are admitted as two first runners have slots, on paths that runners accept")
        {
            CHECK(world.admitStreams(1000) >= 2 * engine.slots);
            CHECK(world.longestPath() <= engine.maxStages);
        }
    }

    SECTION("with 33 small runners, of which one copy would need more stages than a path may have")
    {
        world.add("s", "small", 33);
        world.settle();
        CHECK(world.admitStreams(50) == 50);
        CHECK(world.longestPath() <= engine.maxStages);
    }

    SECTION("with memory for little more than one copy, the first layers have two holders")
    {
        world.add("l", "large", 2);
        world.add("v", "small", 4);
        world.add("m", "middle", 4);
        world.settle();
        CHECK(world.holders(0) >= 2);
        CHECK(world.admitStreams(500) > engine.slots);
    }
}

// Guards against paths over the limit, which runners reject, where other runners allow a shorter one.
TEST_CASE("A path has no more stages than runners accept")
{
    EngineProfile engine = mixedEngine();
    PlacementWorld world(engine);
    for (std::uint32_t layer = 0; layer < engine.layers; layer += 2)
        world.addPlaced("fast", "huge", { layer, layer + 2 });
    REQUIRE(engine.layers / 2 > engine.maxStages);

    SECTION("as long as a shorter one exists, however slow")
    {
        for (std::uint32_t layer = 0; layer < engine.layers; layer += 8)
            world.addPlaced("slow", "middle", { layer, layer + 8 });
        REQUIRE(world.admitStreams(1) == 1);
        CHECK(world.longestPath() <= engine.maxStages);
    }

    SECTION("and none is returned otherwise") { CHECK(world.admitStreams(1) == 0); }
}

// Guards against many hosts that all fill the same runner before they hear of each other's load.
TEST_CASE("Hosts that know the same loads spread their requests over runners of similar cost")
{
    const EngineProfile engine = mixedEngine();
    PlacementWorld world(engine);
    world.addPlaced("a", "huge", { 0, 40 });
    world.addPlaced("b", "huge", { 0, 40 });
    world.addPlaced("c", "huge", { 40, 80 });
    std::size_t first = 0;
    constexpr std::size_t requests = 200;
    for (std::size_t i = 0; i < requests; ++i) {
        const auto path = world.pathOfUnawareHost(i);
        REQUIRE(path);
        first += path->front().runner == EndpointId("a-0") ? 1 : 0;
    }
    CHECK(first > requests / 4);
    CHECK(first < requests * 3 / 4);
}
