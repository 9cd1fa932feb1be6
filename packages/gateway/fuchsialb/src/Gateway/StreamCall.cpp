#include "StreamCall.h"

namespace fuchsialb {

namespace {

    // Maximum wait for another path in mid-stream; callers disconnect after a pause of two seconds.
    constexpr Duration maxResumeWait = std::chrono::milliseconds(1500);
    // Other requests with the same parts are answered within this time, if they are sound. Callers disconnect after two
    // seconds without an event.
    constexpr Duration maxSuspicionWait = std::chrono::milliseconds(1000);
    // Interval between attempts to start a waiting stream at runners whose limits on requests didn't admit it.
    constexpr Duration rateLimitRetryInterval = std::chrono::milliseconds(250);
    // Obstacle to a retry that may pass while the request waits.
    constexpr std::string_view obstacleBudget = "budget";

    std::int64_t toMilliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    /// \return Comma-separated data centres of a path, in order.
    std::string dataCentreNames(const Path& path)
    {
        std::string names;
        std::string last;
        for (const PathStage& stage : path) {
            const std::string& name = stage.dataCentre.value();
            if (name == last)
                continue;
            names += (names.empty() ? "" : ",") + name;
            last = name;
        }
        return names;
    }

} // namespace

StreamCall::StreamCall(
    GatewayContext& context, MatchedRequest matched, std::shared_ptr<HttpReply> reply, Owner owner, bool isTrial)
    : Call(context, std::move(matched), std::move(reply))
    , m_owner(std::move(owner))
    , m_probation(context, m_owner.crashWatch, m_matched.service->name, m_matched.request.sharedParts, isTrial)
    , m_pauseWatch(context, m_matched)
    , m_eventMemory(context.responseMemory)
    , m_lastEventId(m_matched.request.lastEventId)
    , m_history(m_matched.route->maxAttempts)
    , m_timeliness(m_matched.receivedAt, m_matched.route->latencyObjective, m_matched.route->pauseObjective)
{
}

double StreamCall::expectedTokens() const
{
    return static_cast<double>(m_matched.request.promptTokens) + expectedOutputTokens();
}

double StreamCall::expectedOutputTokens() const
{
    const CallerRequest& request = m_matched.request;
    std::int64_t output = request.expectedOutputTokens.value_or(
        m_matched.service->engine ? m_matched.service->engine->usualOutputTokens : 0);
    if (request.maxOutputTokens > 0)
        output = std::min(output, request.maxOutputTokens);
    return static_cast<double>(output);
}

bool StreamCall::mayRetry() const { return !m_mayHaveRun || mayRunAgain(); }

bool StreamCall::mayRunAgain() const
{
    const std::set<EndpointId> usedRunners = m_history.runners();
    const bool anyUsable = std::any_of(
        usedRunners.begin(), usedRunners.end(), [&](const EndpointId& runner) { return !m_excluded.contains(runner); });
    return m_matched.route->mayRetry() && (m_history.mayUseAnotherRunner(m_context.runners) || anyUsable);
}

void StreamCall::start()
{
    watchCaller();
    const TimePoint now = m_context.now();
    // New requests must not overtake queued ones of the same or a higher urgency.
    if (!m_context.admissionQueue.hasWaiting(m_matched.urgency)) {
        if (auto path = findAdmittingPath(now)) {
            startRun(*std::move(path));
            return;
        }
    }
    if (!canBeServed(now)) {
        refuse(m_rateLimited.empty() ? "layers-missing" : "rate-limited");
        return;
    }
    const Duration maxWait = AdmissionPolicy::maxWait(m_matched.route->latencyObjective);
    if (m_pauseWatch.heldFor() > maxWait) {
        refuse("pauses-too-long");
        return;
    }
    enqueue(maxWait);
}

bool StreamCall::canBeServed(TimePoint now) const
{
    if (!m_matched.service->engine)
        return true;
    const PathFinder finder(m_context.runners, m_context.ledger);
    return finder.feasibleWhenIdle(
        pathRequest(AdmissionPolicy::cacheLimit(m_matched.urgency)), *m_matched.service->engine, now);
}

PathRequest StreamCall::pathRequest(double cacheLimit) const
{
    PathRequest request { m_matched.service->name, m_context.settings.dataCentre, expectedTokens(), cacheLimit,
        m_excluded };
    request.requestId = m_matched.request.id;
    request.excludedFirstRunners = m_rateLimited;
    // Once the route allows no other runner, one that was suspected is tried again as soon as it is usable.
    if (!m_history.mayUseAnotherRunner(m_context.runners))
        request.allowedFirstRunners = m_history.runners();
    for (const EndpointId& id : m_suspected) {
        const RunnerDirectory::Runner* runner = m_context.runners.find(id);
        const bool hasAnswered = runner && runner->succeededAt > m_suspectedAt;
        if (!hasAnswered && !request.allowedFirstRunners.contains(id))
            request.excluded.insert(id);
    }
    return request;
}

void StreamCall::enqueue(Duration maxWait)
{
    m_isQueued = true;
    m_timeliness.recordReason("no-path");
    // A stream whose response has started has precedence, since its caller sees the pause.
    const std::uint32_t urgency = m_responseStarted ? 0 : m_matched.urgency;
    m_context.admissionQueue.push(
        key(), { urgency, m_responseStarted || m_matched.isRetry, m_context.now() + maxWait });
}

std::optional<Path> StreamCall::findAdmittingPath(TimePoint now, const EndpointId& avoidedFirst)
{
    if (now - m_rateLimitedAt >= rateLimitRetryInterval)
        m_rateLimited.clear();
    while (auto path = findPath(now, avoidedFirst)) {
        const RunnerDirectory::Runner* first = m_context.runners.find(path->front().runner);
        if (!first || admitsRequest(*first))
            return path;
        m_rateLimited.insert(first->entry.id);
        m_rateLimitedAt = now;
    }
    return std::nullopt;
}

std::optional<Path> StreamCall::findPath(TimePoint now, const EndpointId& avoidedFirst)
{
    const double limit = m_runs > 0 ? resumeCacheLimit : AdmissionPolicy::cacheLimit(m_matched.urgency);
    PathRequest request = pathRequest(limit);
    if (!avoidedFirst.value().empty())
        request.excludedFirstRunners.insert(avoidedFirst);
    if (!m_matched.service->engine) {
        const RunnerDirectory::Runner* best = nullptr;
        for (const auto& [id, runner] : m_context.runners.runners()) {
            if (runner.entry.service != m_matched.service->name || !runner.usable(now) || request.excluded.contains(id))
                continue;
            if (!request.allowedFirstRunners.empty() && !request.allowedFirstRunners.contains(id))
                continue;
            if (request.excludedFirstRunners.contains(id))
                continue;
            if (!best || m_context.ledger.at(id).firstStages < m_context.ledger.at(best->entry.id).firstStages)
                best = &runner;
        }
        return best ? std::optional(Path { { best->entry.id, best->entry.address, {}, best->entry.dataCentre } })
                    : std::nullopt;
    }
    const PathFinder finder(m_context.runners, m_context.ledger);
    const EngineProfile& engine = *m_matched.service->engine;
    request.mayCrossDataCentres = engine.linkMegabits <= 0 || m_context.linkBudget.allows(now, m_context.hosts.size());
    auto path = m_pauseWatch.isActive() ? findTimelyPath(std::move(request), now) : finder.find(request, engine, now);
    if (path)
        m_context.linkBudget.take(
            engine.linkTransferTime(expectedTokens()) * static_cast<int>(dataCentreCrossings(*path)));
    return path;
}

std::optional<Path> StreamCall::findTimelyPath(PathRequest request, TimePoint now)
{
    PauseAdmission::Terms terms;
    terms.timeLeft = timeLeft(now);
    terms.outputTokens = expectedOutputTokens();
    terms.mayBeHeld = m_runs == 0;
    terms.meanDuration = m_owner.meanDuration;
    return m_pauseWatch.findPath(std::move(request), terms, now);
}

bool StreamCall::admit()
{
    if (isFinished() || !m_isQueued)
        return true;
    auto path = findAdmittingPath(m_context.now());
    if (!path)
        return false;
    m_isQueued = false;
    m_context.admissionQueue.remove(key());
    startRun(*std::move(path));
    return true;
}

void StreamCall::queueTimedOut()
{
    m_isQueued = false;
    if (m_responseStarted || m_mayHaveRun)
        fail("no-path-to-go-on");
    else
        refuse("no-room");
}

void StreamCall::refuse(std::string_view cause)
{
    const TimePoint now = m_context.now();
    const Duration left = timeLeft(now);
    const Duration usual = AdmissionPolicy::retryAfter(m_owner.meanDuration, left, m_context.random.unit());
    const bool isRateLimited = !m_rateLimited.empty();
    respond(GatewayError::NotRun, cause,
        canBeServed(now) ? usual : (isRateLimited ? retryAfterRateLimit(m_rateLimited, usual) : retryAfterRest(usual)));
}

void StreamCall::startRun(Path path)
{
    const TimePoint now = m_context.now();
    m_run = {};
    m_run.number = ++m_runs;
    m_run.path = std::move(path);
    if (const RunnerDirectory::Runner* first = m_context.runners.find(m_run.path.front().runner)) {
        m_run.first = first->entry;
        m_history.recordRun(m_run.first);
        m_probation.startRun(m_run.first, m_run.path);
    }
    reservePath();
    m_pauseWatch.startRun();
    m_run.stallDetector.emplace(StallDetector::Limits {}, now);
    m_run.sentAt = now;
    if (m_runs == 1)
        m_startedAt = now;
    RunnerCall call;
    call.runner = m_run.path.front().runner;
    call.address = m_run.path.front().address;
    call.timeLeft = timeLeft(now);
    call.organisation = m_matched.organisation;
    call.urgency = m_matched.urgency;
    if (m_matched.service->engine)
        call.path = m_run.path;
    call.lastEventId = m_lastEventId;
    call.freshConnection = !m_matched.route->mayRetry();
    LogLine line = logLine("request-sent");
    line.add("run", static_cast<std::int64_t>(m_runs));
    line.add("first", call.runner.value());
    line.add("stages", static_cast<std::int64_t>(m_run.path.size())).add("data_centres", dataCentreNames(m_run.path));
    line.add("registry", static_cast<std::int64_t>(m_context.registryVersion.value()));
    m_context.log.log(line);
    const auto started
        = m_context.http.start(m_context.translator.runnerRequest(m_matched.request, call), makeHandlers());
    if (started.ok()) {
        m_run.exchange = *started;
        return;
    }
    releasePath();
    failOver("client-full", false);
}

void StreamCall::reservePath()
{
    if (!std::exchange(m_run.isPathReserved, true))
        m_context.ledger.reserve(m_run.path, expectedTokens());
}

void StreamCall::cancelReservation()
{
    if (std::exchange(m_run.isPathReserved, false))
        m_context.ledger.release(m_run.path, expectedTokens());
}

void StreamCall::releasePath()
{
    m_run.exchange.reset();
    m_run.repair.clear();
    m_run.pathChangePending = false;
    cancelReservation();
    m_run.path.clear();
}

void StreamCall::failOver(std::string_view cause, bool mayHaveRun)
{
    if (isFinished())
        return;
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    if (!mayHaveRun)
        m_history.discardLast();
    if (m_former) {
        returnToFormerRun(cause);
        return;
    }
    const TimePoint now = m_context.now();
    if (const std::string_view obstacle = retryObstacle(now); !obstacle.empty()) {
        logRetryWithheld(cause, obstacle, now);
        // Before an answer, the caller gets one at once and may send the request to another host.
        if (obstacle != obstacleBudget || !m_responseStarted) {
            fail(cause);
            return;
        }
        m_retryWait = { now + maxResumeWait, std::string(cause) };
        return;
    }
    m_timeliness.recordReason(cause);
    continueWithNextRun(now);
}

void StreamCall::checkRetryWait(TimePoint now)
{
    if (!m_retryWait)
        return;
    const std::string_view obstacle = retryObstacle(now);
    const std::string cause = m_retryWait->cause;
    if (obstacle.empty()) {
        m_timeliness.recordReason(cause);
        continueWithNextRun(now);
    } else if (obstacle != obstacleBudget || now >= m_retryWait->end) {
        fail(cause);
    }
}

void StreamCall::endRetryWait()
{
    m_retryWait.reset();
    if (const auto since = std::exchange(m_needsRetrySince, std::nullopt))
        m_context.retryBudget.removeWaiting(m_matched.service->name, *since);
}

void StreamCall::continueWithNextRun(TimePoint now)
{
    if (m_probation.isSuspect())
        m_suspicionEnd = now + maxSuspicionWait;
    else
        startNextRun(now);
}

std::string_view StreamCall::retryObstacle(TimePoint now)
{
    if (!mayRetry())
        return "attempts";
    if (m_probation.hasEndedTooMany())
        return "runners-ended";
    if (timeLeft(now) == Duration::zero())
        return "deadline";
    return tryTakeRetry(now) ? "" : obstacleBudget;
}

bool StreamCall::tryTakeRetry(TimePoint now)
{
    SharedRetryBudget::Request request { m_matched.service->name };
    if (m_responseStarted)
        request.purpose = SharedRetryBudget::Purpose::Resume;
    request.waitingSince = m_needsRetrySince;
    if (m_context.retryBudget.tryTake(request, m_context.retryFleet(), now)) {
        endRetryWait();
        return true;
    }
    if (m_responseStarted && !m_needsRetrySince) {
        m_needsRetrySince = now;
        m_context.retryBudget.addWaiting(m_matched.service->name, now);
    }
    return false;
}

void StreamCall::logRetryWithheld(std::string_view cause, std::string_view obstacle, TimePoint now)
{
    const SharedRetryBudget::Usage usage
        = m_context.retryBudget.usage(m_matched.service->name, m_context.retryFleet(), now);
    LogLine line = logLine("retry-withheld");
    line.add("cause", cause).add("obstacle", obstacle).add("run", static_cast<std::int64_t>(m_runs));
    line.add("begun", m_responseStarted ? 1 : 0).add("time_left_ms", toMilliseconds(timeLeft(now)));
    line.add("own_retries", static_cast<std::int64_t>(usage.own));
    line.add("retries", static_cast<std::int64_t>(usage.taken));
    line.add("allowed", static_cast<std::int64_t>(usage.allowed));
    line.add("hosts", static_cast<std::int64_t>(m_context.hosts.size()));
    m_context.log.log(line);
    m_context.metrics.count("retries_withheld", "obstacle", obstacle);
}

void StreamCall::checkSuspicion(TimePoint now)
{
    if (!m_suspicionEnd)
        return;
    if (!m_probation.isSuspect() && !m_probation.hasEndedTooMany()) {
        m_suspicionEnd.reset();
        startNextRun(now);
    } else if (m_probation.hasEndedTooMany() || now >= *m_suspicionEnd) {
        fail("runner-ended");
    }
}

void StreamCall::startNextRun(TimePoint now)
{
    if (auto path = findAdmittingPath(now))
        startRun(*std::move(path));
    else
        enqueue(m_responseStarted ? maxResumeWait : AdmissionPolicy::maxWait(m_matched.route->latencyObjective));
}

void StreamCall::fail(std::string_view cause)
{
    if (m_responseStarted)
        abortReply(cause);
    else if (m_mayHaveRun)
        respond(GatewayError::Failed, cause);
    else
        refuse(cause);
}

void StreamCall::endForShutdown()
{
    m_mayHaveRun = m_mayHaveRun || m_run.exchange;
    if (!isFinished())
        fail("stopping");
}

void StreamCall::tick(TimePoint now)
{
    if (isFinished())
        return;
    if (now >= m_matched.deadline) {
        if (m_responseStarted)
            abortReply("deadline");
        else
            respond(m_runs > 0 ? GatewayError::TimedOut : GatewayError::NotRun, "deadline");
        return;
    }
    if (m_probation.isQuarantined()) {
        m_mayHaveRun = m_mayHaveRun || m_run.exchange;
        fail("prompt-quarantined");
        return;
    }
    checkRetryWait(now);
    checkSuspicion(now);
    if (isFinished() || !m_run.exchange || !m_run.stallDetector)
        return;
    limitUnsentBytes(now);
    if (m_run.isPaused)
        return;
    const bool mayReroute = !m_run.repair.empty() && !(m_run.repair.hasDeadStage() && isFlowing(now));
    if (mayReroute && !m_run.pathChangePending && now >= m_nextRerouteAt && reroute(now))
        return;
    const StallDetector::Verdict verdict = m_run.stallDetector->check(now);
    const bool isStalled = verdict == StallDetector::Verdict::GiveUp;
    const bool isSuspected = m_run.repair.hasDeadStage() && !m_run.pathChangePending && !isFlowing(now);
    if ((isStalled || isSuspected) && now >= m_nextReplacementAt)
        replaceRun(isStalled ? "stalled" : "runner-lost");
    else if (verdict == StallDetector::Verdict::Ask && !isSuspected)
        diagnoseStall();
}

void StreamCall::countLateness()
{
    if (m_timeliness.isLate())
        m_context.metrics.count("late_streams", "reason", m_timeliness.lateReason());
}

void StreamCall::addLogFields(LogLine& line) const
{
    line.add("runs", static_cast<std::int64_t>(m_runs)).add("waiting", m_isQueued ? 1 : 0);
    line.add("runners", static_cast<std::int64_t>(m_history.runners().size()));
    line.add("last_event", static_cast<std::int64_t>(m_lastEventId.value_or(0)));
    if (m_timeliness.hasEvent()) {
        line.add("first_event_ms", toMilliseconds(m_timeliness.firstEvent()));
        line.add("longest_pause_ms", toMilliseconds(m_timeliness.longestPause()));
    }
    if (m_timeliness.isLate()) {
        line.add("late", m_timeliness.hasLongPause() ? "pause" : "first-event");
        line.add("late_reason", m_timeliness.lateReason()).add("late_at_ms", toMilliseconds(m_timeliness.lateAt()));
        if (!m_timeliness.lateRunner().empty())
            line.add("late_runner", m_timeliness.lateRunner());
    }
    if (!m_run.stallDetector)
        return;
    const Duration pause = m_context.now() - m_run.stallDetector->lastEvent();
    line.add("pause_ms", std::chrono::duration_cast<std::chrono::milliseconds>(pause).count());
}

void StreamCall::cancelRun()
{
    if (m_isQueued) {
        m_context.admissionQueue.remove(key());
        m_isQueued = false;
    }
    endRetryWait();
    cancelFormerRun();
    if (!m_run.exchange)
        return;
    const HttpExchangeId exchange = *m_run.exchange;
    releasePath();
    m_context.http.cancel(exchange);
}

} // namespace fuchsialb
