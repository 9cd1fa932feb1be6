#include "BaselinePolicy.h"

#include <algorithm>

namespace fuchsialb::bench {

namespace {

    constexpr std::uint32_t mostRetries = 2;
    constexpr Duration avoidance = std::chrono::seconds(1);

} // namespace

BaselinePolicy::BaselinePolicy(BaselineKind kind, PolicyContext context)
    : m_kind(kind)
    , m_context(std::move(context))
{
    for (const auto& [id, endpoint] : m_context.workload.configuration.endpoints)
        m_ranges[endpoint.layers].runners.push_back(id);
}

void BaselinePolicy::submit(const Request& request, std::size_t stream)
{
    Pending& pending = m_pending[request.id];
    pending.run.request = request.id;
    pending.run.stream = stream;
    pending.run.sharedPrefix = m_context.workload.streams[stream].sharedPrefix;
    pending.run.promptTokens = request.promptTokens;
    pending.run.maxTokens = request.maxTokens;
    const Duration patience = m_context.workload.configuration.ranks[request.rank].maxQueueWait;
    m_patience.emplace(m_context.timeline.now() + patience, request.id);
    if (m_kind != BaselineKind::Fifo) {
        dispatch(pending);
        return;
    }
    m_queue.push_back(request.id);
    dispatchQueued();
}

const EndpointId& BaselinePolicy::pick(Range& range)
{
    std::vector<const EndpointId*> usable;
    for (const EndpointId& id : range.runners) {
        if (m_avoidedUntil[id] <= m_context.timeline.now())
            usable.push_back(&id);
    }
    if (usable.empty()) {
        for (const EndpointId& id : range.runners)
            usable.push_back(&id);
    }
    const auto less
        = [this](const EndpointId* a, const EndpointId* b) { return m_outstanding[*a] < m_outstanding[*b]; };
    if (m_kind == BaselineKind::RoundRobin)
        return *usable[range.next++ % usable.size()];
    if (m_kind == BaselineKind::TwoChoices) {
        const EndpointId* first = usable[m_context.random.below(usable.size())];
        const EndpointId* second = usable[m_context.random.below(usable.size())];
        return less(second, first) ? *second : *first;
    }
    return **std::min_element(usable.begin(), usable.end(), less);
}

bool BaselinePolicy::hasRoom() const
{
    const auto& endpoints = m_context.workload.configuration.endpoints;
    return std::all_of(m_ranges.begin(), m_ranges.end(), [&](const auto& each) {
        return std::any_of(each.second.runners.begin(), each.second.runners.end(), [&](const EndpointId& id) {
            const auto avoided = m_avoidedUntil.find(id);
            if (avoided != m_avoidedUntil.end() && avoided->second > m_context.timeline.now())
                return false;
            const auto outstanding = m_outstanding.find(id);
            return outstanding == m_outstanding.end() || outstanding->second < endpoints.at(id).maxConcurrency;
        });
    });
}

void BaselinePolicy::dispatch(Pending& pending)
{
    pending.run.route.clear();
    for (auto& [layers, range] : m_ranges)
        pending.run.route.push_back(pick(range));
    for (const EndpointId& id : pending.run.route)
        ++m_outstanding[id];
    pending.dispatched = true;
    pending.run.epoch = Epoch(pending.run.epoch.value() + 1);
    m_context.engines.start(pending.run);
}

void BaselinePolicy::dispatchQueued()
{
    while (!m_queue.empty() && hasRoom()) {
        const RequestId next = m_queue.front();
        m_queue.pop_front();
        if (const auto found = m_pending.find(next); found != m_pending.end())
            dispatch(found->second);
    }
}

void BaselinePolicy::undispatch(Pending& pending)
{
    if (!pending.dispatched)
        return;
    for (const EndpointId& id : pending.run.route)
        --m_outstanding[id];
    pending.dispatched = false;
}

void BaselinePolicy::tick()
{
    while (!m_patience.empty() && m_patience.begin()->first <= m_context.timeline.now()) {
        const RequestId request = m_patience.begin()->second;
        m_patience.erase(m_patience.begin());
        const auto found = m_pending.find(request);
        if (found == m_pending.end() || found->second.answered)
            continue;
        const EngineRun run = found->second.run;
        const bool dispatched = found->second.dispatched;
        end(request, Outcome::NotRun, Reason::DeadlineExceeded);
        if (dispatched)
            m_context.engines.cancel(request, run.epoch, run.route);
    }
    dispatchQueued();
}

void BaselinePolicy::onToken(const EngineRun& run, std::uint32_t position)
{
    Pending& pending = m_pending.at(run.request);
    pending.answered = true;
    pending.run.position = position + 1;
    m_context.callers.onToken(run.request, position);
}

void BaselinePolicy::onFinished(const EngineRun& run)
{
    end(run.request, Outcome::Completed, Reason::Ok);
    dispatchQueued();
}

void BaselinePolicy::onFailed(const EngineRun& run, std::uint32_t stage, FailureProof, Reason reason)
{
    Pending& pending = m_pending.at(run.request);
    m_avoidedUntil[run.route[stage]] = m_context.timeline.now() + avoidance;
    undispatch(pending);
    if (pending.retries++ >= mostRetries)
        end(run.request, Outcome::Unknown, reason);
    else
        dispatch(pending);
}

void BaselinePolicy::end(RequestId request, Outcome outcome, Reason reason)
{
    undispatch(m_pending.at(request));
    m_pending.erase(request);
    Result result;
    result.outcome = outcome;
    result.reason = reason;
    m_context.callers.onEnded(request, result);
}

} // namespace fuchsialb::bench
