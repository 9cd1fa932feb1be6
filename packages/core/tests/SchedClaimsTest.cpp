#include "tests/support/SchedDriver.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace fuchsialb;
using namespace fuchsialb::test;

// Guards against a second run of a request that must run at most once.
TEST_CASE("A non-idempotent call is dispatched only under a claim")
{
    SchedDriver driver(schedService(2, 4));

    SECTION("a granted claim is followed by one call and by the record of its outcome")
    {
        driver.submit(schedCall(1, false));
        REQUIRE(driver.all<ClaimNeeded>().size() == 1);
        CHECK(driver.all<CallService>().empty());
        driver.advance(1s);
        REQUIRE(driver.all<CallService>().size() == 1);
        CHECK(driver.last<CallService>().attempt == driver.last<ClaimNeeded>().attempt);
        CHECK(driver.result(1).outcome == Outcome::Completed);
        CHECK(driver.result(1).body == "body");
        REQUIRE(driver.all<ClaimSettled>().size() == 1);
        CHECK(driver.last<ClaimSettled>().outcome == Outcome::Completed);
        CHECK(driver.last<ClaimSettled>().httpStatus == 200);
    }

    SECTION("every other verdict dispatches nothing")
    {
        struct Case {
            ClaimResult verdict;
            Outcome outcome;
            Reason reason;
            std::uint32_t status;
        };
        const Case each
            = GENERATE(Case { { ClaimVerdict::KeyReused, 0 }, Outcome::NotRun, Reason::IdempotencyKeyReused, 422 },
                Case { { ClaimVerdict::Completed, 201 }, Outcome::Completed, Reason::AlreadyCompleted, 201 },
                Case { { ClaimVerdict::Unknown, 0 }, Outcome::Unknown, Reason::EarlierAttemptUnknown, 409 },
                Case { { ClaimVerdict::Unavailable, 0 }, Outcome::NotRun, Reason::StoreUnavailable, 0 });
        driver.verdict = each.verdict;
        driver.submit(schedCall(1, false));
        driver.advance(1s);
        CHECK(driver.all<CallService>().empty());
        CHECK(driver.all<ClaimSettled>().empty());
        CHECK(driver.result(1).outcome == each.outcome);
        CHECK(driver.result(1).reason == each.reason);
        CHECK(driver.result(1).httpStatus == each.status);
        CHECK(driver.result(1).replayed == (each.verdict.verdict == ClaimVerdict::Completed));
        const bool comeBack
            = each.verdict.verdict == ClaimVerdict::Unknown || each.verdict.verdict == ClaimVerdict::Unavailable;
        CHECK(driver.result(1).retryAfter.has_value() == comeBack);
    }
    CHECK(driver.faults.empty());
}

// Guards against work at endpoints that can't tell a repeated key while no claim stands.
TEST_CASE("While the store is unavailable only deduplicating endpoints are used")
{
    Configuration configuration = schedService(2, 4);
    configuration.endpoints[EndpointId("s1")].deduplicates = true;
    SchedDriver driver(configuration);
    driver.verdict = { ClaimVerdict::Unavailable, 0 };
    for (std::uint64_t number = 1; number <= 4; ++number)
        driver.submit(schedCall(number, false));
    driver.submit(schedCall(5, true));
    driver.advance(1s);
    for (const CallService& call : driver.all<CallService>()) {
        if (call.request != SchedDriver::id(5))
            CHECK(call.endpoint == EndpointId("s1"));
    }
    for (std::uint64_t number = 1; number <= 5; ++number)
        CHECK(driver.result(number).outcome == Outcome::Completed);
    // No claim stands, so there is nothing to settle.
    CHECK(driver.all<ClaimSettled>().empty());
}

// Guards against a route with a runner that would run a repeated key again.
TEST_CASE("While the store is unavailable every runner of a route deduplicates")
{
    Configuration configuration = schedModel(2, 1);
    configuration.endpoints[EndpointId("a1")].deduplicates = true;
    configuration.endpoints[EndpointId("b1")].deduplicates = true;
    SchedDriver driver(configuration);
    driver.verdict = { ClaimVerdict::Unavailable, 0 };
    for (std::uint64_t number = 1; number <= 3; ++number) {
        Request request = schedRequest(number, Rank::Recording);
        request.idempotent = false;
        request.idempotencyKey = "key";
        driver.submit(request);
    }
    driver.advance(3s);
    REQUIRE(driver.all<StartRun>().size() == 3);
    for (const StartRun& start : driver.all<StartRun>()) {
        CHECK(start.route[0].endpoint == EndpointId("a1"));
        CHECK(start.route[1].endpoint == EndpointId("b1"));
    }
}

