#include "fuchsialb/Fleet.h"
#include "tests/support/FleetSamples.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

const DataCentreId east { "east" };

PathStage stage(const char* name, std::uint32_t first, std::uint32_t end)
{
    return { EndpointId(name), std::string(name) + ":80", { first, end }, east };
}

} // namespace

// Guards against an order that is sent again and again though its refusal shows that it can't succeed.
TEST_CASE("What a refused order says decides which order follows")
{
    const Path previous { stage("a", 0, 10), stage("b", 10, 20), stage("c", 20, 30), stage("d", 30, 40) };
    const Path ordered { stage("a", 0, 10), stage("b", 10, 20), stage("new", 20, 30), stage("d", 30, 40) };
    PathRepair repair;
    repair.add(EndpointId("c"), false);

    SECTION("a stage that the order left as it was no longer holds its layers: it is replaced as well")
    {
        CHECK(repair.recordRefusal(previous, ordered, "b:80") == PathRepair::Refusal::ReplaceMore);
        CHECK(repair.stages() == std::set { EndpointId("b"), EndpointId("c") });

        SECTION("and the same answer again ends the attempts")
        {
            CHECK(repair.recordRefusal(previous, ordered, "b:80") == PathRepair::Refusal::GiveUp);
            CHECK(repair.empty());
        }
    }

    SECTION("a new stage can't serve: another one is tried")
    {
        CHECK(repair.recordRefusal(previous, ordered, "new:80") == PathRepair::Refusal::AvoidNewStage);
        CHECK(repair.stages() == std::set { EndpointId("c") });
    }

    SECTION("the first stage, no stage or an unknown one is at fault: no order can help")
    {
        const char* fault = GENERATE("a:80", "", "unknown:80");
        CHECK(repair.recordRefusal(previous, ordered, fault) == PathRepair::Refusal::GiveUp);
        CHECK(repair.empty());
    }

    SECTION("a stage found dead that turns out to be alive isn't replaced, unless it leaves as well")
    {
        repair.add(EndpointId("b"), true);
        repair.add(EndpointId("c"), true);
        repair.discardDead();
        CHECK_FALSE(repair.hasDeadStage());
        CHECK(repair.stages() == std::set { EndpointId("c") });
    }

    SECTION("a dead stage stays to be replaced, since the stream makes no progress with it")
    {
        repair.add(EndpointId("c"), true);
        repair.add(EndpointId("c"), false);
        CHECK(repair.recordRefusal(previous, ordered, "") == PathRepair::Refusal::GiveUp);
        CHECK(repair.hasDeadStage());
    }

    SECTION("an order that succeeds leaves what it didn't replace")
    {
        repair.add(EndpointId("b"), false);
        repair.recordDone({ EndpointId("c") });
        CHECK(repair.stages() == std::set { EndpointId("b") });
    }
}
