#include "tests/support/SchedDriver.h"

#include <catch2/catch.hpp>

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
