#include "fuchsialb/Daemon.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace fuchsialb;

namespace {

const RequestId id { Bits128 { 1, 2 } };

Result failed(Outcome outcome, Reason reason)
{
    Result result;
    result.outcome = outcome;
    result.reason = reason;
    return result;
}

std::string headerOf(const HttpResponse& response, const std::string& name)
{
    for (const auto& [key, value] : response.headers) {
        if (key == name)
            return value;
    }
    return {};
}

} // namespace

// Guards against an answer whose status, header and body say different things.
TEST_CASE("Every answer carries its outcome")
{
    SECTION("a refusal says not-run and when to come back")
    {
        Result result = failed(Outcome::NotRun, Reason::DeadlineUnreachable);
        result.retryAfter = std::chrono::milliseconds(1200);
        const HttpResponse response = problemResponse(result, id);
        const auto body = nlohmann::json::parse(response.body);
        CHECK(response.status == 429);
        CHECK(headerOf(response, "fuchsialb-outcome") == "not-run");
        CHECK(headerOf(response, "retry-after") == "2");
        CHECK(headerOf(response, "content-type") == "application/problem+json");
        CHECK(body["type"] == "urn:fuchsialb:problem:deadline-unreachable");
        CHECK(body["status"] == 429);
        CHECK(body["outcome"] == "not-run");
        CHECK(body["retry_after_ms"] == 1200);
    }
    SECTION("statuses by outcome and reason")
    {
        CHECK(statusOf(failed(Outcome::NotRun, Reason::IdempotencyKeyReused)) == 422);
        CHECK(statusOf(failed(Outcome::NotRun, Reason::IdempotencyKeyRequired)) == 428);
        CHECK(statusOf(failed(Outcome::NotRun, Reason::StoreUnavailable)) == 503);
        CHECK(statusOf(failed(Outcome::Unknown, Reason::EarlierAttemptUnknown)) == 409);
        CHECK(statusOf(failed(Outcome::Unknown, Reason::ConnectionLost)) == 502);
        CHECK(statusOf(failed(Outcome::Unknown, Reason::DeadlineExceeded)) == 504);
    }
    SECTION("a stream that could not be finished does not look complete")
    {
        const std::string events = finalEvents(failed(Outcome::Unknown, Reason::StageFailed), id, "m");
        CHECK_THAT(events, Catch::Contains("outcome-unknown"));
        CHECK_THAT(events, !Catch::Contains("[DONE]"));
    }
    SECTION("a stream that was finished ends with its outcome and [DONE]")
    {
        Result result = failed(Outcome::Completed, Reason::Ok);
        result.finishReason = "length";
        const std::string events = finalEvents(result, id, "m");
        CHECK_THAT(events, Catch::Contains("\"outcome\":\"completed\""));
        CHECK_THAT(events, Catch::EndsWith("data: [DONE]\n\n"));
    }
    // Guards against a caller's bytes that break the JSON of an answer.
    SECTION("text that is not UTF-8 is replaced, not thrown") { CHECK_NOTHROW(tokenEvent(id, "m", "\xff\xfe")); }
}

// Guards against a trace that breaks at this hop, and against a hostile header.
TEST_CASE("The trace context of a caller is carried on")
{
    const std::string parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    SECTION("a valid one")
    {
        const auto context = TraceContext::parse(parent);
        REQUIRE(context);
        CHECK(context->text() == parent);
        Random random(1);
        const TraceContext child = context->child(random);
        CHECK(child.trace == context->trace);
        CHECK(child.span != context->span);
        CHECK(child.sampled);
    }
    SECTION("malformed ones are ignored")
    {
        for (const std::string& bad : std::vector<std::string> { "", parent.substr(1), parent + "0",
                 std::string(55, '-'), "ff" + parent.substr(2), "00-" + std::string(32, '0') + parent.substr(35),
                 "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01" })
            CHECK_FALSE(TraceContext::parse(bad));
    }
}
