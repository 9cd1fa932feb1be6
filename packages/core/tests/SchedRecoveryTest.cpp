#include "fuchsialb/Base.h"
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

    SECTION("a request that is submitted again is ignored, also after its answer")
    {
        driver.submit(schedRequest(1));
        driver.scheduler->submit(schedRequest(1));
        driver.advance(1s);
        driver.scheduler->submit(schedRequest(1));
        driver.advance(1s);
        CHECK(driver.all<StartRun>().size() == 1);
        CHECK(driver.all<Finish>().size() == 1);
    }

    SECTION("a caller that goes away frees the slot")
    {
        driver.submit(schedRequest(1));
        driver.scheduler->cancel(SchedDriver::id(1));
        driver.advance(1s);
        CHECK(driver.last<CancelRun>().route == driver.last<StartRun>().route);
        CHECK(driver.result(1).reason == Reason::Cancelled);
        CHECK(driver.result(1).outcome == Outcome::Unknown);
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

// Guards against a stage failure that loses, repeats or changes tokens, or that ends the request.
TEST_CASE("A stage failure is recovered from the last token")
{
    Configuration configuration = schedModel(3, 4);
    SchedDriver driver(configuration);
    const RequestId id = SchedDriver::id(1);

    SECTION("by replay when a later stage fails")
    {
        driver.submit(schedRequest(1));
        driver.advance(200ms);
        const StartRun first = driver.last<StartRun>();
        const auto before = driver.delivered[id].size();
        driver.kill(first.route[1].endpoint.value());
        REQUIRE(driver.all<ReplayState>().size() == 1);
        const ReplayState replay = driver.last<ReplayState>();
        CHECK(replay.upstream == first.route[0]);
        CHECK(replay.positions == 100 + before);
        driver.advance(2s);
        const StartRun second = driver.last<StartRun>();
        CHECK(second.epoch > first.epoch);
        CHECK(second.attempt == first.attempt);
        CHECK(second.generated.size() == before);
        CHECK(second.route[0] == first.route[0]);
        CHECK(second.route[1] == replay.to);
        CHECK(driver.decisions(Reason::RecoveredByReplay) == 1);
    }

    SECTION("by recomputation of the prefix when the head fails")
    {
        driver.submit(schedRequest(1));
        driver.advance(200ms);
        const StartRun first = driver.last<StartRun>();
        driver.kill(first.route[0].endpoint.value());
        driver.advance(2s);
        CHECK(driver.decisions(Reason::RecoveredByPrefix) == 1);
        CHECK(driver.last<StartRun>().route[1] == first.route[1]);
        CHECK(driver.all<ReplayState>().empty());
    }

    SECTION("by import when computing costs more than copying")
    {
        configuration.acceleratorKinds[AcceleratorKindId("k")].layerPerPromptToken = 200us;
        configuration.endpoints[EndpointId("b2")].state = EndpointState::Leaving;
        driver.scheduler->configure(configuration);
        const Request request = schedRequest(1);
        driver.scheduler->onCacheEvent(EndpointId("b2"), hash64(request.prompt), true);
        driver.submit(request);
        driver.advance(200ms);
        const StartRun first = driver.last<StartRun>();
        driver.stateMoves = GENERATE(true, false);
        driver.kill(first.route[1].endpoint.value());
        REQUIRE(driver.all<ImportState>().size() == 1);
        CHECK(driver.last<ImportState>().from.endpoint == EndpointId("b2"));
        CHECK(driver.last<ImportState>().positions == 100);
        driver.advance(2s);
        // A failed move falls back to the next cheapest way, each under an epoch of its own.
        const std::size_t fallbacks = driver.stateMoves ? 0 : 1;
        CHECK(driver.all<ReplayState>().size() == fallbacks);
        CHECK(driver.decisions(Reason::RecoveredByPrefix) == fallbacks);
        CHECK(driver.last<StartRun>().epoch.value() == first.epoch.value() + 1 + 2 * fallbacks);
    }

    SECTION("when the successor fails too, before its first token")
    {
        driver.submit(schedRequest(1));
        driver.advance(200ms);
        driver.kill(driver.last<StartRun>().route[1].endpoint.value());
        driver.advance(20ms);
        REQUIRE(driver.all<StartRun>().size() == 2);
        driver.kill(driver.last<StartRun>().route[1].endpoint.value());
        driver.advance(2s);
        CHECK(driver.all<StartRun>().size() == 3);
    }

    SECTION("when two stages fail at once")
    {
        driver.submit(schedRequest(1));
        driver.advance(200ms);
        const StartRun first = driver.last<StartRun>();
        driver.kill(first.route[1].endpoint.value());
        driver.kill(first.route[0].endpoint.value());
        driver.advance(3s);
    }

    SECTION("when a stage falls silent")
    {
        driver.silent = { "a0", "a1", "a2" };
        driver.submit(schedRequest(1));
        driver.silent.clear();
        driver.advance(1450ms);
        CHECK(driver.all<StartRun>().size() == 1);
        driver.advance(2s);
        CHECK(driver.all<StartRun>().size() == 2);
    }

    SECTION("when the connection fails after the last token")
    {
        driver.submit(schedRequest(1));
        driver.advance(420ms);
        REQUIRE(driver.delivered[id].size() == 10);
        driver.kill(driver.last<StartRun>().route[0].endpoint.value());
        CHECK(driver.all<StartRun>().size() == 1);
    }
    CHECK(driver.delivered[id] == whole(10));
    REQUIRE(driver.finished(1));
    CHECK(driver.result(1).outcome == Outcome::Completed);
    CHECK(driver.scheduler->idle());
    CHECK(driver.scheduler->load().running == 0);
    CHECK(driver.faults.empty());
}

// Guards against a request that is forgotten, or started from zero, when no runner is left for its layers.
TEST_CASE("Without a successor a request waits with its tokens")
{
    SchedDriver driver(schedModel(1, 4));
    Request request = schedRequest(1);
    request.timeLeft = 3s;
    driver.submit(request);
    driver.advance(200ms);
    const auto before = driver.delivered[request.id].size();
    driver.kill("b0");

    SECTION("until a runner returns, with a slow start")
    {
        driver.submit(schedRequest(2));
        driver.submit(schedRequest(3));
        driver.revive("b0");
        driver.advance(250ms);
        CHECK(driver.scheduler->load().slots == 1);
        CHECK(driver.last<StartRun>().request == request.id);
        CHECK(driver.last<StartRun>().generated.size() == before);
        driver.advance(260ms);
        CHECK(driver.scheduler->load().slots == 2);
        driver.advance(3s);
        CHECK(driver.scheduler->load().slots == 4);
        CHECK(driver.delivered[request.id] == whole(10));
        CHECK(driver.result(3).outcome == Outcome::Completed);
    }

    SECTION("until its deadline, and then it is not called unstarted")
    {
        driver.scheduler->onLoadReport({ EndpointId("b0"), 0, 0, 0us });
        driver.advance(2700ms);
        CHECK_FALSE(driver.finished(1));
        driver.advance(400ms);
        REQUIRE(driver.finished(1));
        CHECK(driver.result(1).outcome == Outcome::Unknown);
        CHECK(driver.result(1).reason == Reason::DeadlineExceeded);
        CHECK(driver.result(1).generatedTokens == before);
    }
    CHECK(driver.faults.empty());
}

// Guards against a second run of a non-idempotent model request.
TEST_CASE("A non-idempotent run is resumed but never restarted from zero")
{
    SchedDriver driver(schedModel(2, 4));
    Request request = schedRequest(1);
    request.idempotent = false;
    request.idempotencyKey = "key";
    driver.submit(request);
    CHECK(driver.all<StartRun>().empty());
    driver.advance(10ms);
    REQUIRE(driver.all<StartRun>().size() == 1);
    const StartRun first = driver.last<StartRun>();
    CHECK(first.attempt == driver.last<ClaimNeeded>().attempt);

    SECTION("the head is lost before the first token")
    {
        driver.kill(first.route[0].endpoint.value());
        driver.advance(3s);
        CHECK(driver.all<StartRun>().size() == 1);
        CHECK(driver.result(1).outcome == Outcome::Unknown);
        CHECK(driver.last<ClaimSettled>().outcome == Outcome::Unknown);
    }

    SECTION("the caller goes away: it runs on, so that its claim is settled")
    {
        driver.scheduler->cancel(request.id);
        driver.advance(3s);
        CHECK(driver.all<CancelRun>().empty());
        CHECK(driver.last<ClaimSettled>().outcome == Outcome::Completed);
    }

    SECTION("another stage is lost before the first token: the head is kept")
    {
        driver.kill(first.route[1].endpoint.value());
        driver.advance(3s);
        CHECK(driver.last<StartRun>().route[0] == first.route[0]);
        CHECK(driver.result(1).outcome == Outcome::Completed);
    }

    SECTION("the head is lost after the first token: the attempt goes on under a new epoch")
    {
        driver.advance(100ms);
        driver.kill(first.route[0].endpoint.value());
        driver.advance(3s);
        CHECK(driver.last<StartRun>().attempt == first.attempt);
        CHECK(driver.last<StartRun>().epoch > first.epoch);
        CHECK(driver.last<StartRun>().generated.size() == 2);
        CHECK(driver.last<ClaimSettled>().outcome == Outcome::Completed);
        CHECK(driver.delivered[request.id] == whole(10));
    }
    CHECK(driver.all<ClaimSettled>().size() == 1);
    CHECK(driver.faults.empty());
}

// Guards against a second run on another head while the first one may still run the request.
TEST_CASE("A non-idempotent run without tokens does not move to another head")
{
    Configuration configuration = schedModel(1, 4);
    Endpoint whole = configuration.endpoints.at(EndpointId("a0"));
    whole.id = EndpointId("whole");
    whole.layers = { 0, 8 };
    configuration.endpoints[whole.id] = whole;
    SchedDriver driver(configuration);
    Request request = schedRequest(1);
    request.idempotent = GENERATE(true, false);
    request.idempotencyKey = "key";
    // Load on the single runner makes the pair cheaper.
    for (std::uint64_t number = 2; number <= 5; ++number)
        driver.submit(schedRequest(number, Rank::Urgent, 5));
    driver.submit(request);
    driver.advance(10ms);
    REQUIRE(driver.last<StartRun>().request == request.id);
    REQUIRE(driver.last<StartRun>().route.size() == 2);
    driver.kill("b0");
    driver.advance(3s);
    CHECK(driver.result(1).outcome == (request.idempotent ? Outcome::Completed : Outcome::Unknown));
    for (const StartRun& start : driver.all<StartRun>()) {
        if (start.request == request.id && !request.idempotent)
            CHECK(start.route[0].endpoint == EndpointId("a0"));
    }
}

// Guards against urgent work that waits behind borrowed capacity, and against tokens sent twice after a preemption.
TEST_CASE("An urgent request preempts the youngest stream on borrowed share")
{
    SchedDriver driver(schedModel(1, 2));
    const Rank rank = GENERATE(Rank::Summary, Rank::Recording);
    driver.submit(schedRequest(1, rank, 40));
    driver.advance(100ms);
    driver.submit(schedRequest(2, rank, 40));
    driver.advance(400ms);
    const auto before = driver.delivered[SchedDriver::id(2)].size();
    REQUIRE(before > 0);
    driver.submit(schedRequest(3, Rank::Urgent, 5));
    REQUIRE(driver.all<CancelRun>().size() == 1);
    CHECK(driver.last<CancelRun>().request == SchedDriver::id(2));
    CHECK(driver.last<StartRun>().request == SchedDriver::id(3));
    // The remaining stream is within its guarantee or the last one: it is left alone.
    driver.submit(schedRequest(4, Rank::Urgent, 5));
    driver.advance(5s);
    CHECK(driver.delivered[SchedDriver::id(2)] == whole(40));
    CHECK(driver.delivered[SchedDriver::id(1)] == whole(40));
    const auto runs = driver.all<StartRun>();
    const auto resumed = std::find_if(
        runs.rbegin(), runs.rend(), [](const StartRun& run) { return run.request == SchedDriver::id(2); });
    CHECK(resumed->generated.size() == before);
    CHECK(driver.result(2).outcome == Outcome::Completed);
    CHECK(driver.result(3).outcome == Outcome::Completed);
    CHECK(driver.faults.empty());
}

// Guards against a preemption that ends a stream whose deadline for the first token is long past.
TEST_CASE("A preempted stream is resumed after its deadline, one close to it is not preempted")
{
    SchedDriver driver(schedModel(1, 1));
    Request request = schedRequest(1, Rank::Summary, 80);
    request.timeLeft = 2s;
    Configuration configuration = schedModel(1, 1);
    configuration.ranks[Rank::Summary].share = 0;
    driver.scheduler->configure(configuration);
    driver.submit(request);
    driver.advance(1s);
    driver.submit(schedRequest(2, Rank::Urgent, 5));
    CHECK(driver.all<CancelRun>().empty());
    driver.advance(1500ms);
    driver.submit(schedRequest(3, Rank::Urgent, 5));
    CHECK(driver.all<CancelRun>().size() == 1);
    driver.advance(10s);
    CHECK(driver.delivered[request.id] == whole(80));
    CHECK(driver.result(1).outcome == Outcome::Completed);
    CHECK(driver.faults.empty());
}

// Guards against a request that ends one runner after another, since each end entitled it to the next one.
SCENARIO("a request under which runners fail before its next token is given up")
{
    GIVEN("a model with many runners for each range of layers")
    {
        SchedDriver driver(schedModel(8, 4));
        driver.plays = false;
        Request request = schedRequest(1);
        request.idempotent = true;
        driver.submit(request);
        constexpr std::size_t maxEndedRunners = 3;

        const auto failRuns = [&](std::size_t most) {
            std::size_t failed = 0;
            while (failed < most && !driver.finished(1)) {
                const StartRun run = driver.last<StartRun>();
                driver.scheduler->onRunFailed(run.request, run.attempt, run.epoch,
                    static_cast<std::uint32_t>(failed % run.route.size()), FailureProof::MayHaveRun,
                    Reason::ConnectionLost);
                driver.pump();
                driver.advance(10ms);
                ++failed;
            }
            return failed;
        };

        WHEN("each runner that begins it ends")
        {
            const std::size_t failed = failRuns(8);

            THEN("it is given up after a few of them")
            {
                CHECK(failed <= maxEndedRunners);
                CHECK(driver.finished(1));
            }
        }

        WHEN("it gets a token between the failures")
        {
            for (std::uint32_t position = 0; position < 4; ++position) {
                REQUIRE(failRuns(1) == 1);
                const StartRun run = driver.last<StartRun>();
                driver.scheduler->onToken(run.request, run.attempt, run.epoch, position, "t");
                driver.pump();
            }

            THEN("it goes on") { CHECK_FALSE(driver.finished(1)); }
        }
    }
}
