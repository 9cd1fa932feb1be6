#include "SchedulerPolicy.h"

namespace fuchsialb::bench {

namespace {

    std::vector<EndpointId> endpoints(const std::vector<RouteStage>& route)
    {
        std::vector<EndpointId> ids;
        ids.reserve(route.size());
        for (const RouteStage& stage : route)
            ids.push_back(stage.endpoint);
        return ids;
    }

} // namespace

absl::StatusOr<std::unique_ptr<Policy>> SchedulerPolicy::create(PolicyContext context)
{
    std::unique_ptr<SchedulerPolicy> policy(new SchedulerPolicy(std::move(context)));
    PolicyContext& own = policy->m_context;
    auto scheduler
        = GroupScheduler::create(replayGroup(), own.workload.configuration, own.timeline.clock(), own.random);
    if (!scheduler.ok())
        return scheduler.status();
    policy->m_scheduler = std::move(*scheduler);
    return policy;
}

void SchedulerPolicy::submit(const Request& request, std::size_t stream)
{
    m_streamAndPrompt[request.id] = { stream, request.promptTokens };
    m_scheduler->submit(request);
    pump();
}

void SchedulerPolicy::tick()
{
    m_scheduler->tick();
    pump();
}

void SchedulerPolicy::onToken(const EngineRun& run, std::uint32_t position)
{
    m_scheduler->onToken(run.request, run.attempt, run.epoch, position, "token");
    pump();
}

void SchedulerPolicy::onFinished(const EngineRun& run)
{
    m_scheduler->onRunFinished(run.request, run.attempt, run.epoch, "length");
    pump();
}

void SchedulerPolicy::onFailed(const EngineRun& run, std::uint32_t stage, FailureProof proof, Reason reason)
{
    m_scheduler->onRunFailed(run.request, run.attempt, run.epoch, stage, proof, reason);
    pump();
}

void SchedulerPolicy::onReport(const LoadReport& report)
{
    m_scheduler->onLoadReport(report);
    pump();
}

void SchedulerPolicy::pump()
{
    if (m_pumping)
        return;
    m_pumping = true;
    for (auto effects = m_scheduler->takeEffects(); !effects.empty(); effects = m_scheduler->takeEffects()) {
        for (const Effect& effect : effects)
            handle(effect);
    }
    m_pumping = false;
}

void SchedulerPolicy::handle(const Effect& effect)
{
    if (const auto* start = std::get_if<StartRun>(&effect))
        startRun(*start);
    else if (const auto* cancel = std::get_if<CancelRun>(&effect))
        m_context.engines.cancel(cancel->request, cancel->epoch, endpoints(cancel->route));
    else if (const auto* import = std::get_if<ImportState>(&effect))
        move(*import, import->from, false);
    else if (const auto* replay = std::get_if<ReplayState>(&effect))
        move(*replay, replay->upstream, true);
    else if (const auto* token = std::get_if<DeliverToken>(&effect))
        m_context.callers.onToken(token->request, token->position);
    else if (const auto* finish = std::get_if<Finish>(&effect))
        m_context.callers.onEnded(finish->request, finish->result);
}

void SchedulerPolicy::startRun(const StartRun& start)
{
    EngineRun run;
    run.request = start.request;
    run.attempt = start.attempt;
    run.epoch = start.epoch;
    run.route = endpoints(start.route);
    run.stream = m_streamAndPrompt.at(start.request).first;
    run.promptTokens = m_streamAndPrompt.at(start.request).second;
    run.sharedPrefix = m_context.workload.streams[run.stream].sharedPrefix;
    run.position = static_cast<std::uint32_t>(start.generated.size());
    run.maxTokens = start.maxTokens;
    m_context.engines.start(std::move(run));
}

template <typename Move> void SchedulerPolicy::move(const Move& effect, const RouteStage& from, bool replay)
{
    m_context.engines.moveState(effect.request, from.endpoint, effect.to.endpoint, effect.positions, replay,
        [this, request = effect.request, attempt = effect.attempt, epoch = effect.epoch](bool moved) {
            m_scheduler->onStateMoved(request, attempt, epoch, moved);
            pump();
        });
}

} // namespace fuchsialb::bench
