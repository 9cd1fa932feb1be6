#include "Engine.h"

#include <utility>

namespace fuchsialb::standins {

namespace {

    // A state of a long prompt takes a while to move.
    constexpr std::chrono::seconds moveTimeout { 10 };
    // Older cache events are dropped unseen.
    constexpr std::size_t mostCacheEvents = 4096;

    std::uint32_t statusOf(const Json& result)
    {
        if (!result.contains("error"))
            return 200;
        return result["error"] == "stage-failed" ? 502 : 409;
    }

} // namespace

void Engine::handle(const ServerRequest& request, const Reply& reply)
{
    const Json body = parseObject(request.body);
    if (request.path == "/v1/pipeline/run")
        onRun(body, reply);
    else if (request.path == "/v1/pipeline/step")
        onStep(body, reply);
    else if (request.path == "/v1/pipeline/cancel")
        onCancel(body, reply);
    else if (request.path == "/v1/pipeline/replay")
        onReplay(body, reply);
    else if (request.path == "/v1/kv/export")
        onExport(request, reply);
    else if (request.path == "/v1/kv/import")
        onImport(body, reply);
    else if (request.path == "/v1/load")
        reply->send(jsonResponse(200, m_reportedLoad));
    else if (request.path == "/v1/cache-events")
        onCacheEvents(request, reply);
    else if (request.path == "/v1/orders")
        onOrders(request, reply);
    else if (request.path == "/v1/record")
        reply->send(jsonResponse(200, recorded()));
    else
        reply->send(errorResponse(404, "no-such-path"));
}

void Engine::onStep(const Json& body, const Reply& reply)
{
    StageStep step = StageStep::fromJson(body);
    if (step.request.empty() || step.hidden.empty())
        return reply->send(errorResponse(400, "invalid-step"));
    enqueue(std::move(step), [reply](const Json& result) { reply->send(jsonResponse(statusOf(result), result)); });
}

void Engine::onCancel(const Json& body, const Reply& reply)
{
    const auto request = field<std::string>(body, "request", {});
    const auto epoch = field(body, "epoch", 0U);
    m_states.cancel(request, epoch);
    const auto found = m_runs.find(request);
    if (found != m_runs.end() && found->second->epoch <= epoch)
        endRun(RunHandle(found->second), { { "error", "cancelled" } });
    reply->send(jsonResponse(200, Json::object()));
}

void Engine::onExport(const ServerRequest& request, const Reply& reply)
{
    const LayerState* state = m_states.find(request.parameter("request"));
    if (!state)
        return reply->send(errorResponse(404, "no-such-state"));
    const std::uint64_t positions = numberOr(request.parameter("positions"), state->positions());
    reply->send(jsonResponse(200, state->exported(positions)));
}

void Engine::onImport(const Json& body, const Reply& reply)
{
    const auto request = field<std::string>(body, "request", {});
    const auto epoch = field(body, "epoch", 0U);
    if (!m_states.admit(request, epoch))
        return reply->send(errorResponse(409, "old-epoch"));
    HttpRequest get;
    get.url = "http://" + field<std::string>(body, "from", {}) + "/v1/kv/export?request=" + request
        + "&positions=" + std::to_string(field<std::uint64_t>(body, "positions", 0));
    get.timeout = moveTimeout;
    call(std::move(get), { { "error", "source-failed" } }, [this, request, epoch, reply](const Json& content) {
        if (content.contains("error"))
            return reply->send(jsonResponse(502, content));
        auto state = LayerState::imported(content, m_options.layers);
        if (!state)
            return reply->send(errorResponse(409, "other-layers"));
        if (!m_states.admit(request, epoch))
            return reply->send(errorResponse(409, "old-epoch"));
        const std::size_t positions = state->positions();
        m_states.install(request, std::move(*state));
        reply->send(jsonResponse(200, { { "positions", positions } }));
    });
}

void Engine::onReplay(const Json& body, const Reply& reply)
{
    StageStep step;
    step.request = field<std::string>(body, "request", {});
    step.epoch = field(body, "epoch", 0U);
    step.kind = "replay";
    step.truncate = true;
    if (!m_states.admit(step.request, step.epoch))
        return reply->send(errorResponse(409, "old-epoch"));
    const LayerState* state = m_states.find(step.request);
    if (!state || state->positions() == 0)
        return reply->send(errorResponse(404, "no-such-state"));
    step.hidden = state->outputs(0, field<std::size_t>(body, "positions", 0));
    HttpRequest send = jsonPost(field<std::string>(body, "to", {}), "/v1/pipeline/step", step.toJson());
    send.timeout = moveTimeout;
    call(std::move(send), { { "error", "successor-failed" } },
        [reply](const Json& result) { reply->send(jsonResponse(result.contains("error") ? 502 : 200, result)); });
}

void Engine::onOrders(const ServerRequest& request, const Reply& reply)
{
    if (request.method != "POST")
        return reply->send(jsonResponse(200, { { "orders", m_orders }, { "fence", m_fence } }));
    const Json order = parseObject(request.body);
    const auto fence = field<std::uint64_t>(order, "fence", 0);
    if (m_options.checksFencing && fence < m_fence)
        return reply->send(jsonResponse(409, { { "error", "old-fence" }, { "fence", m_fence } }));
    m_fence = std::max(m_fence, fence);
    m_orders.push_back(order);
    reply->send(jsonResponse(200, { { "fence", m_fence } }));
}

void Engine::onCacheEvents(const ServerRequest& request, const Reply& reply)
{
    const std::uint64_t after = numberOr(request.parameter("after"), 0);
    const TimePoint published = SystemClock().now() - m_options.cacheEventLag;
    while (m_cacheEvents.size() > mostCacheEvents)
        m_cacheEvents.pop_front();
    Json events = Json::array();
    for (const StageStates::CacheEvent& event : m_cacheEvents) {
        if (event.sequence > after && event.time <= published)
            events.push_back({ { "sequence", event.sequence }, { "prefix", event.prefix }, { "held", event.held } });
    }
    reply->send(jsonResponse(200, { { "events", std::move(events) } }));
}

void Engine::onFaults(const Json& faults, const Reply& reply)
{
    if (field(faults, "crash", false))
        return crash();
    m_slow = field(faults, "slow", m_slow);
    m_hung = field(faults, "hang", m_hung);
    reply->send(jsonResponse(200, Json::object()));
    if (!m_hung) {
        for (const auto& task : std::exchange(m_held, {}))
            task();
    }
}

Json Engine::load() const
{
    return { { "id", m_options.id }, { "running", m_runs.size() - m_waiting.size() }, { "waiting", m_waiting.size() },
        { "queued_steps", m_queue.size() }, { "batch", m_options.batch }, { "step_us", m_lastStep.count() },
        { "kv_tokens_used", m_states.usedPositions() }, { "kv_tokens", m_options.kvTokens } };
}

void Engine::reportLoad()
{
    m_reportedLoad = load();
    m_loop->after(std::max<Duration>(m_options.reportLag, std::chrono::milliseconds(1)), [this] { reportLoad(); });
}

} // namespace fuchsialb::standins
