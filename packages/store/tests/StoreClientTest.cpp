#include "fuchsialb/Store.h"

#include <catch2/catch.hpp>

#include <deque>
#include <string>
#include <vector>

using namespace fuchsialb;
using namespace std::chrono_literals;
using Kind = StoreAnswer::Kind;

namespace {

/// Keeps the exchanges for the test to answer.
class FakeClient final : public HttpClient {
public:
    absl::StatusOr<HttpExchangeId> start(HttpRequest request, HttpHandlers handlers) override
    {
        if (full)
            return error(Reason::QueueFull, "full");
        requests.push_back(std::move(request));
        m_handlers.push_back(std::move(handlers));
        return HttpExchangeId(requests.size());
    }
    void cancel(HttpExchangeId) override { }
    void setPaused(HttpExchangeId, bool) override { }

    HttpRequest answer(std::uint32_t status, std::string version, std::string body)
    {
        HttpResponse response { status, {}, std::move(body) };
        if (!version.empty())
            response.headers.emplace_back("version", std::move(version));
        const HttpRequest request = next();
        take().onResponse(std::move(response));
        return request;
    }

    HttpRequest fail(Reason reason, bool notSent)
    {
        const HttpRequest request = next();
        take().onFailure({ error(reason, "test"), notSent });
        return request;
    }

    bool full = false;
    std::vector<HttpRequest> requests;

private:
    HttpRequest next() const { return requests[requests.size() - m_handlers.size()]; }
    HttpHandlers take()
    {
        REQUIRE_FALSE(m_handlers.empty());
        HttpHandlers handlers = std::move(m_handlers.front());
        m_handlers.pop_front();
        return handlers;
    }

    std::deque<HttpHandlers> m_handlers;
};

struct Fixture {
    FakeClient http;
    ManualClock clock;
    std::unique_ptr<StoreClient> store = *StoreClient::create({ "http://127.0.0.1:9", 1s }, http, clock);
    std::vector<StoreAnswer> answers;

    StoreClient::OnAnswer collect()
    {
        return [this](StoreAnswer answer) { answers.push_back(std::move(answer)); };
    }
    void write()
    {
        store->compareAndSwap({ StoreOperationId(7), "claims/a b/1", KeyVersion(3), "v" }, LeaseId(5), collect());
    }
    void watch(std::uint64_t after)
    {
        store->watch({ StoreOperationId(8), "config/head", KeyVersion(after), 10s }, collect());
    }
};

const char* unchanged = R"({"revision":40,"changes":[{"key":"config/head","revision":30,"version":6}]})";
const char* nothing = R"({"revision":41,"changes":[]})";

} // namespace

// Guards against a claim or a configuration that is taken for written when it is not, or the other way round.
TEST_CASE("A write is answered with exactly what is known of it")
{
    Fixture f;
    struct Case {
        std::uint32_t status;
        const char* version;
        Kind kind;
        std::uint64_t at;
    };
    const std::vector<Case> cases { { 200, "4", Kind::Ok, 4 }, { 200, "", Kind::Lost, 0 }, { 200, "x", Kind::Lost, 0 },
        { 409, "9", Kind::Conflict, 9 }, { 409, "", Kind::Lost, 0 }, { 400, "", Kind::Failed, 0 },
        { 413, "", Kind::Failed, 0 }, { 429, "", Kind::Lost, 0 }, { 500, "", Kind::Lost, 0 },
        { 503, "", Kind::Lost, 0 }, { 302, "", Kind::Lost, 0 } };
    for (const Case& c : cases) {
        INFO(c.status << " version " << c.version);
        f.answers.clear();
        f.write();
        const HttpRequest request = f.http.answer(c.status, c.version, "");
        CHECK(request.method == "PUT");
        CHECK(request.url == "http://127.0.0.1:9/v1/kv/claims/a%20b/1?expect=3&lease=5");
        CHECK(request.body == "v");
        CHECK(request.timeout == 1s);
        REQUIRE(f.answers.size() == 1);
        CHECK(f.answers[0].kind == c.kind);
        CHECK(f.answers[0].version == KeyVersion(c.at));
        CHECK(f.answers[0].operation == StoreOperationId(7));
    }

    SECTION("a request that was not sent has failed")
    {
        f.write();
        f.http.fail(Reason::ConnectFailed, true);
        CHECK(f.answers.back().kind == Kind::Failed);
        f.http.full = true;
        f.write();
        CHECK(f.answers.back().kind == Kind::Failed);
    }
    SECTION("a request that was sent may have taken effect")
    {
        for (Reason reason : { Reason::Timeout, Reason::ConnectionLost, Reason::ConnectFailed }) {
            f.write();
            f.http.fail(reason, false);
            CHECK(f.answers.back().kind == Kind::Lost);
        }
    }
    SECTION("removing a key follows the same rules")
    {
        f.store->remove(StoreOperationId(2), "k", KeyVersion(3), f.collect());
        const HttpRequest request = f.http.answer(200, "", "");
        CHECK(request.method == "DELETE");
        CHECK(f.answers.back().kind == Kind::Ok);
        f.store->remove(StoreOperationId(2), "k", KeyVersion(3), f.collect());
        f.http.fail(Reason::Timeout, false);
        CHECK(f.answers.back().kind == Kind::Lost);
    }
}

