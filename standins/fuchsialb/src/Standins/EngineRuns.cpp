#include "Engine.h"

#include <algorithm>
#include <utility>

namespace fuchsialb::standins {

namespace {

    constexpr std::chrono::milliseconds keepAlivePeriod { 500 };
    // Prefixes for cache events end at multiples of this, as routers count them; the whole prompt counts too.
    constexpr std::size_t prefixBytes = 256;
    constexpr std::size_t mostPrefixes = 32;

    std::vector<std::uint64_t> prefixHashes(std::string_view prompt)
    {
        std::vector<std::uint64_t> hashes;
        for (std::size_t end = prefixBytes; end < prompt.size() && hashes.size() < mostPrefixes; end += prefixBytes)
            hashes.push_back(hash64(prompt.substr(0, end)));
        hashes.push_back(hash64(prompt));
        return hashes;
    }

    std::string serverSentEvent(const Json& event) { return "data: " + event.dump() + "\n\n"; }

} // namespace

void Engine::onRun(const Json& body, const Reply& reply)
{
    auto run = std::make_shared<Run>();
    run->request = field<std::string>(body, "request", {});
    run->epoch = field(body, "epoch", 0U);
    run->priority = priorityOf(body);
    run->route = field(body, "route", Json::array());
    run->maxTokens = field<std::size_t>(body, "max_tokens", 0);
    const auto prompt = field<std::string>(body, "prompt", {});
    const auto generated = field<std::vector<std::string>>(body, "generated", {});
    run->tokens = promptTokens(prompt);
    run->promptTokens = run->tokens.size();
    run->prefixes = prefixHashes(prompt);
    run->generated = generated.size();
    run->tokens.insert(run->tokens.end(), generated.begin(), generated.end());
    run->reply = reply;
    const LayerRange mine { field(run->route.empty() ? Json() : run->route[0], "first_layer", 0U),
        field(run->route.empty() ? Json() : run->route[0], "end_layer", 0U) };
    if (run->request.empty() || mine != m_options.layers
        || field(body, "resume_from", generated.size()) != generated.size())
        return reply->send(errorResponse(400, "invalid-run"));
    if (!m_states.admit(run->request, run->epoch))
        return reply->send(errorResponse(409, "old-epoch"));
    if (const auto older = m_runs.find(run->request); older != m_runs.end())
        endRun(RunHandle(older->second), { { "error", "old-epoch" } });
    reply->begin(200, { { "content-type", "text/event-stream" } });
    reply->onClosed([this, post = poster(), weak = std::weak_ptr(run)] {
        post([this, weak] {
            if (const auto left = weak.lock())
                callerLeft(left);
        });
    });
    m_runs[run->request] = run;
    const auto place = std::find_if(
        m_waiting.begin(), m_waiting.end(), [&](const RunHandle& other) { return other->priority > run->priority; });
    m_waiting.insert(place, run);
    startWaiting();
}

void Engine::startWaiting()
{
    std::size_t used = 0;
    for (const auto& [request, run] : m_runs)
        used += run->started ? run->promptTokens + run->maxTokens : 0;
    while (!m_waiting.empty()) {
        const RunHandle run = m_waiting.front();
        const std::size_t needed = run->promptTokens + run->maxTokens;
        if (used > 0 && used + needed > m_options.kvTokens)
            return;
        m_waiting.pop_front();
        used += needed;
        if (!isCurrent(run))
            continue;
        run->started = true;
        if (run->generated >= run->maxTokens)
            endRun(run, { { "done", true }, { "finish_reason", "length" } });
        else
            resume(run);
    }
}

void Engine::resume(const RunHandle& run)
{
    const LayerState* state = m_states.find(run->request);
    const std::size_t have = state ? state->positions() : 0;
    const std::size_t next = run->tokens.size() - 1;
    if (run->generated == 0 || have >= next)
        return advance(run, std::min(have, next), true);
    // A head that replaces a failed one rebuilds its own state only; the other stages have theirs.
    StageStep rebuild;
    rebuild.request = run->request;
    rebuild.epoch = run->epoch;
    rebuild.priority = run->priority;
    rebuild.kind = "replay";
    rebuild.position = have;
    rebuild.truncate = true;
    for (std::size_t position = have; position < next; ++position)
        rebuild.hidden.push_back(embedded(run->tokens[position], position));
    enqueue(std::move(rebuild), [this, run, next](const Json& result) {
        if (result.contains("error"))
            return onResult(run, result);
        if (isCurrent(run))
            advance(run, next, true);
    });
}

void Engine::advance(const RunHandle& run, std::size_t from, bool truncate)
{
    StageStep step;
    step.request = run->request;
    step.epoch = run->epoch;
    step.priority = run->priority;
    step.kind = from + 1 < run->tokens.size() ? "prefill" : "decode";
    step.position = from;
    step.truncate = truncate;
    step.last = run->generated + 1 >= run->maxTokens;
    step.route = run->route;
    for (std::size_t position = from; position < run->tokens.size(); ++position)
        step.hidden.push_back(embedded(run->tokens[position], position));
    if (from == 0)
        step.prefixes = run->prefixes;
    enqueue(std::move(step), [this, run](const Json& result) { onResult(run, result); });
}

void Engine::onResult(const RunHandle& run, const Json& result)
{
    if (!isCurrent(run))
        return;
    if (!result.contains("error"))
        return emitToken(run, result);
    // A stage that lacks positions makes all stages compute again from there.
    const bool isMissing = result["error"] == "missing-positions";
    if (isMissing && ++run->recomputations <= run->route.size())
        return advance(run, field<std::size_t>(result, "have", 0), true);
    endRun(run, { { "error", result["error"] }, { "stage", field<std::size_t>(result, "stage", 0) } });
}

void Engine::emitToken(const RunHandle& run, const Json& result)
{
    const auto text = field<std::string>(result, "text", {});
    run->reply->write(serverSentEvent({ { "epoch", run->epoch }, { "position", run->generated },
        { "token", field<std::uint64_t>(result, "token", 0) }, { "text", text } }));
    run->tokens.push_back(text);
    run->recomputations = 0;
    if (++run->generated >= run->maxTokens)
        return endRun(run, { { "done", true }, { "finish_reason", "length" } });
    advance(run, run->tokens.size() - 1, false);
}

void Engine::endRun(const RunHandle& run, const Json& event)
{
    run->reply->write(serverSentEvent(event));
    run->reply->finish();
    if (isCurrent(run))
        m_runs.erase(run->request);
    std::erase(m_waiting, run);
    startWaiting();
}

void Engine::callerLeft(const RunHandle& run)
{
    if (!isCurrent(run))
        return;
    m_states.cancel(run->request, run->epoch);
    for (std::size_t stage = 1; stage < run->route.size(); ++stage) {
        HttpRequest cancel = jsonPost(stageAddress(run->route, stage), "/v1/pipeline/cancel",
            { { "request", run->request }, { "epoch", run->epoch } });
        cancel.timeout = m_options.stageTimeout;
        call(std::move(cancel), {}, [](const Json&) {});
    }
    endRun(run, { { "error", "cancelled" } });
}

bool Engine::isCurrent(const RunHandle& run) const
{
    const auto found = m_runs.find(run->request);
    return found != m_runs.end() && found->second == run;
}

void Engine::keepAlive()
{
    if (!m_hung && !m_crashed) {
        for (const auto& [request, run] : m_runs)
            run->reply->write(": keep-alive\n\n");
    }
    m_loop->after(keepAlivePeriod, [this] { keepAlive(); });
}

} // namespace fuchsialb::standins
