#include "tests/support/FleetPlacementWorld.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <algorithm>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

// Share of the best layout's room that the runners left after a loss must reach while streams go on.
constexpr double requiredShare = 0.6;

void addSmallDataCentre(PlacementWorld& world)
{
    world.add("l", "large", 1);
    world.add("v", "small", 10);
    world.add("m", "middle", 4);
}

void checkRoom(const PlacementWorld& world)
{
    const PlacementRoom room = world.room();
    CAPTURE(room.tokens, room.bestTokens);
    CHECK(room.tokens >= requiredShare * room.bestTokens);
}

} // namespace

// Guards against a layer with room for a handful of streams beside runners with room for many: the neighbours of a lost
// runner take over its layers, and all paths of the data centre pass them from then on.
TEST_CASE("A data centre regains its room after it lost runners")
{
    PlacementWorld world(mixedEngine());
    addSmallDataCentre(world);
    world.settle();
    checkRoom(world);

    SECTION("one of them, whichever it is")
    {
        for (const EndpointId& lost : world.runners()) {
            PlacementWorld other(mixedEngine());
            addSmallDataCentre(other);
            other.settle();
            CAPTURE(lost.value());
            other.remove(lost);
            other.run(std::chrono::seconds(12));
            checkRoom(other);
        }
    }

    SECTION("two neighbours")
    {
        world.remove(EndpointId("m-0"));
        world.remove(EndpointId("m-1"));
        world.run(std::chrono::seconds(15));
        checkRoom(world);

        SECTION("and gives a runner that joins later layers that are scarce")
        {
            world.add("new", "middle", 1);
            world.run(std::chrono::seconds(15));
            checkRoom(world);
        }
    }

    SECTION("and no layer is without a holder on the way")
    {
        world.remove(EndpointId("m-2"));
        world.run(std::chrono::seconds(4));
        CHECK_FALSE(world.hasGap());
        world.run(std::chrono::seconds(10));
        checkRoom(world);
    }
}

// Guards against placements that exceed a runner's memory or leave layers without a holder though memory is left.
TEST_CASE("Any mix of runners keeps its layers placed while runners come and go")
{
    const bool holds = rc::check("within memory, and without a gap that could be closed", [] {
        PlacementWorld world(mixedEngine());
        world.add("l", "large", *rc::gen::inRange(1, 4));
        world.add("m", "middle", *rc::gen::inRange(4, 12));
        world.add("s", "small", *rc::gen::inRange(0, 12));
        world.settle();
        const auto losses = *rc::gen::inRange(0, 4);
        for (int i = 0; i < losses; ++i) {
            const auto runners = world.runners();
            world.remove(runners[*rc::gen::inRange<std::size_t>(0, runners.size())]);
            world.run(std::chrono::seconds(*rc::gen::inRange(0, 6)));
        }
        world.run(std::chrono::seconds(12));
        RC_ASSERT(world.memoryKept());
        const PlacementRoom room = world.room();
        RC_ASSERT(room.bestTokens == 0 || room.tokens > 0);
    });
    CHECK(holds);
}