TEST_CASE("A read tells a missing key from a failure")
{
    Fixture f;
    for (int i = 0; i < 4; ++i)
        f.store->read({ StoreOperationId(1), "k" }, f.collect());
    f.http.answer(200, "3", std::string("a\0b", 3));
    f.http.answer(404, "", "");
    f.http.answer(503, "", "");
    f.http.fail(Reason::Timeout, false);
    REQUIRE(f.answers.size() == 4);
    CHECK(f.answers[0].kind == Kind::Ok);
    CHECK(f.answers[0].version == KeyVersion(3));
    CHECK(f.answers[0].value == std::string("a\0b", 3));
    CHECK(f.answers[1].kind == Kind::Missing);
    CHECK(f.answers[2].kind == Kind::Failed);
    CHECK(f.answers[3].kind == Kind::Failed);
}

// Guards against a change of the configuration that a watch misses.
TEST_CASE("A watch answers when the key's version differs")
{
    Fixture f;
    SECTION("a change before the watch is found at once")
    {
        f.watch(5);
        const HttpRequest poll = f.http.answer(200, "", unchanged);
        CHECK(poll.url == "http://127.0.0.1:9/v1/watch?prefix=config/head&after=0&wait_ms=10000");
        CHECK(poll.timeout == 11s);
        f.http.answer(200, "6", "head");
        REQUIRE(f.answers.size() == 1);
        CHECK(f.answers[0].kind == Kind::Ok);
        CHECK(f.answers[0].version == KeyVersion(6));
        CHECK(f.answers[0].value == "head");

        AND_WHEN("the next watch goes on from there")
        {
            f.watch(6);
            CHECK(f.http.requests.back().url.find("after=40&") != std::string::npos);
        }
    }
    SECTION("a known version is waited on from the store's revision")
    {
        f.watch(6);
        f.http.answer(200, "", unchanged);
        CHECK(f.http.requests.back().url.find("after=40&wait_ms=10000") != std::string::npos);
        f.clock.advance(10s);
        f.http.answer(200, "", nothing);
        REQUIRE(f.answers.size() == 1);
        CHECK(f.answers[0].kind == Kind::Missing);
    }
    SECTION("a change is not passed over when reading it fails")
    {
        f.watch(5);
        f.http.answer(200, "", unchanged);
        f.http.fail(Reason::Timeout, false);
        CHECK(f.answers.back().kind == Kind::Failed);
        f.watch(5);
        CHECK(f.http.requests.back().url.find("after=0&") != std::string::npos);
    }
    SECTION("changes of keys with the same prefix are waited through, a bounded number of times")
    {
        f.watch(6);
        for (int i = 0; i < 8; ++i)
            f.http.answer(200, "", R"({"revision":50,"changes":[{"key":"config/head2","revision":50,"version":1}]})");
        CHECK(f.answers.size() == 1);
    }
    SECTION("a store restored from older data is noticed")
    {
        f.watch(6);
        f.http.answer(200, "", unchanged);
        f.http.answer(200, "", R"({"revision":12,"changes":[]})");
        CHECK(f.http.requests.back().url.find("after=0&") != std::string::npos);
        f.http.answer(200, "", R"({"revision":12,"changes":[{"key":"config/head","revision":10,"version":4}]})");
        f.http.answer(200, "4", "old");
        CHECK(f.answers.back().version == KeyVersion(4));
    }
    SECTION("an answer that is no JSON is a failure")
    {
        f.watch(6);
        f.http.answer(200, "", "<html>");
        CHECK(f.answers.back().kind == Kind::Failed);
    }
}

TEST_CASE("Lists, leases and hosts are read strictly")
{
    Fixture f;
    absl::Status status;
    std::vector<ListedKey> keys;
    const auto onKeys = [&](absl::StatusOr<std::vector<ListedKey>> listed) {
        status = listed.status();
        keys = listed.ok() ? *listed : std::vector<ListedKey>();
    };
    f.store->list("a/", onKeys);
    f.http.answer(200, "", R"({"revision":4,"keys":[{"key":"a/1","version":2}]})");
    CHECK(keys == std::vector<ListedKey> { { "a/1", KeyVersion(2) } });
    f.store->list("a/", onKeys);
    f.http.answer(200, "", R"({"keys":[{"key":1}]})");
    CHECK(reasonOf(status) == Reason::MalformedMessage);

    f.store->createLease(1500ms, [&](absl::StatusOr<LeaseId> lease) { CHECK(*lease == LeaseId(9)); });
    CHECK(f.http.answer(200, "", R"({"lease":9})").url == "http://127.0.0.1:9/v1/leases?ttl_ms=1500");
    f.store->renewLease(LeaseId(9), [&](const absl::Status& renewed) { status = renewed; });
    CHECK(f.http.answer(404, "", "{}").url == "http://127.0.0.1:9/v1/leases/9/renew");
    CHECK(reasonOf(status) == Reason::StoreConflict);

    std::vector<ListedHost> hosts;
    f.store->hosts([&](absl::StatusOr<std::vector<ListedHost>> listed) { hosts = *listed; });
    f.http.answer(200, "", R"([{"host":"h1","data_centre":"dc","address":"127.0.0.1:1","leaving":true}])");
    CHECK(hosts == std::vector<ListedHost> { { HostId("h1"), DataCentreId("dc"), "127.0.0.1:1", true } });
    f.store->hosts([&](const absl::StatusOr<std::vector<ListedHost>>& listed) { status = listed.status(); });
    f.http.fail(Reason::Timeout, false);
    CHECK(reasonOf(status) == Reason::StoreUnavailable);

    CHECK(reasonOf(StoreClient::create({ "https://x", 1s }, f.http, f.clock).status()) == Reason::InvalidFlag);
}