// Guards against a repeated non-idempotent call, lost claims, and retries without bound.
TEST_CASE("A failed call is retried only when that is safe and within the budget")
{
    SchedDriver driver(schedService(3, 4));
    driver.plays = false;

    SECTION("idempotent: retried elsewhere after any failure, at most twice")
    {
        driver.submit(schedCall(1, true));
        std::set<EndpointId> tried;
        for (int i = 0; i < 3; ++i) {
            const CallService call = driver.last<CallService>();
            tried.insert(call.endpoint);
            driver.scheduler->onServiceFailed(
                call.request, call.attempt, FailureProof::MayHaveRun, Reason::ConnectionLost);
            // A second report of the same failure counts for nothing.
            driver.scheduler->onServiceFailed(
                call.request, call.attempt, FailureProof::NotStarted, Reason::ConnectFailed);
            driver.pump();
        }
        CHECK(tried.size() == 3);
        CHECK(driver.all<CallService>().size() == 3);
        CHECK(driver.result(1).outcome == Outcome::Unknown);
    }

    SECTION("non-idempotent: not repeated when it may have run")
    {
        driver.submit(schedCall(1, false));
        const ClaimNeeded claim = driver.last<ClaimNeeded>();
        driver.scheduler->onClaim(claim.request, claim.attempt, { ClaimVerdict::Granted, 0 });
        driver.pump();
        const CallService call = driver.last<CallService>();
        driver.scheduler->onServiceFailed(call.request, call.attempt, FailureProof::MayHaveRun, Reason::ConnectionLost);
        driver.advance(5s);
        CHECK(driver.all<CallService>().size() == 1);
        CHECK(driver.result(1).outcome == Outcome::Unknown);
        REQUIRE(driver.all<ClaimSettled>().size() == 1);
        CHECK(driver.last<ClaimSettled>().outcome == Outcome::Unknown);
    }

    SECTION("non-idempotent: repeated when it did not start, and the claim is released when it is given up")
    {
        driver.plays = true;
        driver.dead = { "s0", "s1", "s2" };
        driver.submit(schedCall(1, false));
        driver.advance(30s);
        CHECK(driver.all<CallService>().size() == 3);
        CHECK(driver.all<ClaimNeeded>().size() == 1);
        CHECK(driver.result(1).outcome == Outcome::NotRun);
        CHECK(driver.result(1).retryAfter.has_value());
        REQUIRE(driver.all<ClaimSettled>().size() == 1);
        CHECK(driver.last<ClaimSettled>().attempt == driver.last<ClaimNeeded>().attempt);
        CHECK(driver.last<ClaimSettled>().outcome == Outcome::NotRun);
    }

    CHECK(driver.faults.empty());
}

// Guards against retries that multiply the load of a broken service.
TEST_CASE("Retries stay within a tenth of the request rate")
{
    // Every request meets endpoints that have not failed yet, so that only the budget limits its retries.
    SchedDriver driver(schedService(700, 1));
    for (std::uint32_t i = 0; i < 700; ++i)
        driver.dead.insert("s" + std::to_string(i));
    constexpr std::size_t requests = 200;
    for (std::uint64_t number = 1; number <= requests; ++number) {
        driver.submit(schedCall(number, true));
        driver.advance(10ms);
    }
    const std::size_t retries = driver.decisions(Reason::Retried);
    // The floor of the budget is 3 at once and 0.5 a second.
    CHECK(retries >= requests / 10);
    CHECK(retries <= requests / 10 + 3 + 1);
    CHECK(driver.results.size() == requests);
    CHECK(driver.faults.empty());
}

// Guards against an organisation that pays twice for a request that went back to the queue for its claim.
TEST_CASE("Claims cost an organisation no share")
{
    SchedDriver driver(schedService(1, 1));
    for (std::uint64_t number = 1; number <= 80; ++number) {
        Request call = schedCall(number, number % 2 == 0);
        call.organisation = OrganisationId(number % 2 == 0 ? "idempotent" : "claiming");
        driver.submit(call);
    }
    driver.advance(2s);
    std::map<bool, int> completed;
    for (const auto& [id, result] : driver.results)
        ++completed[id.value().low % 2 == 0];
    CHECK(completed[true] + completed[false] >= 30);
    CHECK(std::abs(completed[true] - completed[false]) <= 2);
}

// Guards against a claim that stays taken by a request that was answered "not run" (P3).
TEST_CASE("A claim granted too late is released")
{
    SchedDriver driver(schedService(1, 1));
    driver.plays = false;
    driver.submit(schedCall(1, false));
    const ClaimNeeded claim = driver.last<ClaimNeeded>();
    const bool cancelled = GENERATE(true, false);
    if (cancelled)
        driver.scheduler->cancel(claim.request);
    else
        driver.advance(21s);
    driver.pump();
    CHECK(driver.result(1).outcome == Outcome::NotRun);
    CHECK_FALSE(driver.scheduler->idle());
    driver.scheduler->onClaim(claim.request, claim.attempt, { ClaimVerdict::Granted, 0 });
    driver.pump();
    CHECK(driver.all<CallService>().empty());
    REQUIRE(driver.all<ClaimSettled>().size() == 1);
    CHECK(driver.last<ClaimSettled>().outcome == Outcome::NotRun);
    CHECK(driver.scheduler->idle());
    CHECK(driver.faults.empty());
}
