#include "CallerSession.h"

#include "LayerState.h"

#include <fmt/format.h>

#include <utility>

namespace fuchsialb::standins {

namespace {

    std::string digestOf(std::string_view body) { return fmt::format("{:016x}", hash64(body)); }

    std::string headerOf(const HttpResponse& response, std::string_view name)
    {
        for (const auto& [header, value] : response.headers) {
            if (header == name)
                return value;
        }
        return {};
    }

    std::string urlOf(const std::string& target) { return target.starts_with("http://") ? target : "http://" + target; }

} // namespace

CallerSession::CallerSession(const Caller::Options& options, std::unique_ptr<HttpClient> client)
    : m_options(options)
    , m_loop(Loop::create())
    , m_random(options.seed)
    , m_client(std::move(client))
{
}

CallerSession::~CallerSession()
{
    m_client.reset();
    m_loop->stop();
}

Json CallerSession::run()
{
    for (const Caller::Workload& workload : m_options.workloads)
        m_left += workload.requests;
    if (m_left == 0)
        return m_report.toJson();
    m_loop->post([this] {
        for (const Caller::Workload& workload : m_options.workloads)
            startWorkload(workload);
    });
    m_finished.get_future().wait();
    return m_report.toJson();
}

void CallerSession::startWorkload(const Caller::Workload& workload)
{
    // Requests are due at fixed times, and waiting is counted from there, so that a slow answer does not thin the load.
    const TimePoint start = SystemClock().now();
    for (std::size_t index = 0; index < workload.requests; ++index) {
        const Duration offset(static_cast<std::int64_t>(static_cast<double>(index) * 1e6 / workload.rate));
        m_loop->after(offset, [this, &workload, index, due = start + offset] { begin(workload, index, due); });
    }
}

void CallerSession::begin(const Caller::Workload& workload, std::size_t index, TimePoint due)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->workload = &workload;
    exchange->index = index;
    exchange->due = due;
    exchange->body = fmt::format("body {:016x}", m_random.next());
    for (std::size_t i = 0; i < workload.promptTokens; ++i)
        exchange->prompt += fmt::format("{}w{:04x}", i == 0 ? "" : " ", m_random.below(0x10000));
    if (!workload.service.empty() && m_random.chance(workload.nonIdempotent))
        exchange->key = toHex(m_random.bits128());
    m_report.sent(workload.rank);
    attempt(exchange);
}

HttpRequest CallerSession::directRequest(const Exchange& exchange) const
{
    const Caller::Workload& workload = *exchange.workload;
    HttpRequest made;
    made.timeout = m_options.timeout;
    made.method = "POST";
    made.url = urlOf(workload.engine) + "/v1/pipeline/run";
    made.headers = { { "content-type", "application/json" } };
    const Json stage = { { "endpoint", workload.engine }, { "first_layer", 0 }, { "end_layer", workload.layers } };
    made.body = Json {
        { "request", toHex(hash128(exchange.prompt)) }, { "epoch", 1 }, { "priority", 0 }, { "model", workload.model },
        { "route", Json::array({ stage }) }, { "prompt", exchange.prompt }, { "generated", Json::array() },
        { "resume_from", 0 }, { "max_tokens", workload.maxTokens }
    }.dump();
    return made;
}

HttpRequest CallerSession::request(const Exchange& exchange) const
{
    const Caller::Workload& workload = *exchange.workload;
    const std::string url = urlOf(m_options.targets[(exchange.index + exchange.attempts) % m_options.targets.size()]);
    HttpRequest made;
    made.timeout = m_options.timeout;
    made.headers = { { "fuchsialb-organisation", workload.organisation }, { "fuchsialb-rank", workload.rank } };
    if (workload.deadlineMilliseconds > 0)
        made.headers.emplace_back("fuchsialb-deadline-ms", std::to_string(workload.deadlineMilliseconds));
    if (!workload.engine.empty())
        return directRequest(exchange);
    if (workload.service.empty()) {
        made.method = "POST";
        made.url = url + "/v1/completions";
        made.headers.emplace_back("content-type", "application/json");
        made.body = Json {
            { "model", workload.model }, { "prompt", exchange.prompt }, { "max_tokens", workload.maxTokens },
            { "stream", true }
        }.dump();
        return made;
    }
    made.url = url + "/v1/services/" + workload.service + "/calls";
    if (exchange.key.empty())
        return made;
    made.method = "POST";
    made.headers.emplace_back("Idempotency-Key", exchange.key);
    made.body = exchange.body;
    return made;
}

