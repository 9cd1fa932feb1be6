#include "ModelScheduler.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace fuchsialb::internal {

namespace {

    constexpr double tokenRatioSmoothing = 0.05;
    constexpr double initialStepSeconds = 0.05;
    constexpr std::uint32_t statusOk = 200;
    /// Keep-alive comments come every 500 ms; a stream without any token for less than this is not silent.
    constexpr Duration leastSilence = std::chrono::milliseconds(1500);

    /// \return The index of the oldest time when it is clearly older than the newest.
    std::optional<std::size_t> stoppedFirst(const std::vector<TimePoint>& times)
    {
        const auto [oldest, newest] = std::minmax_element(times.begin(), times.end());
        if (times.empty() || *newest - *oldest <= leastSilence / 2)
            return std::nullopt;
        return static_cast<std::size_t>(oldest - times.begin());
    }
    /// Predicted times are means: a run counts as silent only after a multiple of them.
    constexpr double silenceFactor = 4.0;
    constexpr Duration preemptionMargin = std::chrono::seconds(5);
    /// Time to wait for a slot or a runner when the caller states no deadline and the rules bound no wait.
    constexpr Duration defaultPatience = std::chrono::seconds(30);

    std::string describe(const std::vector<RouteStage>& route)
    {
        std::string text;
        for (const RouteStage& stage : route)
            text += (text.empty() ? "" : ",") + stage.endpoint.value();
        return text;
    }

    Duration silence(double seconds)
    {
        return std::max(leastSilence, Duration(static_cast<Duration::rep>(seconds * silenceFactor * 1e6)));
    }

} // namespace

ModelScheduler::ModelScheduler(
    GroupId group, const Target& target, const Configuration& configuration, const Clock& clock, Random& random)
    : SchedulerBase(std::move(group), target.id, clock, random)
    , m_planner(target)
{
    for (Rank rank : allRanks)
        m_tokenRatio[rank] = 1.0;
    begin(configuration);
}

void ModelScheduler::onConfigured(const Configuration& configuration)
{
    if (const auto found = configuration.targets.find(target()); found != configuration.targets.end())
        m_planner.setTarget(found->second);
    m_index.keepOnly([this](const EndpointId& id) { return fleet().find(id) != nullptr; });
    double prompt = 0;
    double token = 0;
    for (const auto& [id, runner] : fleet().runners()) {
        const double batch = std::max(1U, runner.endpoint().maxConcurrency);
        prompt += runner.prefillSeconds(1);
        token += runner.stepSeconds(batch) / batch;
    }
    m_promptWeight = token > 0 ? std::clamp(prompt / token, 0.0, 1.0) : m_promptWeight;
}

double ModelScheduler::expectedTokens(const Request& request) const
{
    return std::max(1.0, request.maxTokens * m_tokenRatio[request.rank]);
}

double ModelScheduler::estimate(const Request& request) const
{
    return request.promptTokens * m_promptWeight + expectedTokens(request);
}

double ModelScheduler::remaining(const ScheduledRequest& request) const
{
    const auto generated = static_cast<double>(request.run.generated.size());
    return std::max(1.0, expectedTokens(request.request) - generated);
}

RouteDemand ModelScheduler::demand(const ScheduledRequest& request) const
{
    RouteDemand demand;
    demand.positions = request.request.promptTokens + static_cast<double>(request.run.generated.size());
    demand.tokens = remaining(request);
    const double perByte = request.request.prompt.empty()
        ? 0.0
        : static_cast<double>(request.request.promptTokens) / static_cast<double>(request.request.prompt.size());
    demand.held = [this, &request, perByte](const RunnerModel& runner) {
        return perByte * static_cast<double>(m_index.heldBytes(runner.endpoint().id, request.run.prefixes));
    };
    return demand;
}

double ModelScheduler::firstAnswerSeconds(const Request& request) const
{
    RouteDemand demand;
    demand.positions = request.promptTokens;
    demand.usable = [](const RunnerModel& runner) { return runner.available(); };
    const auto route = m_planner.plan(fleet(), demand);
    return route ? route->firstTokenSeconds : 0.0;
}

double ModelScheduler::modelledCapacity() const
{
    double stepOfLayer = 0;
    double layers = 0;
    for (const auto& [id, runner] : fleet().runners()) {
        stepOfLayer += runner.stepSeconds(runner.endpoint().maxConcurrency);
        layers += runner.endpoint().layers.count();
    }
    const double step = layers > 0 ? stepOfLayer / layers * m_planner.target().layers : 0.0;
    return fleet().configuredSlots() / (step > 0 ? step : initialStepSeconds);
}

