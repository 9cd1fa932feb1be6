#include "fuchsialb/Daemon.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace fuchsialb;

namespace {

ServerRequest completion()
{
    ServerRequest request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = { { "fuchsialb-organisation", "observers" } };
    request.body = R"({"model":"m","prompt":"one two three","max_tokens":5,"stream":true})";
    return request;
}

struct BadRequest {
    std::string name;
    std::function<void(ServerRequest&)> change;
    Reason reason;
};

BadRequest body(const std::string& text)
{
    return { "body " + text, [=](ServerRequest& request) { request.body = text; }, Reason::InvalidInput };
}

BadRequest header(const std::string& name, const std::string& value)
{
    return { name + ": " + value.substr(0, 20),
        [=](ServerRequest& request) { request.headers.emplace_back(name, value); }, Reason::InvalidInput };
}

const std::vector<BadRequest> badRequests {
    { "no organisation", [](ServerRequest& request) { request.headers.clear(); }, Reason::OrganisationRequired },
    { "empty organisation", [](ServerRequest& request) { request.headers[0].second.clear(); }, Reason::InvalidInput },
    { "organisation with a line end", [](ServerRequest& request) { request.headers[0].second = "a\nb"; },
        Reason::InvalidInput },
    { "unknown path", [](ServerRequest& request) { request.path = "/v2/completions"; }, Reason::TargetUnknown },
    { "service without a name", [](ServerRequest& request) { request.path = "/v1/services/"; }, Reason::InvalidInput },
    { "service with a bad name", [](ServerRequest& request) { request.path = "/v1/services/a%2fb/c"; },
        Reason::InvalidInput },
    { "wrong method", [](ServerRequest& request) { request.method = "GET"; }, Reason::InvalidInput },
    body(""),
    body("{"),
    body("[]"),
    body(R"({"prompt":"p"})"),
    body(R"({"model":5,"prompt":"p"})"),
    body(R"({"model":"","prompt":"p"})"),
    body(R"({"model":"m"})"),
    body(R"({"model":"m","prompt":""})"),
    body(R"({"model":"m","prompt":["p"]})"),
    body(R"({"model":"m","prompt":"p","max_tokens":0})"),
    body(R"({"model":"m","prompt":"p","max_tokens":-1})"),
    body(R"({"model":"m","prompt":"p","max_tokens":1e9})"),
    body(R"({"model":"m","prompt":"p","max_tokens":131073})"),
    body(R"({"model":"m","prompt":"p","max_tokens":"5"})"),
    body(R"({"model":"m","prompt":"p","stream":"yes"})"),
    header("fuchsialb-rank", "first"),
    header("fuchsialb-rank", "URGENT"),
    header("fuchsialb-deadline-ms", "0"),
    header("fuchsialb-deadline-ms", "soon"),
    header("fuchsialb-deadline-ms", "99999999999999999999"),
    header("idempotency-key", ""),
    header("idempotency-key", std::string(256, 'k')),
    header("idempotency-key", "a\tb"),
};

} // namespace

// Guards against bad input that reaches the core, and against an error that does not say what is accepted.
TEST_CASE("A malformed request is refused with a typed error")
{
    REQUIRE(RequestReader::read(completion(), Rank::Recording).ok());
    for (const BadRequest& bad : badRequests) {
        DYNAMIC_SECTION(bad.name)
        {
            ServerRequest request = completion();
            bad.change(request);
            const auto result = RequestReader::read(request, Rank::Recording);
            REQUIRE_FALSE(result.ok());
            CHECK(reasonOf(result.status()) == bad.reason);
            CHECK_FALSE(result.status().message().empty());
        }
    }
}

TEST_CASE("A request is read with its headers")
{
    ServerRequest from = completion();
    SECTION("a completion")
    {
        from.headers.emplace_back("fuchsialb-rank", "urgent");
        from.headers.emplace_back("fuchsialb-deadline-ms", "1500");
        from.headers.emplace_back("idempotency-key", "sheet-1");
        const auto result = RequestReader::read(from, Rank::Recording);
        REQUIRE(result.ok());
        CHECK(result->stream);
        CHECK(result->request.rank == Rank::Urgent);
        CHECK(result->request.timeLeft == std::chrono::milliseconds(1500));
        CHECK(result->request.idempotencyKey == "sheet-1");
        CHECK(result->request.maxTokens == 5);
    }
    SECTION("a call of a plain service keeps its path and query")
    {
        from.path = "/v1/services/registry/sheets/7";
        from.query = "draft=1";
        const auto result = RequestReader::read(from, Rank::Summary);
        REQUIRE(result.ok());
        CHECK(result->request.target == TargetId("registry"));
        CHECK(result->request.path == "/sheets/7?draft=1");
        CHECK(result->request.rank == Rank::Summary);
    }
    // Guards against a repeated key that covers another call.
    SECTION("the digest covers method, path and body")
    {
        from.path = "/v1/services/registry/sheets";
        const auto digest = [&] { return RequestReader::read(from, Rank::Urgent)->request.bodyDigest; };
        const std::uint64_t first = digest();
        CHECK(digest() == first);
        from.body += " ";
        const std::uint64_t otherBody = digest();
        CHECK(otherBody != first);
        from.path += "/7";
        CHECK(digest() != otherBody);
        from.method = "PUT";
        CHECK(digest() != first);
    }
}
