#include "StreamCall.h"

#include "RunnerControl.h"

namespace fuchsialb {

namespace {

    // Gives the registry time to reflect the state of a dead runner; a restart of the runner ends the suspension at
    // once.
    constexpr Duration deadSuspension = std::chrono::seconds(3);
    // A runner whose streams are all interrupted may be the only one with its layers, so its longest suspension is
    // shorter than maxResumeWait.
    constexpr std::uint32_t maxBrokenStreamDoublings = 2;
    // A draining runner keeps working for about two seconds. Most streams end within this delay; the others are
    // rerouted in the remaining time, when other runners have loaded its layers.
    constexpr Duration rerouteDelay = std::chrono::milliseconds(1100);
    // Interval between attempts to reroute a request while other runners load the layers of the draining stage.
    constexpr Duration rerouteRetryInterval = std::chrono::milliseconds(200);
    // Interval between attempts to replace a run that has stopped, while no other path has room.
    constexpr Duration replacementInterval = std::chrono::milliseconds(200);
    // A stream with a shorter pause is taken to flow.
    constexpr Duration maxEventGap = std::chrono::milliseconds(250);

    // A prompt may have many parts; the last ones tell it apart best.
    constexpr std::ptrdiff_t maxLoggedParts = 16;

    std::string joined(const std::vector<PromptPartId>& parts)
    {
        const auto first = parts.end() - std::min(std::ssize(parts), maxLoggedParts);
        std::string text = first == parts.begin() ? "" : "...";
        for (auto part = first; part != parts.end(); ++part)
            text += (text.empty() ? "" : ",") + part->text();
        return text;
    }

} // namespace

void StreamCall::recordFailure(const EndpointId& runner, std::string_view cause, Duration suspension)
{
    m_context.runners.recordFailure(runner, m_context.now(), suspension, maxBrokenStreamDoublings);
    logFailure(runner, cause);
}

void StreamCall::recordProgress(TimePoint now)
{
    const Duration pause = now - m_run.stallDetector->lastEvent();
    if (std::exchange(m_run.hasEventOnPath, true))
        m_owner.eventInterval.record(pause);
    m_run.stallDetector->recordEvent(now);
    reservePath();
    endRetryWait();
    if (!m_run.repair.hasDeadStage() && !m_suspected.contains(m_run.path.front().runner))
        return;
    // The stages of a path that was ordered and isn't answered yet may be other ones.
    if (m_run.pathChangePending || now - m_suspectedAt < maxEventTransit)
        return;
    // An event has passed through all stages, so none of them is dead.
    m_run.repair.discardDead();
    for (const PathStage& stage : m_run.path) {
        m_suspected.erase(stage.runner);
        m_context.runners.recordSuccess(stage.runner, now);
    }
    LogLine line = logLine("suspicion-refuted");
    line.add("run", static_cast<std::int64_t>(m_runs)).add("first", m_run.path.front().runner.value());
    line.add("pause_ms", std::chrono::duration_cast<std::chrono::milliseconds>(pause).count());
    m_context.log.log(line);
    m_context.metrics.count("suspicions", "outcome", "refuted");
}

void StreamCall::recordSuspicion(const EndpointId& runner)
{
    m_suspected.insert(runner);
    m_suspectedAt = m_context.now();
}

void StreamCall::recordDead(const EndpointId& runner, std::string_view cause)
{
    m_context.runners.markDead(runner, m_context.now(), deadSuspension);
    recordSuspicion(runner);
    logFailure(runner, cause);
    m_owner.onRunnerLost(runner);
}

void StreamCall::logFailure(const EndpointId& runner, std::string_view cause)
{
    LogLine line = logLine("runner-blamed");
    line.add("runner", runner.value()).add("cause", cause);
    line.add("run", static_cast<std::int64_t>(m_runs)).add("run_events", static_cast<std::int64_t>(m_run.events));
    line.add("parts", joined(m_matched.request.sharedParts));
    m_context.log.log(line);
    m_context.metrics.count("runners_blamed", "cause", cause);
}

void StreamCall::replaceRun(std::string_view cause)
{
    const TimePoint now = m_context.now();
    m_nextReplacementAt = now + replacementInterval;
    // A stream that has stopped must not keep others from the room that they need to go on, nor itself.
    cancelReservation();
    if (!mayRunAgain() || m_probation.mayEndFurtherStages() || !tryTakeRetry(now))
        return;
    // A runner can't tell two runs of one request from each other, so the run at the same one has to end first.
    const EndpointId first = m_run.path.front().runner;
    auto path = findAdmittingPath(now, first);
    if (!path && m_run.repair.hasDeadStage())
        path = findAdmittingPath(now);
    if (!path) {
        m_context.retryBudget.giveBack();
        return;
    }
    LogLine line = logLine("run-given-up");
    line.add("run", static_cast<std::int64_t>(m_runs)).add("cause", cause);
    line.add("first", m_run.path.front().runner.value());
    const Duration pause = now - m_run.stallDetector->lastEvent();
    line.add("pause_ms", std::chrono::duration_cast<std::chrono::milliseconds>(pause).count());
    m_context.log.log(line);
    m_context.metrics.count("runs_given_up", "cause", cause);
    m_mayHaveRun = true;
    cancelFormerRun();
    if (path->front().runner == first)
        cancelRun();
    else
        m_former = std::move(m_run);
    startRun(*std::move(path));
}

void StreamCall::returnToFormerRun(std::string_view cause)
{
    const std::optional<HttpExchangeId> exchange = m_run.exchange;
    releasePath();
    const std::uint32_t abandoned = m_run.number;
    m_run = *std::exchange(m_former, std::nullopt);
    m_history.keepLast();
    m_nextReplacementAt = m_context.now() + replacementInterval;
    m_probation.startRun(m_run.first, m_run.path);
    m_pauseWatch.startRun();
    if (exchange)
        m_context.http.cancel(*exchange);
    LogLine line = logLine("run-taken-back");
    line.add("run", static_cast<std::int64_t>(m_run.number)).add("cause", cause);
    line.add("abandoned", static_cast<std::int64_t>(abandoned));
    m_context.log.log(line);
    m_context.metrics.count("runs_taken_back", "cause", cause);
}

void StreamCall::cancelFormerRun()
{
    if (!m_former)
        return;
    const HttpExchangeId exchange = *m_former->exchange;
    m_former.reset();
    m_context.http.cancel(exchange);
}

void StreamCall::hostHeldUp(TimePoint now)
{
    m_timeliness.recordReason("host-held-up");
    if (m_run.stallDetector)
        m_run.stallDetector->recordHostPause(now);
}

void StreamCall::diagnoseStall()
{
    const auto self = std::static_pointer_cast<StreamCall>(shared_from_this());
    const std::uint32_t run = m_run.number;
    const TimePoint askedAt = m_context.now();
    requestReport(
        m_context, m_run.path.front().address, [self, run, askedAt](const absl::StatusOr<RunnerReport>& report) {
            if (self->isFinished() || self->m_run.number != run || !self->m_run.exchange)
                return;
            if (report.ok()) {
                self->handleReport(*report);
            } else if (const Reason reason = reasonOf(report.status()); reason == Reason::EndpointFailed) {
                self->m_context.log.log(self->logLine("report-unreadable"));
            } else if (reason != Reason::Cancelled) {
                self->checkSilentRunner(askedAt);
            }
        });
}

void StreamCall::checkSilentRunner(TimePoint askedAt)
{
    // Copied, since m_run.path changes when the stream fails over.
    const EndpointId first = m_run.path.front().runner;
    const RunnerDirectory::Runner* control = selectStallControl(
        m_context.runners, m_run.path, m_run.stallControls, m_context.settings.dataCentre, m_context.now());
    if (!control) {
        recordDead(first, "silent");
        return;
    }
    const EndpointId controlId = control->entry.id;
    m_run.stallControls.insert(controlId);
    const auto self = std::static_pointer_cast<StreamCall>(shared_from_this());
    const std::uint32_t run = m_run.number;
    requestReport(m_context, control->entry.address,
        [self, run, askedAt, first, controlId](const absl::StatusOr<RunnerReport>& report) {
            // Any response shows that this host reaches other runners, also one that is not a valid report.
            const Reason reason = report.ok() ? Reason::Ok : reasonOf(report.status());
            if (reason != Reason::Ok && reason != Reason::EndpointFailed) {
                if (reason != Reason::Cancelled)
                    self->recordUnexplainedStall(first, controlId);
                return;
            }
            if (self->isFinished() || self->m_run.number != run || !self->m_run.exchange)
                return;
            // Since the first runner was asked, it has sent an event, or this host was held up.
            if (self->m_run.stallDetector->pauseStart() >= askedAt)
                return;
            self->recordDead(first, "silent");
        });
}

void StreamCall::recordUnexplainedStall(const EndpointId& first, const EndpointId& control)
{
    LogLine line = logLine("stall-unexplained");
    line.add("runner", first.value()).add("control", control.value());
    m_context.log.log(line);
    m_context.metrics.count("stalls_unexplained", "cause", "silent");
}

void StreamCall::handleReport(const RunnerReport& report)
{
    for (const StalledRequest& stalled : report.stalled) {
        if (stalled.requestId != m_matched.request.id)
            continue;
        const RunnerDirectory::Runner* runner = m_context.runners.findByAddress(stalled.address);
        if (!runner)
            return;
        const EndpointId blocking = runner->entry.id;
        recordDead(blocking, "stalled");
        return;
    }
}

bool StreamCall::isOnPath(const EndpointId& runner) const
{
    return std::any_of(
        m_run.path.begin(), m_run.path.end(), [&](const PathStage& stage) { return stage.runner == runner; });
}

bool StreamCall::isPathBroken(TimePoint now) const
{
    return std::any_of(std::next(m_run.path.begin()), m_run.path.end(), [&](const PathStage& stage) {
        const RunnerDirectory::Runner* runner = m_context.runners.find(stage.runner);
        return !runner || runner->entry.draining || runner->dead(now);
    });
}

bool StreamCall::isFlowing(TimePoint now) const
{
    if (const auto observed = observation())
        return !SilentStages::isOverdue(*observed, now);
    return now - m_run.stallDetector->pauseStart() < maxEventGap;
}

Duration StreamCall::maxSilence() const
{
    // The new stages process the tokens so far, after those of other streams that come at the same moment.
    constexpr Duration reading = std::chrono::milliseconds(90);
    return std::max<Duration>(
        m_matched.route->pauseObjective - 2 * m_owner.eventInterval.mean() - reading, Duration::zero());
}

std::optional<StreamObservation> StreamCall::observation() const
{
    const bool canMeetObjective
        = m_matched.service->engine && m_owner.eventInterval.allowsRecovery(m_matched.route->pauseObjective);
    if (!canMeetObjective || isFinished() || !m_run.exchange || m_run.isPaused)
        return std::nullopt;
    return StreamObservation { &m_run.path, m_run.stallDetector->pauseStart(), m_run.hasEventOnPath,
        m_owner.eventInterval.dueAfter() };
}

void StreamCall::stagesSilent(const std::set<EndpointId>& silent, TimePoint now)
{
    if (!observation() || m_run.pathChangePending || now < m_nextReplacementAt)
        return;
    // After a change of the path the stream waits already, and another silent runner on it is left at once.
    if (m_run.hasEventOnPath && now - m_run.stallDetector->pauseStart() < maxSilence())
        return;
    std::set<EndpointId> stages;
    for (const PathStage& stage : m_run.path) {
        if (silent.contains(stage.runner) && !m_run.repair.deadStages().contains(stage.runner))
            stages.insert(stage.runner);
    }
    if (stages.empty())
        return;
    for (const EndpointId& stage : stages) {
        recordSuspicion(stage);
        m_probation.recordLostStage(stage);
        m_run.repair.add(stage, true);
    }
    m_timeliness.recordReason("stage-silent", stages.begin()->value());
    if (stages.contains(m_run.path.front().runner) || !reroute(now))
        replaceRun("stage-silent");
}

void StreamCall::runnerLost(const EndpointId& runner)
{
    const TimePoint now = m_context.now();
    if (!isOnPath(runner) || isFinished() || !m_run.exchange)
        return;
    m_probation.recordLostStage(runner);
    if (isFlowing(now))
        return;
    // Each stream that waits for the runner reports it, and one report is enough.
    if (m_run.repair.deadStages().contains(runner))
        return;
    recordSuspicion(runner);
    m_timeliness.recordReason("runner-lost", runner.value());
    m_run.repair.add(runner, true);
    if (!m_run.pathChangePending && !reroute(now))
        replaceRun("runner-lost");
}

void StreamCall::runnerLeaving(const EndpointId& runner)
{
    if (isFinished() || !m_run.exchange || !isOnPath(runner) || m_run.path.front().runner == runner)
        return;
    if (m_run.repair.empty())
        m_nextRerouteAt = m_context.now() + rerouteDelay;
    m_run.repair.add(runner, false);
}

bool StreamCall::reroute(TimePoint now)
{
    m_nextRerouteAt = now + rerouteRetryInterval;
    const RunnerDirectory::Runner* first = m_context.runners.find(m_run.path.front().runner);
    if (!m_matched.service->engine || (first && first->resting(now)) || m_probation.mayEndFurtherStages())
        return false;
    const PathFinder finder(m_context.runners, m_context.ledger, m_pauseWatch.pace());
    std::set<EndpointId> replaced = m_run.repair.stages();
    const auto search = [&] {
        return finder.replaceStages(
            m_run.path, replaced, pathRequest(resumeCacheLimit), *m_matched.service->engine, now);
    };
    auto newPath = search();
    if (!newPath && m_run.repair.hasDeadStage()) {
        // A draining stage still serves the stream.
        replaced = m_run.repair.deadStages();
        newPath = search();
    }
    if (!newPath)
        return false;
    m_run.pathChangePending = true;
    cancelReservation();
    const Path previousPath = std::exchange(m_run.path, *std::move(newPath));
    reservePath();
    const auto self = std::static_pointer_cast<StreamCall>(shared_from_this());
    const std::uint32_t run = m_run.number;
    sendPathChangeOrder(m_context, m_matched.request.id, m_run.path,
        [self, run, replaced, previousPath](const PathChangeResult& result) {
            if (!self->isFinished() && self->m_run.number == run && self->m_run.exchange)
                self->handlePathChange(replaced, previousPath, result);
            else if (self->m_former && self->m_former->number == run)
                self->handleFormerPathChange(previousPath, result);
        });
    return true;
}

void StreamCall::logPathChange(const std::set<EndpointId>& replaced, const PathChangeResult& result) const
{
    std::string names;
    for (const EndpointId& stage : replaced)
        names += (names.empty() ? "" : ",") + stage.value();
    LogLine line = logLine("path-changed");
    line.add("leaving", names).add("outcome", static_cast<std::int64_t>(result.outcome));
    const auto fault = std::find_if(m_run.path.begin(), m_run.path.end(),
        [&](const PathStage& stage) { return !result.faultAddress.empty() && stage.address == result.faultAddress; });
    if (fault == m_run.path.end()) {
        line.add("fault", result.faultAddress);
        line.add("registry", static_cast<std::int64_t>(m_context.registryVersion.value()));
    } else {
        line.add("fault", fault->runner.value());
        line.add("fault_first", fault->layers.first).add("fault_end", fault->layers.end);
        addRunnerFields(line, fault->runner);
    }
    m_context.log.log(line);
}

void StreamCall::handlePathChange(
    const std::set<EndpointId>& replaced, const Path& previousPath, const PathChangeResult& result)
{
    m_run.pathChangePending = false;
    logPathChange(replaced, result);
    if (result.outcome == OrderOutcome::Begun || result.outcome == OrderOutcome::Done) {
        m_run.repair.recordDone(replaced);
        m_probation.recordPathChange(m_run.path);
        m_run.hasEventOnPath = false;
        // Restart stall detection, since the new stages process all previous tokens before the next event.
        m_run.stallDetector.emplace(StallDetector::Limits {}, m_context.now());
        return;
    }
    const bool hasLearnt = handleRefusedPathChange(previousPath, result);
    if (!m_run.repair.hasDeadStage())
        return;
    // The objective leaves no time to wait for the next regular attempt.
    const bool isUrgent = m_matched.route->pauseObjective > Duration::zero() && hasLearnt;
    const TimePoint now = m_context.now();
    if (!(isUrgent && reroute(now)) && !isFlowing(now))
        replaceRun("runner-lost");
}

void StreamCall::handleFormerPathChange(const Path& previousPath, const PathChangeResult& result)
{
    m_former->pathChangePending = false;
    if (result.outcome != OrderOutcome::Begun && result.outcome != OrderOutcome::Done)
        m_former->path = previousPath;
}

bool StreamCall::handleRefusedPathChange(const Path& previousPath, const PathChangeResult& result)
{
    cancelReservation();
    const Path orderedPath = std::exchange(m_run.path, previousPath);
    reservePath();
    // Without a response nothing was learnt, and the order may be repeated.
    if (result.outcome == OrderOutcome::Unknown)
        return false;
    const PathRepair::Refusal refusal = m_run.repair.recordRefusal(previousPath, orderedPath, result.faultAddress);
    if (refusal != PathRepair::Refusal::AvoidNewStage)
        return refusal == PathRepair::Refusal::ReplaceMore;
    if (const RunnerDirectory::Runner* fault = m_context.runners.findByAddress(result.faultAddress)) {
        const EndpointId refusing = fault->entry.id;
        m_context.runners.recordFailure(refusing, m_context.now(), refusalSuspension);
        m_excluded.insert(refusing);
    }
    return true;
}

} // namespace fuchsialb