bool ModelScheduler::hasRoom() const
{
    RouteDemand demand;
    demand.usable = [this](const RunnerModel& runner) { return runner.hasRoom(now()); };
    return m_planner.plan(fleet(), demand).has_value();
}

bool ModelScheduler::boundToHead(const ScheduledRequest& request)
{
    return !request.request.idempotent && request.mayHaveRun && request.run.generated.empty();
}

bool ModelScheduler::start(ScheduledRequest& request)
{
    if (boundToHead(request)) {
        giveUp(request, Reason::StageFailed);
        return true;
    }
    ModelRun& run = request.run;
    if (run.prefixes.empty())
        run.prefixes = PrefixIndex::prefixes(request.request.prompt);
    RouteDemand wanted = demand(request);
    wanted.usable = [this, &request](const RunnerModel& runner) {
        return runner.hasRoom(now()) && (!request.deduplicatedOnly || runner.endpoint().deduplicates);
    };
    const auto route = m_planner.plan(fleet(), wanted);
    if (!route)
        return false;
    run.route.clear();
    run.rebuilding.clear();
    run.options.clear();
    // One attempt for all epochs: engines refuse the steps of older epochs of the same request.
    request.attempt = request.claimAttempt;
    occupy(request, *route);
    markRunning(request);
    run.nextEpoch();
    startRun(request);
    decide(request, Reason::Dispatched,
        fmt::format("epoch={} route={} first_token_us={:.0f} resume_from={}", run.epoch.value(), describe(run.route),
            route->firstTokenSeconds * 1e6, run.generated.size()));
    return true;
}

void ModelScheduler::occupy(ScheduledRequest& request, const PlannedRoute& route)
{
    for (const RouteStage& stage : route.stages) {
        fleet().find(stage.endpoint)->acquire();
        m_index.onDispatched(stage.endpoint, request.run.prefixes);
    }
    request.run.route = route.stages;
    setSilenceBounds(request, route);
}

void ModelScheduler::setSilenceBounds(ScheduledRequest& request, const PlannedRoute& route) const
{
    request.run.tokenSilenceBound = silence(route.stepSeconds);
    request.run.silenceBound = silence(route.firstTokenSeconds);
}

void ModelScheduler::release(const std::vector<RouteStage>& stages)
{
    for (const RouteStage& stage : stages) {
        if (RunnerModel* runner = fleet().find(stage.endpoint))
            runner->release();
    }
}

void ModelScheduler::cancelStages(const ScheduledRequest& request, const std::vector<RouteStage>& stages)
{
    if (!stages.empty())
        emit(CancelRun { request.request.id, request.attempt, request.run.epoch, stages });
}

void ModelScheduler::startRun(ScheduledRequest& request)
{
    ModelRun& run = request.run;
    run.moving = false;
    run.lastProgress = now();
    StartRun start;
    start.request = request.request.id;
    start.attempt = request.attempt;
    start.epoch = run.epoch;
    start.rank = request.request.rank;
    start.model = target();
    start.route = run.route;
    start.prompt = request.request.prompt;
    start.generated = run.generated;
    start.maxTokens = request.request.maxTokens;
    start.traceParent = request.request.traceParent;
    emit(std::move(start));
}

void ModelScheduler::dropToken(RequestId request, Epoch epoch, std::uint32_t position)
{
    emit(Decision {
        request, Reason::OldEpoch, fmt::format("event=token-dropped epoch={} position={}", epoch.value(), position) });
}

void ModelScheduler::onToken(
    RequestId id, AttemptId attempt, Epoch epoch, std::uint32_t position, std::string_view text)
{
    ScheduledRequest* request = findRunning(id, attempt);
    const bool excess = request && request->request.maxTokens > 0 && position >= request->request.maxTokens;
    if (!request || excess || !request->run.accepts(epoch, position)) {
        dropToken(id, epoch, position);
        return;
    }
    ModelRun& run = request->run;
    // The prompt is charged with the first token of the whole answer; a resumed run is not charged for it again.
    const double prompt = run.generated.empty() ? request->request.promptTokens * m_promptWeight : 0.0;
    run.generated.emplace_back(text);
    run.lastProgress = now();
    run.silenceBound = run.tokenSilenceBound;
    const bool proven = run.generated.size() == 1 || !run.rebuilding.empty();
    for (const RouteStage& stage : run.route) {
        RunnerModel* runner = fleet().find(stage.endpoint);
        if (!runner)
            continue;
        runner->onToken(now());
        if (proven)
            runner->onSuccess();
    }
    run.rebuilding.clear();
    charge(*request, prompt + 1);
    emit(DeliverToken { id, position, std::string(text) });
}

