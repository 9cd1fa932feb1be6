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
    const TimePoint now = m_context.now();
    const RunnerDirectory::Runner* runner = chooseAdmittingEndpoint(now);
    if (!runner)
        return false;
    m_endpoint = runner->entry.id;
    m_endpointStartedAt = runner->entry.startedAt;
    m_sentAt = now;
    m_context.ledger.reserve({ { m_endpoint, runner->entry.address, {} } }, 0);
    ++m_run;
    ++m_attempts;
    RunnerCall call;
    call.runner = m_endpoint;
    call.address = runner->entry.address;
    call.timeLeft = timeLeft(now);
    call.organisation = m_matched.organisation;
    call.urgency = m_matched.urgency;
    call.freshConnection = !m_matched.route->mayRetry();
    LogLine line = logLine("request-sent");
    line.add("run", static_cast<std::int64_t>(m_run)).add("endpoint", m_endpoint.value());
    line.add("registry", static_cast<std::int64_t>(m_context.registryVersion.value()));
    m_context.log.log(line);
    const auto self = std::static_pointer_cast<UnaryCall>(shared_from_this());
    const std::uint64_t run = m_run;
    const auto current
        = [self, run] { return !self->isFinished() && self->m_run == run && self->m_exchange.has_value(); };
    HttpHandlers handlers;
    handlers.isOwnResponse = [self](const HttpResponse& head) { return self->isOwnResponse(head); };
    handlers.onResponse = [self, current](HttpResponse response) {
        if (current())
            self->handleResponse(std::move(response));
    };
    handlers.onFailure = [self, current](const HttpFailure& failure) {
        if (current())
            self->handleFailure(failure);
    };
    const auto started
        = m_context.http.start(m_context.translator.runnerRequest(m_matched.request, call), std::move(handlers));
    if (!started.ok()) {
        m_context.ledger.release({ { m_endpoint, {}, {} } }, 0);
        return false;
    }
    m_exchange = *started;
    return true;
}

bool UnaryCall::mayRetry(TimePoint now)
{
    const bool repeatable = !m_mayHaveRun || m_matched.route->mayRetry();
    return repeatable && m_attempts < m_matched.route->maxAttempts && timeLeft(now) > Duration::zero()
        && m_context.retryBudget.tryTake(now, m_context.hosts.size());
}

void UnaryCall::handleResponse(HttpResponse response)
{
    const TimePoint now = m_context.now();
    const RunnerResponse runnerResponse = m_context.translator.runnerResponse(response);
    recordRunnerNotices(m_context, { m_endpoint, m_endpointStartedAt }, runnerResponse, response.status, m_sentAt);
    releaseEndpoint();
    m_excluded.insert(m_endpoint);
    if (runnerResponse.notRun || response.status == statusMisdirectedRequest) {
        m_context.runners.recordFailure(m_endpoint, now, failureSuspension);
        if (mayRetry(now) && send())
            return;
        if (m_errorResponse)
            forward(*std::exchange(m_errorResponse, std::nullopt));
        else if (m_mayHaveRun)
            respond(GatewayError::Failed, "refused-by-endpoint");
        else
            respond(GatewayError::NotRun, "refused-by-endpoint", retryDelay());
        return;
    }
    m_mayHaveRun = true;
    const bool authentic = isAuthentic(runnerResponse);
    if (authentic && response.status < statusServerError) {
        m_context.runners.recordSuccess(m_endpoint, now);
        forward(std::move(response));
        return;
    }
    if (!authentic)
        m_context.runners.recordFailure(m_endpoint, now, failureSuspension);
    if (authentic)
        m_errorResponse = std::move(response);
    if (mayRetry(now) && send())
        return;
    if (m_errorResponse)
        forward(*std::exchange(m_errorResponse, std::nullopt));
    else
        respond(GatewayError::Failed, "answer-not-the-endpoints");
}

void UnaryCall::handleFailure(const HttpFailure& failure)
{
    const TimePoint now = m_context.now();
    const std::string_view cause = reasonName(reasonOf(failure.status));
    const bool isUnreachable = failure.notSent && !m_context.hostPause.overdue(now);
    m_context.runners.recordFailure(m_endpoint, now, isUnreachable ? unreachableSuspension : failureSuspension);
    releaseEndpoint();
    m_excluded.insert(m_endpoint);
    if (failure.notSent) {
        // The request was not sent, so this endpoint doesn't count as an attempt.
        --m_attempts;
        if (++m_connectFailures < maxConnectFailures && timeLeft(now) > Duration::zero() && send())
            return;
    } else {
        m_mayHaveRun = true;
        if (mayRetry(now) && send())
            return;
    }
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
    if (m_errorResponse)
        forward(*std::exchange(m_errorResponse, std::nullopt));
    else if (m_mayHaveRun || m_exchange)
        respond(GatewayError::Failed, "stopping");
    else
        respond(GatewayError::NotRun, "stopping", retryDelay());
}

void UnaryCall::tick(TimePoint now)
{
    if (isFinished() || now < m_matched.deadline)
        return;
    if (m_errorResponse)
        forward(*std::exchange(m_errorResponse, std::nullopt));
    else
        respond(m_attempts > 0 ? GatewayError::TimedOut : GatewayError::NotRun, "deadline");
}

void UnaryCall::releaseEndpoint()
{
    m_exchange.reset();
    m_context.ledger.release({ { m_endpoint, {}, {} } }, 0);
}

void UnaryCall::cancelRun()
{
    if (!m_exchange)
        return;
    const HttpExchangeId exchange = *m_exchange;
    releaseEndpoint();
    m_context.http.cancel(exchange);
}

} // namespace fuchsialb
