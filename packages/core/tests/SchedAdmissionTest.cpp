#include "tests/support/SchedDriver.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;
using namespace fuchsialb::test;

// Guards against callers that are held until near their deadline, or refused without need (P8).
TEST_CASE("A request that can't be served in time is refused at once")
{
    SchedDriver driver(schedModel(1, 4));

    SECTION("a cold scheduler refuses nothing that fits")
    {
        for (std::uint64_t number = 1; number <= 8; ++number)
            driver.submit(schedRequest(number));
        driver.advance(3s);
        for (std::uint64_t number = 1; number <= 8; ++number)
            CHECK(driver.result(number).outcome == Outcome::Completed);
    }

    SECTION("the refusal states when to come back, with a jitter of up to a quarter")
    {
        for (std::uint64_t number = 1; number <= 100; ++number)
            driver.submit(schedRequest(number, Rank::Recording));
        std::set<Duration> times;
        for (std::uint64_t number = 101; number <= 110; ++number) {
            Request request = schedRequest(number, Rank::Recording);
            request.timeLeft = 1s;
            driver.submit(request);
            REQUIRE(driver.finished(number));
            CHECK(driver.result(number).outcome == Outcome::NotRun);
            CHECK(driver.result(number).reason == Reason::DeadlineUnreachable);
            times.insert(driver.result(number).retryAfter.value());
        }
        const Duration wait = driver.scheduler->load().wait[Rank::Recording];
        CHECK(times.size() > 5);
        CHECK(*times.begin() >= wait * 9 / 10);
        CHECK(*times.rbegin() <= wait * 13 / 10);
        // The stated time is true: the backlog is served by then.
        driver.advance(*times.rbegin());
        Request again = schedRequest(200, Rank::Recording);
        again.timeLeft = 1s;
        driver.submit(again);
        driver.advance(1s);
        CHECK(driver.result(200).outcome == Outcome::Completed);
    }

    SECTION("the backlog of a large organisation does not count against a small one")
    {
        for (std::uint64_t number = 1; number <= 100; ++number)
            driver.submit(schedRequest(number, Rank::Recording, 10, "large"));
        Request small = schedRequest(101, Rank::Recording, 10, "small");
        small.timeLeft = 2s;
        driver.submit(small);
        driver.advance(2s);
        CHECK(driver.result(101).outcome == Outcome::Completed);
        CHECK(driver.firstToken.at(small.id) - (driver.clock.now() - 2s) <= 2s);
    }

    SECTION("a backlog is bounded for each organisation and rank")
    {
        Configuration patient = schedModel(1, 4);
        patient.ranks[Rank::Summary].maxQueueWait = 24h;
        driver.scheduler->configure(patient);
        for (std::uint64_t number = 1; number <= 600; ++number)
            driver.submit(schedRequest(number, Rank::Summary));
        CHECK(driver.result(600).reason == Reason::QueueFull);
        CHECK(driver.result(600).retryAfter.has_value());
        driver.submit(schedRequest(601, Rank::Summary, 10, "other"));
        CHECK_FALSE(driver.finished(601));
    }

    SECTION("queued requests are refused as soon as a loss of capacity makes them late")
    {
        driver.scheduler->configure(schedModel(4, 4));
        driver.advance(3s);
        for (std::uint64_t number = 1; number <= 120; ++number)
            driver.submit(schedRequest(number, Rank::Recording, 50));
        driver.advance(10ms);
        const std::size_t before = driver.decisions(Reason::DeadlineUnreachable);
        for (const char* endpoint : { "b0", "b1", "b2" })
            driver.kill(endpoint);
        driver.advance(1s);
        CHECK(driver.decisions(Reason::DeadlineUnreachable) > before + 20);
        for (const Finish& finish : driver.all<Finish>())
            CHECK(finish.result.outcome == Outcome::NotRun);
    }
    CHECK(driver.faults.empty());
}

// Guards against work that is lost, or run by two schedulers, when this one stops (P6).
TEST_CASE("A scheduler that stops returns what it did not start and finishes the rest")
{
    SchedDriver driver(schedModel(1, 2));
    for (std::uint64_t number = 1; number <= 4; ++number)
        driver.submit(schedRequest(number, Rank::Recording));
    driver.advance(100ms);
    driver.scheduler->stopAccepting(Reason::ShuttingDown);
    driver.submit(schedRequest(5));
    const auto returned = driver.all<ReturnRequest>();
    REQUIRE(returned.size() == 3);
    CHECK(returned[0].request == SchedDriver::id(3));
    CHECK(returned[0].reason == Reason::ShuttingDown);
    CHECK(returned[2].request == SchedDriver::id(5));
    CHECK_FALSE(driver.scheduler->idle());

    SECTION("running work completes") { driver.advance(1s); }
    SECTION("running work recovers from a failure")
    {
        driver.kill("b0");
        driver.revive("b0");
        driver.advance(3s);
    }
    CHECK(driver.result(1).outcome == Outcome::Completed);
    CHECK(driver.result(2).outcome == Outcome::Completed);
    CHECK(driver.scheduler->idle());
    CHECK(driver.faults.empty());
}

// Guards against a claim that keeps the next scheduler from running a returned request.
TEST_CASE("A returned request leaves no claim behind")
{
    SchedDriver driver(schedService(1, 1));
    driver.submit(schedCall(1, false));
    driver.submit(schedCall(2, false));
    driver.advance(6ms);
    driver.advance(4ms);
    driver.plays = false;
    driver.submit(schedCall(3, false));
    REQUIRE(driver.all<CallService>().size() == 1);
    driver.scheduler->stopAccepting(Reason::OwnershipMoved);
    driver.pump();
    REQUIRE(driver.all<ClaimSettled>().size() == 1);
    CHECK(driver.last<ClaimSettled>().request == SchedDriver::id(2));
    CHECK(driver.last<ClaimSettled>().outcome == Outcome::NotRun);
    CHECK(driver.all<ReturnRequest>().size() == 2);
}

// Guards against decisions that depend on anything but the events and the seed.
TEST_CASE("The same events and seed give the same effects byte for byte")
{
    const auto play = [](std::uint64_t seed) {
        SchedDriver driver(schedModel(3, 4), seed);
        Random load(11);
        for (std::uint64_t number = 1; number <= 400; ++number) {
            Request request = schedRequest(
                number, allRanks[load.below(rankCount)], 1 + load.below(30), "o" + std::to_string(load.below(5)));
            request.idempotent = load.chance(0.8);
            request.idempotencyKey = "key";
            if (load.chance(0.3))
                request.timeLeft = 1s;
            driver.submit(request);
            driver.advance(Duration(load.below(60000)));
            const std::string endpoint = (load.chance(0.5) ? "a" : "b") + std::to_string(load.below(3));
            if (load.chance(0.05))
                driver.kill(endpoint);
            if (load.chance(0.1))
                driver.dead.clear();
        }
        driver.dead.clear();
        driver.advance(120s);
        CHECK(driver.faults.empty());
        CHECK(driver.results.size() == 400);
        CHECK(driver.scheduler->idle());
        return driver.trace;
    };
    const std::string first = play(3);
    CHECK(first == play(3));
    CHECK(first != play(4));
}