void ModelScheduler::onRunFinished(RequestId id, AttemptId attempt, Epoch epoch, std::string_view finishReason)
{
    ScheduledRequest* request = findRunning(id, attempt);
    if (!request || request->run.moving || request->run.epoch != epoch)
        return;
    complete(*request, finishReason);
    dispatch();
}

void ModelScheduler::complete(ScheduledRequest& request, std::string_view finishReason)
{
    const auto generated = static_cast<std::uint32_t>(request.run.generated.size());
    if (request.request.maxTokens > 0) {
        double& ratio = m_tokenRatio[request.request.rank];
        ratio += (std::min(1.0, static_cast<double>(generated) / request.request.maxTokens) - ratio)
            * tokenRatioSmoothing;
    }
    release(request.run.route);
    request.run.route.clear();
    Result result;
    result.outcome = Outcome::Completed;
    result.reason = Reason::Ok;
    result.finishReason = std::string(finishReason);
    result.httpStatus = statusOk;
    result.generatedTokens = generated;
    finish(request, std::move(result));
}

void ModelScheduler::onCacheEvent(const EndpointId& endpoint, std::uint64_t prefixHash, bool held)
{
    if (fleet().find(endpoint))
        m_index.onEvent(endpoint, prefixHash, held);
}

std::optional<RequestId> ModelScheduler::preemptionVictim() const
{
    const std::uint32_t slots = fleet().slots(now());
    for (Rank rank : { Rank::Summary, Rank::Recording }) {
        const double guaranteed = rule(rank).share;
        const bool borrowed = runningOf(rank) > 0 && runningOf(rank) - 1 >= guaranteed * slots
            && queue().shares().used(rank) > guaranteed;
        if (!borrowed)
            continue;
        const ScheduledRequest* youngest = nullptr;
        for (const RequestId& id : running()) {
            const ScheduledRequest& each = at(id);
            // Left alone: non-idempotent streams, because one that can't be resumed would end "outcome unknown", and
            // streams that may not be resumed before their deadline.
            const bool resumable = each.deadline <= now() || each.deadline - now() > preemptionMargin;
            const bool eligible = each.request.rank == rank && each.request.idempotent && resumable && !each.run.moving;
            if (eligible && (!youngest || each.startedAt > youngest->startedAt))
                youngest = &each;
        }
        if (youngest)
            return youngest->request.id;
    }
    return std::nullopt;
}

TimePoint ModelScheduler::resumeBy(const ScheduledRequest& request) const
{
    if (request.deadline > now() && request.deadline != TimePoint::max())
        return request.deadline;
    const Duration wait = rule(request.request.rank).maxQueueWait;
    return now() + (wait > Duration(0) ? wait : defaultPatience);
}

void ModelScheduler::preempt()
{
    const auto victim = preemptionVictim();
    if (!victim)
        return;
    ScheduledRequest& request = at(*victim);
    decide(request, Reason::Preempted, fmt::format("resume_from={}", request.run.generated.size()));
    abandonRunning(request);
    request.mayHaveRun = true;
    request.startBy = resumeBy(request);
    requeue(request);
}

void ModelScheduler::abandonRunning(ScheduledRequest& request)
{
    cancelStages(request, request.run.route);
    release(request.run.route);
    request.run.route.clear();
}

void ModelScheduler::cancelRunning(ScheduledRequest& request)
{
    // A non-idempotent run goes on, so that its claim can be settled.
    if (request.request.idempotent)
        giveUp(request, Reason::Cancelled);
}

void ModelScheduler::tickRunning(ScheduledRequest& request)
{
    const ModelRun& run = request.run;
    if (now() > request.deadline && run.generated.empty() && request.request.idempotent) {
        giveUp(request, Reason::DeadlineExceeded);
        return;
    }
    if (now() - run.lastProgress <= run.silenceBound)
        return;
    if (run.moving) {
        onStateMoved(request.request.id, request.attempt, run.epoch, false);
        return;
    }
    onRunFailed(request.request.id, request.attempt, run.epoch, static_cast<std::uint32_t>(silentStage(request)),
        FailureProof::MayHaveRun, Reason::ConnectionSilent);
}

std::size_t ModelScheduler::silentStage(const ScheduledRequest& request) const
{
    std::vector<TimePoint> tokens;
    std::vector<TimePoint> reports;
    for (const RouteStage& stage : request.run.route) {
        const RunnerModel* runner = fleet().find(stage.endpoint);
        if (!runner || runner->suspended())
            return tokens.size();
        tokens.push_back(runner->tokenAt());
        reports.push_back(runner->reportedAt().value_or(TimePoint {}));
    }
    // Tokens of other runs prove the stages that they passed through; they are known without the lag of reports.
    if (const auto stage = stoppedFirst(tokens))
        return *stage;
    return stoppedFirst(reports).value_or(0);
}

} // namespace fuchsialb::internal
