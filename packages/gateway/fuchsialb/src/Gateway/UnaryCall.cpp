#include "UnaryCall.h"

#include "RunnerNotices.h"

namespace fuchsialb {

namespace {

    // Short, since a single lost connection or error is common under load; repeated failures double the time.
    constexpr Duration failureSuspension = std::chrono::milliseconds(300);
    // Longer, since an endpoint that accepts no connection is most likely gone.
    constexpr Duration unreachableSuspension = std::chrono::seconds(2);
    // An endpoint in another data centre is chosen if the local ones have this many more requests of this host.
    constexpr double remotePenalty = 2;
    constexpr Duration refusalRetryAfter = std::chrono::milliseconds(400);
    constexpr std::uint32_t maxConnectFailures = 3;
    constexpr std::uint32_t statusMisdirectedRequest = 421;
    constexpr std::uint32_t statusServerError = 500;

} // namespace

const RunnerDirectory::Runner* UnaryCall::chooseEndpoint(TimePoint now) const
{
    const RunnerDirectory::Runner* best = nullptr;
    double bestCost = 0;
    for (const auto& [id, runner] : m_context.runners.runners()) {
        if (runner.entry.service != m_matched.service->name || !runner.usable(now) || m_excluded.contains(id)
            || m_rateLimited.contains(id))
            continue;
        const double cost = m_context.ledger.at(id).firstStages
            + static_cast<double>(m_context.hedging.givenUpLately(id, now))
            + (runner.entry.dataCentre == m_context.settings.dataCentre ? 0 : remotePenalty);
        if (!best || cost < bestCost) {
            best = &runner;
            bestCost = cost;
        }
    }
    return best;
}

const RunnerDirectory::Runner* UnaryCall::chooseAdmittingEndpoint(TimePoint now)
{
    while (const RunnerDirectory::Runner* runner = chooseEndpoint(now)) {
        if (admitsRequest(*runner))
            return runner;
        m_rateLimited.insert(runner->entry.id);
    }
    return nullptr;
}

void UnaryCall::start()
{
    watchCaller();
    m_context.hedging.recordRequest(m_matched.service->name, m_context.now());
    if (!send())
        respond(GatewayError::NotRun, m_rateLimited.empty() ? "no-endpoint" : "rate-limited", retryDelay());
}

Duration UnaryCall::retryDelay()
{
    if (!m_rateLimited.empty())
        return retryAfterRateLimit(m_rateLimited, refusalRetryAfter);
    return m_context.runners.hasUsable(m_matched.service->name, m_context.now()) ? refusalRetryAfter
                                                                                 : retryAfterRest(refusalRetryAfter);
}

bool UnaryCall::send()
{
    const RunnerDirectory::Runner* endpoint = chooseAdmittingEndpoint(m_context.now());
    return endpoint && startRun(*endpoint, false);
}

bool UnaryCall::startRun(const RunnerDirectory::Runner& endpoint, bool isHedge)
{
    UnaryRun::Target target { endpoint.entry.id, endpoint.entry.address, endpoint.entry.startedAt, isHedge };
    ++m_lastRun;
    RunnerCall call;
    call.runner = target.endpoint;
    call.address = target.address;
    call.timeLeft = timeLeft(m_context.now());
    call.organisation = m_matched.organisation;
    call.urgency = m_matched.urgency;
    call.freshConnection = !m_matched.route->mayRetry();
    LogLine line = logLine("request-sent");
    line.add("run", static_cast<std::int64_t>(m_lastRun)).add("endpoint", target.endpoint.value());
    line.add("registry", static_cast<std::int64_t>(m_context.registryVersion.value()));
    if (isHedge)
        line.add("hedge", 1);
    m_context.log.log(line);
    const auto self = std::static_pointer_cast<UnaryCall>(shared_from_this());
    UnaryRun::Handlers handlers;
    handlers.isOwnResponse = [self](const HttpResponse& head) { return self->isOwnResponse(head); };
    handlers.onResponse
        = [self](const UnaryRun& run, HttpResponse response) { self->handleResponse(run, std::move(response)); };
    handlers.onFailure = [self](const UnaryRun& run, const HttpFailure& failure) { self->handleFailure(run, failure); };
    auto started = UnaryRun::start(
        m_context, std::move(target), m_context.translator.runnerRequest(m_matched.request, call), std::move(handlers));
    if (!started.ok())
        return false;
    ++m_attempts;
    m_openRuns.push_back(*std::move(started));
    return true;
}

bool UnaryCall::mayRetry(TimePoint now)
{
    const bool repeatable = !m_mayHaveRun || m_matched.route->mayRetry();
    return repeatable && m_attempts < m_matched.route->maxAttempts && timeLeft(now) > Duration::zero()
        && m_context.retryBudget.tryTake({ m_matched.service->name }, m_context.retryFleet(), now);
}

void UnaryCall::closeRun(const UnaryRun& run)
{
    m_excluded.insert(run.target().endpoint);
    std::erase_if(m_openRuns, [&](const auto& open) { return open.get() == &run; });
}

void UnaryCall::handleResponse(const UnaryRun& run, HttpResponse response)
{
    const TimePoint now = m_context.now();
    const UnaryRun::Target& target = run.target();
    const RunnerResponse runnerResponse = m_context.translator.runnerResponse(response);
    recordRunnerNotices(
        m_context, { target.endpoint, target.startedAt }, runnerResponse, response.status, run.sentAt());
    closeRun(run);
    const bool isRefused = runnerResponse.notRun || response.status == statusMisdirectedRequest;
    const bool isAnswer = !isRefused && isAuthentic(runnerResponse);
    if (isAnswer && response.status < statusServerError) {
        m_context.runners.recordSuccess(target.endpoint, now);
        if (target.isHedge)
            countHedge("won");
        else
            m_context.hedging.recordDuration(m_matched.service->name, target.endpoint, now - run.sentAt(), now);
        forward(std::move(response));
        return;
    }
    if (target.isHedge)
        countHedge("failed");
    if (isAnswer && !keepError(response) && m_openRuns.empty()) {
        forward(std::move(response));
        return;
    }
    if (!isAnswer)
        m_context.runners.recordFailure(target.endpoint, now, failureSuspension);
    if (!isRefused) {
        m_mayHaveRun = true;
    } else if (target.isHedge) {
        --m_attempts;
    }
    if (runnerResponse.notRun)
        m_context.hedging.recordRefusal(m_matched.service->name, now);
    if (!m_openRuns.empty() || (mayRetry(now) && send()))
        return;
    respondWithoutAnswer(isRefused ? "refused-by-endpoint" : "answer-not-the-endpoints");
}

bool UnaryCall::keepError(HttpResponse& response)
{
    if (!m_errorMemory.tryResize(Bytes(static_cast<std::int64_t>(response.body.size()))))
        return false;
    m_errorResponse = std::move(response);
    return true;
}

void UnaryCall::handleFailure(const UnaryRun& run, const HttpFailure& failure)
{
    const TimePoint now = m_context.now();
    const EndpointId& endpoint = run.target().endpoint;
    const bool isUnreachable = failure.notSent && !m_context.hostPause.overdue(now);
    m_context.runners.recordFailure(endpoint, now, isUnreachable ? unreachableSuspension : failureSuspension);
    closeRun(run);
    if (run.target().isHedge)
        countHedge("failed");
    if (failure.notSent) {
        // The request was not sent, so this endpoint doesn't count as an attempt.
        --m_attempts;
        ++m_connectFailures;
    } else {
        m_mayHaveRun = true;
    }
    if (!m_openRuns.empty())
        return;
    const bool maySend
        = failure.notSent ? m_connectFailures < maxConnectFailures && timeLeft(now) > Duration::zero() : mayRetry(now);
    if (!maySend || !send())
        respondWithoutAnswer(reasonName(reasonOf(failure.status)));
}

void UnaryCall::hedgeIfSlow(TimePoint now)
{
    if (m_isHedged || m_openRuns.size() != 1 || !m_matched.route->mayRetry() || now < m_nextHedgeCheck)
        return;
    const TargetId& service = m_matched.service->name;
    const UnaryRun& slow = *m_openRuns.front();
    const auto delay = m_context.hedging.delay(service, now);
    if (!delay || now - slow.sentAt() < *delay)
        return;
    m_nextHedgeCheck = now + *delay;
    std::set<EndpointId> excluded = m_excluded;
    excluded.insert(m_rateLimited.begin(), m_rateLimited.end());
    const HedgePolicy::Run run { service, slow.target().endpoint, slow.sentAt(), m_matched.deadline, m_attempts,
        m_matched.route->maxAttempts, excluded,
        m_context.crashEvidence.quarantine(service, m_matched.request.sharedParts) != nullptr,
        m_context.hostPause.heldUpWithin(*delay, now) };
    const HedgePolicy::Fleet fleet { m_context.runners, m_context.ledger, m_context.rateLimits,
        m_context.settings.dataCentre, m_context.hosts.size(), m_context.stopping, m_context.hosts.dataCentreSize() };
    const HedgePolicy::Decision decision = m_context.hedging.decide(run, fleet, m_context.retryBudget, now);
    if (const auto* obstacle = std::get_if<HedgeObstacle>(&decision)) {
        reportHedgeWithheld(*obstacle, slow.target().endpoint);
        return;
    }
    const RunnerDirectory::Runner* endpoint = m_context.runners.find(std::get<EndpointId>(decision));
    if (!endpoint || !admitsRequest(*endpoint) || !startRun(*endpoint, true))
        return;
    m_isHedged = true;
    countHedge("sent");
    m_context.log.log(logLine("hedge-sent")
                          .add("endpoint", endpoint->entry.id.value())
                          .add("slow_endpoint", slow.target().endpoint.value())
                          .add("delay_ms", std::chrono::duration_cast<std::chrono::milliseconds>(*delay).count()));
}

void UnaryCall::reportHedgeWithheld(HedgeObstacle obstacle, const EndpointId& endpoint)
{
    if (std::exchange(m_isHedgeWithheld, true))
        return;
    const std::string_view reason = hedgeObstacleName(obstacle);
    m_context.log.log(logLine("hedge-withheld").add("slow_endpoint", endpoint.value()).add("cause", reason));
    m_context.metrics.count("hedges_withheld", "cause", reason);
}

void UnaryCall::countHedge(std::string_view event) { m_context.metrics.count("hedges", "event", event); }

void UnaryCall::respondWithoutAnswer(std::string_view cause)
{
    if (m_errorResponse)
        forward(*std::exchange(m_errorResponse, std::nullopt));
    else if (m_mayHaveRun)
        respond(GatewayError::Failed, cause);
    else
        respond(GatewayError::NotRun, cause, retryDelay());
}

void UnaryCall::endForShutdown()
{
    if (isFinished())
        return;
    m_mayHaveRun = m_mayHaveRun || !m_openRuns.empty();
    respondWithoutAnswer("stopping");
}

void UnaryCall::tick(TimePoint now)
{
    if (isFinished())
        return;
    if (now < m_matched.deadline) {
        hedgeIfSlow(now);
        return;
    }
    if (m_errorResponse)
        forward(*std::exchange(m_errorResponse, std::nullopt));
    else
        respond(m_attempts > 0 ? GatewayError::TimedOut : GatewayError::NotRun, "deadline");
}

void UnaryCall::cancelRun()
{
    const TimePoint now = m_context.now();
    for (const auto& run : std::exchange(m_openRuns, {})) {
        if (run->target().isHedge)
            countHedge("cancelled");
        else
            m_context.hedging.recordGivenUp(m_matched.service->name, run->target().endpoint, now - run->sentAt(), now);
        run->cancel();
    }
}

} // namespace fuchsialb
