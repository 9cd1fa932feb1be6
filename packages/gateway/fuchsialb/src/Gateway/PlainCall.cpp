#include "PlainCall.h"

namespace fuchsialb {

namespace {

    // One lost connection or error is common under load; a further failure doubles the time.
    constexpr Duration endpointSuspension = std::chrono::milliseconds(300);
    // An endpoint that takes no connection is most likely gone.
    constexpr Duration unreachableSuspension = std::chrono::seconds(2);
    // An endpoint in another data centre is chosen when the local ones have this many more requests of this host.
    constexpr double remotePenalty = 2;
    constexpr Duration refusedReturn = std::chrono::milliseconds(400);
    constexpr std::uint32_t mostConnectFailures = 3;
    constexpr std::uint32_t misdirected = 421;
    constexpr std::uint32_t serverError = 500;

} // namespace

const RunnerDirectory::Runner* PlainCall::choose(TimePoint now) const
{
    const RunnerDirectory::Runner* best = nullptr;
    double bestCost = 0;
    for (const auto& [id, runner] : m_context.runners.runners()) {
        if (runner.entry.service != m_matched.service->name || !runner.usable(now) || m_avoided.contains(id))
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

void PlainCall::start()
{
    watchCaller();
    if (!send())
        answer(OwnAnswer::NotRun, "no-endpoint", refusedReturn);
}

bool PlainCall::send()
{
    const TimePoint now = m_context.now();
    const RunnerDirectory::Runner* runner = choose(now);
    if (!runner)
        return false;
    m_endpoint = runner->entry.id;
    m_context.ledger.reserve({ { m_endpoint, runner->entry.address, {} } }, 0);
    ++m_run;
    ++m_attempts;
    RunnerCall call;
    call.runner = m_endpoint;
    call.address = runner->entry.address;
    call.timeLeft = timeLeft(now);
    call.organisation = m_matched.organisation;
    call.urgency = m_matched.urgency;
    call.freshConnection = !m_matched.route->mayRepeat();
    LogLine line = logLine("request-sent");
    line.add("run", static_cast<std::int64_t>(m_run)).add("endpoint", m_endpoint.value());
    line.add("registry", static_cast<std::int64_t>(m_context.registryVersion.value()));
    m_context.log.log(line);
    const auto self = std::static_pointer_cast<PlainCall>(shared_from_this());
    const std::uint64_t run = m_run;
    const auto current = [self, run] { return !self->isOver() && self->m_run == run && self->m_exchange.has_value(); };
    HttpHandlers handlers;
    handlers.onResponse = [self, current](HttpResponse response) {
        if (current())
            self->takeResponse(std::move(response));
    };
    handlers.onFailure = [self, current](const HttpFailure& failure) {
        if (current())
            self->takeFailure(failure);
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

bool PlainCall::mayTryAgain(TimePoint now)
{
    const bool harmless = !m_mayHaveRun || m_matched.route->mayRepeat();
    return harmless && m_attempts < m_matched.route->maxAttempts && timeLeft(now) > Duration::zero()
        && m_context.repeats.take(now, m_context.hosts.size());
}

void PlainCall::takeResponse(HttpResponse response)
{
    const TimePoint now = m_context.now();
    const RunnerAnswer said = m_context.translator.runnerAnswer(response);
    leaveEndpoint();
    m_avoided.insert(m_endpoint);
    if (said.notRun || response.status == misdirected) {
        m_context.runners.recordFailure(m_endpoint, now, endpointSuspension);
        if (mayTryAgain(now) && send())
            return;
        if (m_failure)
            passOn(*std::exchange(m_failure, std::nullopt));
        else if (m_mayHaveRun)
            answer(OwnAnswer::Failed, "refused-by-endpoint");
        else
            answer(OwnAnswer::NotRun, "refused-by-endpoint", refusedReturn);
        return;
    }
    m_mayHaveRun = true;
    const bool own = isGenuine(said);
    if (own && response.status < serverError) {
        m_context.runners.recordSuccess(m_endpoint, now);
        passOn(std::move(response));
        return;
    }
    if (!own)
        m_context.runners.recordFailure(m_endpoint, now, endpointSuspension);
    if (own)
        m_failure = std::move(response);
    if (mayTryAgain(now) && send())
        return;
    if (m_failure)
        passOn(*std::exchange(m_failure, std::nullopt));
    else
        answer(OwnAnswer::Failed, "answer-not-the-endpoints");
}

void PlainCall::takeFailure(const HttpFailure& failure)
{
    const TimePoint now = m_context.now();
    const std::string_view cause = reasonName(reasonOf(failure.status));
    m_context.runners.recordFailure(m_endpoint, now, failure.notSent ? unreachableSuspension : endpointSuspension);
    leaveEndpoint();
    m_avoided.insert(m_endpoint);
    if (failure.notSent) {
        // Nothing was sent, so this endpoint does not count as an attempt.
        --m_attempts;
        if (++m_connectFailures < mostConnectFailures && timeLeft(now) > Duration::zero() && send())
            return;
    } else {
        m_mayHaveRun = true;
        if (mayTryAgain(now) && send())
            return;
    }
    if (m_failure)
        passOn(*std::exchange(m_failure, std::nullopt));
    else if (m_mayHaveRun)
        answer(OwnAnswer::Failed, cause);
    else
        answer(OwnAnswer::NotRun, cause, refusedReturn);
}

void PlainCall::tick(TimePoint now)
{
    if (isOver() || now < m_matched.deadline)
        return;
    if (m_failure)
        passOn(*std::exchange(m_failure, std::nullopt));
    else
        answer(m_attempts > 0 ? OwnAnswer::TimedOut : OwnAnswer::NotRun, "deadline");
}

void PlainCall::leaveEndpoint()
{
    m_exchange.reset();
    m_context.ledger.release({ { m_endpoint, {}, {} } }, 0);
}

void PlainCall::stopRunner()
{
    if (!m_exchange)
        return;
    const HttpExchangeId exchange = *m_exchange;
    leaveEndpoint();
    m_context.http.cancel(exchange);
}

} // namespace fuchsialb
