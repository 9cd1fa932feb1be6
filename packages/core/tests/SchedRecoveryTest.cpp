#include "tests/support/SchedDriver.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

std::vector<std::string> whole(std::uint32_t tokens)
{
    std::vector<std::string> result;
    for (std::uint32_t i = 0; i < tokens; ++i)
        result.push_back("t" + std::to_string(i));
    return result;
}

} // namespace

// Guards against a token that is lost, repeated, or taken from an older route or another request.
TEST_CASE("A run delivers its tokens in order, once each")
{
    SchedDriver driver(schedModel(2, 4));

    SECTION("a request runs over a whole chain of layers")
    {
        driver.submit(schedRequest(1));
        driver.advance(1s);
        CHECK(driver.delivered[SchedDriver::id(1)] == whole(10));
        CHECK(driver.result(1).outcome == Outcome::Completed);
        CHECK(driver.result(1).generatedTokens == 10);
        const auto route = driver.last<StartRun>().route;
        REQUIRE(route.size() == 2);
        CHECK(route[0].layers == LayerRange { 0, 4 });
        CHECK(route[1].layers == LayerRange { 4, 8 });
        CHECK(driver.scheduler->idle());
    }

    SECTION("stale, repeated, early and crossed tokens are dropped")
    {
        driver.plays = false;
        driver.submit(schedRequest(1));
        driver.submit(schedRequest(2));
        const auto runs = driver.all<StartRun>();
        REQUIRE(runs.size() == 2);
        const StartRun& run = runs[0];
        driver.scheduler->onToken(run.request, run.attempt, run.epoch, 0, "t0");
        driver.scheduler->onToken(run.request, run.attempt, run.epoch, 0, "repeated");
        driver.scheduler->onToken(run.request, run.attempt, run.epoch, 2, "early");
        driver.scheduler->onToken(run.request, run.attempt, Epoch(run.epoch.value() - 1), 1, "stale");
        driver.scheduler->onToken(run.request, runs[1].attempt, run.epoch, 1, "crossed");
        driver.scheduler->onRunFinished(run.request, run.attempt, Epoch(run.epoch.value() - 1), "stop");
        driver.pump();
        CHECK(driver.delivered[run.request] == whole(1));
        CHECK_FALSE(driver.finished(1));
        CHECK(driver.decisions(Reason::OldEpoch) == 4);
    }
    CHECK(driver.faults.empty());
}