void CallerSession::attempt(const ExchangeHandle& exchange)
{
    exchange->text.clear();
    exchange->outcome.clear();
    exchange->tokens = 0;
    HttpRequest made = request(*exchange);
    ++exchange->attempts;
    const auto stream = std::make_shared<EventStream>([this, exchange](const Json& event) {
        m_loop->post([this, exchange, event, time = SystemClock().now()] { onEvent(exchange, event, time); });
    });
    HttpHandlers handlers;
    if (exchange->workload->service.empty())
        handlers.onPiece = [stream](std::string_view piece) { stream->feed(piece); };
    handlers.onResponse = [this, exchange](const HttpResponse& response) {
        m_loop->post([this, exchange, response, time = SystemClock().now()] {
            if (!exchange->workload->service.empty())
                m_report.callEnded(exchange->workload->rank, time - exchange->due);
            onResponse(exchange, response);
        });
    };
    handlers.onFailure = [this, exchange](const HttpFailure& failure) {
        m_loop->post([this, exchange, notSent = failure.notSent] {
            exchange->outcome = outcomeName(notSent ? Outcome::NotRun : Outcome::Unknown);
            onEnd(exchange);
        });
    };
    if (!m_client->start(std::move(made), std::move(handlers)).ok()) {
        exchange->outcome = outcomeName(Outcome::NotRun);
        onEnd(exchange);
    }
}

void CallerSession::onEvent(const ExchangeHandle& exchange, const Json& event, TimePoint time)
{
    const Json problem = event.contains("error") ? event["error"] : event;
    if (problem.is_object() && problem.contains("outcome"))
        exchange->outcome = field<std::string>(problem, "outcome", {});
    if (!exchange->workload->engine.empty() && event.contains("done"))
        exchange->outcome = outcomeName(Outcome::Completed);
    const Json choices = event.value("choices", Json::array({ event }));
    if (!choices.is_array() || choices.empty())
        return;
    const auto text = field<std::string>(choices.front(), "text", {});
    if (text.empty())
        return;
    const std::string& rank = exchange->workload->rank;
    if (exchange->tokens++ == 0)
        m_report.firstToken(rank, time - exchange->due);
    else
        m_report.betweenTokens(rank, time - exchange->lastToken);
    exchange->lastToken = time;
    exchange->text += text;
}

void CallerSession::onResponse(const ExchangeHandle& exchange, const HttpResponse& response)
{
    if (exchange->outcome.empty())
        exchange->outcome = headerOf(response, "fuchsialb-outcome");
    if (exchange->outcome.empty())
        exchange->outcome = field<std::string>(parseObject(response.body), "outcome", {});
    check(*exchange, response);
    onEnd(exchange);
}

void CallerSession::check(Exchange& exchange, const HttpResponse& response) const
{
    const bool completed = exchange.outcome == outcomeName(Outcome::Completed);
    const Caller::Workload& workload = *exchange.workload;
    if (workload.service.empty()) {
        std::string expected;
        for (const std::string& token : expectedTokens(exchange.prompt, workload.layers, workload.maxTokens))
            expected += token;
        exchange.wrong = completed ? exchange.text != expected : !expected.starts_with(exchange.text);
        return;
    }
    // A replayed answer may come without its body.
    const auto digest = field<std::string>(parseObject(response.body), "body_digest", {});
    const bool isReplayed = !headerOf(response, "fuchsialb-replayed").empty();
    if (completed && response.status == 200 && !isReplayed)
        exchange.wrong = digest != digestOf(exchange.key.empty() ? std::string() : exchange.body);
}

void CallerSession::onEnd(const ExchangeHandle& exchange)
{
    const Caller::Workload& workload = *exchange->workload;
    const bool isKnown
        = exchange->outcome == outcomeName(Outcome::Completed) || exchange->outcome == outcomeName(Outcome::NotRun);
    if (!isKnown && !exchange->key.empty() && exchange->attempts <= workload.retries)
        return attempt(exchange);
    m_report.ended(workload.rank, exchange->outcome, exchange->wrong);
    if (!exchange->key.empty())
        m_report.told(exchange->key, exchange->outcome);
    if (--m_left == 0)
        m_finished.set_value();
}

} // namespace fuchsialb::standins
