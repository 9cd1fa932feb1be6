#include "fuchsialb/Standins.h"
#include "fuchsialb/src/Standins/LayerState.h"
#include "support/Http.h"

#include <mutex>

using namespace fuchsialb;
using namespace fuchsialb::standins;
using namespace fuchsialb::standins::test;

namespace {

constexpr std::uint32_t layers = 4;

std::string event(const Json& content) { return "data: " + content.dump() + "\n\n"; }

/// \brief An entry host that answers as told.
class Entry {
public:
    using Handler = std::function<void(const ServerRequest& request, HttpReply& reply)>;

    explicit Entry(Handler handler)
        : m_server(*HttpServer::create({}, [this, handler](const ServerRequest& request, const auto& reply) {
            const std::string* key = request.header("idempotency-key");
            {
                const std::lock_guard lock(m_mutex);
                m_keys.push_back(key ? *key : std::string());
            }
            handler(request, *reply);
        }))
    {
    }

    std::string address() const { return local(m_server->port()); }
    std::vector<std::string> keys()
    {
        const std::lock_guard lock(m_mutex);
        return m_keys;
    }

private:
    std::mutex m_mutex;
    std::vector<std::string> m_keys;
    std::unique_ptr<HttpServer> m_server;
};

void completeCall(const ServerRequest&, HttpReply& reply)
{
    reply.send({ 200, { { "fuchsialb-outcome", "completed" }, { "fuchsialb-replayed", "true" } }, {} });
}

void dropCall(const ServerRequest&, HttpReply& reply) { reply.abort(); }

} // namespace

// Guards against a load run that reports success for wrong, missing or repeated answers.
TEST_CASE("The caller checks the answers that it gets")
{
    Caller::Options options;
    Caller::Workload workload;
    workload.requests = 4;
    workload.rate = 1000;
    workload.layers = layers;
    workload.model = "m";
    workload.maxTokens = 3;

    SECTION("completions are compared with the expected tokens")
    {
        std::size_t served = 0;
        Entry entry([&](const ServerRequest& request, HttpReply& reply) {
            const Json body = parseObject(request.body);
            auto tokens = expectedTokens(body["prompt"].get<std::string>(), layers, 3);
            // The first answer has a wrong token, the second one is cut short but claims to be complete.
            ++served;
            if (served == 1)
                tokens[1] = "wrong ";
            if (served == 2)
                tokens.pop_back();
            reply.begin(200, { { "content-type", "text/event-stream" } });
            reply.write(": keep-alive\n\n");
            for (const std::string& token : tokens)
                reply.write(event({ { "choices", Json::array({ { { "text", token } } }) } }));
            reply.write(event({ { "outcome", "completed" } }));
            reply.finish();
        });
        options.targets = { entry.address() };
        options.workloads = { workload };
        const Json report = *Caller::run(options);
        const Json& urgent = report["ranks"]["urgent"];
        CHECK(urgent["sent"] == 4);
        CHECK(urgent["completed"] == 4);
        CHECK(urgent["wrong"] == 2);
        CHECK(urgent["first_token_ms"]["p50"].is_number());
        CHECK(urgent["between_tokens_ms"]["p99"].is_number());
    }

    SECTION("a refusal counts as not run")
    {
        Entry entry([](const ServerRequest&, HttpReply& reply) {
            reply.send(jsonResponse(503, { { "outcome", "not-run" } }));
        });
        options.targets = { entry.address() };
        options.workloads = { workload };
        const Json report = *Caller::run(options);
        CHECK(report["ranks"]["urgent"]["not_run"] == 4);
    }

    SECTION("a non-idempotent call whose answer is lost is repeated with its key at another target")
    {
        Entry dropping(dropCall);
        Entry completing(completeCall);
        options.targets = { dropping.address(), completing.address() };
        workload.service = "registry";
        workload.nonIdempotent = 1;
        workload.requests = 1;
        options.workloads = { workload };
        const Json report = *Caller::run(options);
        CHECK(report["ranks"]["urgent"]["completed"] == 1);
        REQUIRE(dropping.keys().size() == 1);
        CHECK(dropping.keys() == completing.keys());
        CHECK(report["non_idempotent"][dropping.keys()[0]] == "completed");
    }

    SECTION("repetitions are bounded, and the outcome stays unknown")
    {
        Entry dropping(dropCall);
        options.targets = { dropping.address() };
        workload.service = "registry";
        workload.nonIdempotent = 1;
        workload.requests = 1;
        workload.retries = 2;
        options.workloads = { workload };
        const Json report = *Caller::run(options);
        CHECK(report["ranks"]["urgent"]["unknown"] == 1);
        CHECK(dropping.keys().size() == 3);
    }
}
