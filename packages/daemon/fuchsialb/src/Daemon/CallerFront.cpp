#include "CallerFront.h"

#include <utility>

namespace fuchsialb {

namespace {

    // Shortest useful pause of a caller whose request met a full ring.
    constexpr Duration ringFullRetryAfter = std::chrono::seconds(1);

} // namespace

CallerFront::CallerFront(Options options, const Clock& clock, Metrics& metrics, Submit submit)
    : m_options(options)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_submit(std::move(submit))
    , m_random(options.seed)
{
}

void CallerFront::health(const ServerRequest& request, HttpReply& reply) const
{
    const bool ready = m_ready;
    const bool live = request.path == "/healthz";
    HttpResponse response;
    response.status = live || ready ? 200 : 503;
    response.headers = { { "content-type", "text/plain" } };
    response.body = live || ready ? "ok\n" : "not ready\n";
    reply.send(std::move(response));
}

void CallerFront::refuse(HttpReply& reply, RequestId request, Rank rank, const absl::Status& status)
{
    Result result;
    result.outcome = Outcome::NotRun;
    result.reason = reasonOf(status);
    result.detail = std::string(status.message());
    if (result.reason == Reason::Overloaded)
        result.retryAfter = ringFullRetryAfter;
    m_metrics.requestFinished(rank, result);
    reply.send(problemResponse(result, request));
}

void CallerFront::startTrace(const ServerRequest& from, Request& to)
{
    const std::string* parent = from.header("traceparent");
    auto context = parent ? TraceContext::parse(*parent) : std::nullopt;
    if (!context)
        context = TraceContext::root(m_random, m_random.chance(m_options.traceSample));
    to.traceParent = context->text();
}

void CallerFront::handle(const ServerRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    if (request.path == "/healthz" || request.path == "/readyz") {
        health(request, *reply);
        return;
    }
    auto read = RequestReader::read(request, m_defaultRank);
    RequestId id;
    {
        const std::lock_guard lock(m_mutex);
        id = RequestId(m_random.bits128());
        if (read.ok())
            startTrace(request, read->request);
    }
    if (!read.ok()) {
        refuse(*reply, id, m_defaultRank, read.status());
        return;
    }
    read->request.id = id;
    const Rank rank = read->request.rank;
    Caller caller;
    caller.reply = reply;
    caller.rank = rank;
    caller.kind = read->request.kind;
    caller.target = read->request.target.value();
    caller.stream = read->stream;
    caller.arrived = m_clock.now();
    {
        const std::lock_guard lock(m_mutex);
        m_callers.emplace(id, std::move(caller));
    }
    reply->onClosed([this, id] {
        {
            const std::lock_guard lock(m_mutex);
            if (m_callers.erase(id) == 0)
                return;
        }
        // When the ring is full the request runs to its end and its answer finds no caller.
        static_cast<void>(m_submit(CallerGone { id }));
    });
    if (!m_submit(RequestArrived { std::move(read->request) })) {
        {
            const std::lock_guard lock(m_mutex);
            m_callers.erase(id);
        }
        refuse(*reply, id, rank, error(Reason::Overloaded, "this host has too many requests in hand"));
    }
}

void CallerFront::deliver(const DeliverToken& token)
{
    std::shared_ptr<HttpReply> reply;
    bool begin = false;
    std::string event;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_callers.find(token.request);
        if (it == m_callers.end())
            return;
        Caller& caller = it->second;
        const TimePoint now = m_clock.now();
        if (caller.tokens++ == 0)
            m_metrics.firstToken(caller.rank, now - caller.arrived);
        else
            m_metrics.betweenTokens(caller.rank, now - caller.lastToken);
        caller.lastToken = now;
        if (!caller.stream) {
            caller.text += token.text;
            return;
        }
        reply = caller.reply;
        begin = !std::exchange(caller.begun, true);
        event = tokenEvent(token.request, caller.target, token.text);
    }
    if (begin)
        reply->begin(200, streamHeaders(token.request));
    reply->write(std::move(event));
}

void CallerFront::finish(const Finish& finish)
{
    Caller caller;
    {
        const std::lock_guard lock(m_mutex);
        auto node = m_callers.extract(finish.request);
        if (node.empty())
            return;
        caller = std::move(node.mapped());
    }
    m_metrics.requestFinished(caller.rank, finish.result);
    m_metrics.requestDuration(caller.rank, m_clock.now() - caller.arrived);
    answer(caller, finish.request, finish.result);
}

void CallerFront::answer(const Caller& caller, RequestId request, const Result& result)
{
    const bool completed = result.outcome == Outcome::Completed;
    if (caller.stream && (caller.begun || completed)) {
        if (!caller.begun)
            caller.reply->begin(200, streamHeaders(request));
        caller.reply->write(finalEvents(result, request, caller.target));
        caller.reply->finish();
        return;
    }
    if (!completed)
        caller.reply->send(problemResponse(result, request));
    else if (caller.kind == TargetKind::Service)
        caller.reply->send(serviceResponse(result, request));
    else
        caller.reply->send(completionResponse(result, request, caller.target, caller.text));
}

std::size_t CallerFront::callers() const
{
    const std::lock_guard lock(m_mutex);
    return m_callers.size();
}

} // namespace fuchsialb
