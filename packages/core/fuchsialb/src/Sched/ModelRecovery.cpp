#include "ModelScheduler.h"

#include <fmt/format.h>

#include <algorithm>

namespace fuchsialb::internal {

namespace {

    /// A request that loses this many stages is given up: no realistic sequence of independent failures gets there.
    constexpr std::uint32_t mostRecoveries = 8;
    /// A request that loses more stages without a token in between may be the reason why their runners end.
    constexpr std::uint32_t mostFruitlessRecoveries = 2;

    bool contains(const std::vector<RouteStage>& stages, const EndpointId& id)
    {
        return std::any_of(
            stages.begin(), stages.end(), [&id](const RouteStage& stage) { return stage.endpoint == id; });
    }

    bool blamesRunner(Reason reason)
    {
        return reason != Reason::OldEpoch && reason != Reason::Cancelled && reason != Reason::Preempted
            && reason != Reason::Overloaded;
    }

    Reason recoveryReason(RecoveryWay way)
    {
        switch (way) {
        case RecoveryWay::Import:
            return Reason::RecoveredByImport;
        case RecoveryWay::Replay:
            return Reason::RecoveredByReplay;
        case RecoveryWay::Prefix:
            break;
        }
        return Reason::RecoveredByPrefix;
    }

} // namespace

void ModelScheduler::suspend(const EndpointId& endpoint, Reason reason)
{
    if (RunnerModel* runner = fleet().find(endpoint))
        runner->onFailure(now(), reason == Reason::ConnectionSilent);
    m_index.forget(endpoint);
}

void ModelScheduler::onRunFailed(
    RequestId id, AttemptId attempt, Epoch epoch, std::uint32_t stage, FailureProof proof, Reason reason)
{
    ScheduledRequest* request = findRunning(id, attempt);
    if (!request || request->run.moving || request->run.epoch != epoch)
        return;
    ModelRun& run = request->run;
    const std::size_t failed = std::min<std::size_t>(stage, run.route.size() - 1);
    if (blamesRunner(reason))
        suspend(run.route[failed].endpoint, reason);
    const bool headUnknown = failed == 0 && proof == FailureProof::MayHaveRun;
    const auto limit = request->request.maxTokens;
    if (limit > 0 && run.generated.size() >= limit) {
        complete(*request, "length");
    } else if (proof == FailureProof::NotStarted && failed == 0 && !request->mayHaveRun) {
        endUnstarted(*request, reason);
    } else if (headUnknown && !request->request.idempotent && run.generated.empty()) {
        giveUp(*request, reason);
    } else {
        request->mayHaveRun = true;
        recover(*request, failed, reason);
    }
    dispatch();
}

void ModelScheduler::endUnstarted(ScheduledRequest& request, Reason reason)
{
    release(request.run.route);
    request.run.route.clear();
    const bool retry = takeRetry(request);
    requeue(request);
    if (retry)
        decide(request, Reason::Retried, fmt::format("cause={} retries={}", reasonName(reason), request.retries));
    else
        giveUp(request, reason);
}

void ModelScheduler::recover(ScheduledRequest& request, std::size_t failed, Reason reason)
{
    ModelRun& run = request.run;
    const RouteStage lost = run.route[failed];
    const std::vector<RouteStage> held = run.route;
    std::vector<RouteStage> kept;
    for (std::size_t i = 0; i < held.size(); ++i) {
        const bool rebuilding = std::find(run.rebuilding.begin(), run.rebuilding.end(), i) != run.rebuilding.end();
        const RunnerModel* runner = fleet().find(held[i].endpoint);
        if (i != failed && !rebuilding && runner && !runner->suspended())
            kept.push_back(held[i]);
    }
    std::vector<RouteStage> dropped;
    for (const RouteStage& stage : held) {
        if (!contains(kept, stage.endpoint))
            dropped.push_back(stage);
    }
    cancelStages(request, dropped);
    release(dropped);
    run.route = kept;
    run.options.clear();
    run.rebuilding.clear();
    run.countRecovery();
    if (run.recoveries > mostRecoveries || run.fruitlessRecoveries > mostFruitlessRecoveries) {
        giveUp(request, reason);
        return;
    }
    decide(request, Reason::StageFailed,
        fmt::format("cause={} endpoint={} epoch={} position={}", reasonName(reason), lost.endpoint.value(),
            run.epoch.value(), run.generated.size()));
    auto route = planSuccessor(request, kept, lost, true);
    if (!route)
        route = planSuccessor(request, kept, lost, false);
    if (route)
        adoptRoute(request, *route, kept);
    else
        waitForRunner(request, kept);
}

std::optional<PlannedRoute> ModelScheduler::planSuccessor(
    const ScheduledRequest& request, const std::vector<RouteStage>& kept, const RouteStage& failed, bool keepAll) const
{
    RouteDemand wanted = demand(request);
    const auto prefixHeld = wanted.held;
    wanted.held = [&kept, &wanted, prefixHeld](const RunnerModel& runner) {
        return contains(kept, runner.endpoint().id) ? wanted.positions : prefixHeld(runner);
    };
    const bool sameHead = boundToHead(request);
    wanted.usable = [&](const RunnerModel& runner) {
        const Endpoint& endpoint = runner.endpoint();
        if (contains(kept, endpoint.id))
            return true;
        if (endpoint.id == failed.endpoint || !runner.hasRoom(now()) || (sameHead && endpoint.layers.first == 0))
            return false;
        if (request.deduplicatedOnly && !endpoint.deduplicates)
            return false;
        // With all other stages kept, a successor must not replace any of their layers.
        return !keepAll || std::none_of(kept.begin(), kept.end(), [&endpoint](const RouteStage& stage) {
            return endpoint.layers.first < stage.layers.end && stage.layers.first < endpoint.layers.end;
        });
    };
    return m_planner.plan(fleet(), wanted);
}

void ModelScheduler::adoptRoute(
    ScheduledRequest& request, const PlannedRoute& route, const std::vector<RouteStage>& kept)
{
    ModelRun& run = request.run;
    std::vector<RouteStage> unused;
    for (const RouteStage& stage : kept) {
        if (!contains(route.stages, stage.endpoint))
            unused.push_back(stage);
    }
    cancelStages(request, unused);
    release(unused);
    for (std::size_t i = 0; i < route.stages.size(); ++i) {
        if (contains(kept, route.stages[i].endpoint))
            continue;
        run.rebuilding.push_back(i);
        fleet().find(route.stages[i].endpoint)->acquire();
    }
    run.route = route.stages;
    setSilenceBounds(request, route);
    const RecoveryPlanner planner(fleet(), m_planner, m_index);
    const RecoveryDemand needed { run.route, run.rebuilding, run.prefixes, request.request.promptTokens,
        request.request.prompt.size(), static_cast<std::uint32_t>(run.generated.size()) };
    const std::vector<RecoveryOption> options = planner.options(needed);
    run.options.assign(options.begin(), options.end());
    for (std::size_t i : run.rebuilding)
        m_index.onDispatched(run.route[i].endpoint, run.prefixes);
    tryNextOption(request);
}

void ModelScheduler::tryNextOption(ScheduledRequest& request)
{
    ModelRun& run = request.run;
    for (std::size_t i = 0; i < run.route.size(); ++i) {
        const RunnerModel* runner = fleet().find(run.route[i].endpoint);
        if (runner && !runner->suspended())
            continue;
        run.moving = false;
        recover(request, i, Reason::StageFailed);
        return;
    }
    const RecoveryOption option = run.options.front();
    run.options.pop_front();
    run.nextEpoch();
    run.lastProgress = now();
    decide(request, recoveryReason(option.way),
        fmt::format("epoch={} position={} positions={} estimate_us={:.0f} alternatives={}", run.epoch.value(),
            run.generated.size(), option.positions, option.seconds * 1e6, run.options.size()));
    if (option.way == RecoveryWay::Prefix) {
        startRun(request);
        return;
    }
    run.moving = true;
    const RequestId id = request.request.id;
    if (option.way == RecoveryWay::Import)
        emit(ImportState { id, request.attempt, run.epoch, option.source, option.successor, option.positions });
    else
        emit(ReplayState { id, request.attempt, run.epoch, option.source, option.successor, option.positions });
}

void ModelScheduler::onStateMoved(RequestId id, AttemptId attempt, Epoch epoch, bool succeeded)
{
    ScheduledRequest* request = findRunning(id, attempt);
    if (!request || !request->run.moving || request->run.epoch != epoch)
        return;
    if (succeeded)
        startRun(*request);
    else
        tryNextOption(*request);
    dispatch();
}

void ModelScheduler::waitForRunner(ScheduledRequest& request, const std::vector<RouteStage>& kept)
{
    if (boundToHead(request)) {
        giveUp(request, Reason::NoRoute);
        return;
    }
    cancelStages(request, kept);
    release(kept);
    request.run.route.clear();
    request.startBy = resumeBy(request);
    requeue(request);
    decide(request, Reason::NoRoute, fmt::format("position={}", request.run.generated.size()));
}

} // namespace fuchsialb::internal
