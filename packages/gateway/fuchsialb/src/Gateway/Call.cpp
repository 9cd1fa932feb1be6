#include "Call.h"

namespace fuchsialb {

namespace {

    std::int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    std::string_view outcomeName(GatewayError error)
    {
        switch (error) {
        case GatewayError::Malformed:
            return "malformed";
        case GatewayError::UnknownKey:
            return "unknown-key";
        case GatewayError::NoRoute:
            return "no-route";
        case GatewayError::NotRun:
            return "not-run";
        case GatewayError::Failed:
            return "failed";
        case GatewayError::TimedOut:
            return "timed-out";
        }
        return "";
    }

} // namespace

Call::Call(GatewayContext& context, MatchedRequest matched, std::shared_ptr<HttpReply> reply)
    : m_context(context)
    , m_matched(std::move(matched))
    , m_reply(std::move(reply))
{
}

LogLine Call::logLine(std::string_view event) const
{
    LogLine line(event);
    line.add("request", m_matched.request.id);
    line.add("route", m_matched.route->name);
    line.add("configuration", static_cast<std::int64_t>(m_matched.table->version.value()));
    line.add("age_ms", milliseconds(m_context.now() - m_matched.receivedAt));
    return line;
}

void Call::respond(GatewayError error, std::string_view cause, std::optional<Duration> retryAfter)
{
    if (m_isFinished)
        return;
    if (m_context.stopping)
        m_reply->closeConnection();
    m_reply->send(m_context.translator.errorResponse(error, retryAfter));
    finish(outcomeName(error), cause);
}

void Call::forward(HttpResponse response)
{
    response.headers = m_context.translator.callerHeaders(response);
    if (m_context.stopping)
        m_reply->closeConnection();
    const std::uint32_t status = response.status;
    m_reply->send(std::move(response));
    complete(status);
}

bool Call::isAuthentic(const RunnerResponse& runnerResponse) const
{
    return runnerResponse.isSigned && !runnerResponse.encoded && runnerResponse.requestId == m_matched.request.id;
}

bool Call::isOwnResponse(const HttpResponse& response) const
{
    return m_context.translator.runnerResponse(response).requestId == m_matched.request.id;
}

Duration Call::retryAfterRest(Duration usual)
{
    const TimePoint now = m_context.now();
    const auto restEnd = m_context.runners.earliestRestEnd(m_matched.service->name, now);
    // Spreads the callers that wait for the same runners.
    constexpr double maxSpread = 0.2;
    return restEnd ? std::chrono::duration_cast<Duration>((*restEnd - now) * (1 + maxSpread * m_context.random.unit()))
                   : usual;
}

bool Call::admitsRequest(const RunnerDirectory::Runner& runner)
{
    const RequestRateAdmission::Fleet fleet { m_context.rateLimits, m_context.ledger, m_context.hosts };
    const bool isAdmitted = m_context.rateAdmission.admit(
        fleet, runner.entry.id, runner.entry.startedAt, m_matched.urgency, m_context.now());
    if (!isAdmitted) {
        m_context.log.log(logLine("rate-limit-applied").add("runner", runner.entry.id.value()));
        m_context.metrics.count("rate_limit_refusals", "service", m_matched.service->name.value());
    }
    return isAdmitted;
}

Duration Call::retryAfterRateLimit(const std::set<EndpointId>& runners, Duration usual)
{
    const TimePoint now = m_context.now();
    const RequestRateAdmission::Fleet fleet { m_context.rateLimits, m_context.ledger, m_context.hosts };
    std::optional<Duration> shortest;
    for (const EndpointId& id : runners) {
        const RunnerDirectory::Runner* runner = m_context.runners.find(id);
        if (!runner)
            continue;
        const Duration backlog = m_context.rateAdmission.backlog(fleet, id, runner->entry.startedAt, now);
        shortest = std::min(shortest.value_or(backlog), backlog);
    }
    if (!shortest)
        return usual;
    // Callers wait no longer than a part of the time that they have left.
    constexpr int timeLeftDivisor = 3;
    const auto spread = std::chrono::duration_cast<Duration>(*shortest * (0.5 + m_context.random.unit()));
    return std::min(std::max(usual, spread), timeLeft(now) / timeLeftDivisor);
}

void Call::watchCaller()
{
    m_reply->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->callerDisconnected();
    });
}

void Call::complete(std::uint32_t status)
{
    m_context.metrics.observe("request", m_context.now() - m_matched.receivedAt);
    finish(status < 400 ? "served" : "runner-error", "");
}

void Call::abortReply(std::string_view cause)
{
    if (m_isFinished)
        return;
    m_reply->abort();
    finish("cut", cause);
}

void Call::callerDisconnected()
{
    if (m_isFinished)
        return;
    finish("caller-left", "");
}

void Call::finish(std::string_view outcome, std::string_view cause)
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    const auto self = shared_from_this();
    LogLine line = logLine("request-over");
    line.add("outcome", outcome);
    if (!cause.empty())
        line.add("cause", cause);
    addLogFields(line);
    if (m_context.stopping)
        line.add("stopping_ms", milliseconds(m_context.now() - m_context.stoppingSince));
    m_context.log.log(line);
    cancelRun();
    m_context.metrics.count("requests", "outcome", outcome);
    if (!cause.empty())
        m_context.metrics.count("request_causes", "cause", cause);
    m_reply.reset();
    if (m_onFinished)
        m_onFinished(*this);
}

} // namespace fuchsialb
