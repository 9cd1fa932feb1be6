#include "Call.h"

namespace fuchsialb {

namespace {

    std::int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    std::string_view answerName(GatewayError answer)
    {
        switch (answer) {
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

void Call::answer(GatewayError answer, std::string_view cause, std::optional<Duration> retryAfter)
{
    if (m_isOver)
        return;
    if (m_context.stopping)
        m_reply->closeConnection();
    m_reply->send(m_context.translator.errorResponse(answer, retryAfter));
    over(answerName(answer), cause);
}

void Call::passOn(HttpResponse response)
{
    response.headers = m_context.translator.callerHeaders(response);
    if (m_context.stopping)
        m_reply->closeConnection();
    const std::uint32_t status = response.status;
    m_reply->send(std::move(response));
    completed(status);
}

bool Call::isGenuine(const RunnerResponse& answer) const
{
    return answer.isSigned && !answer.encoded && answer.requestId == m_matched.request.id;
}

void Call::watchCaller()
{
    m_reply->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->callerLeft();
    });
}

void Call::completed(std::uint32_t status)
{
    m_context.metrics.observe("request", m_context.now() - m_matched.receivedAt);
    over(status < 400 ? "served" : "runner-error", "");
}

void Call::cut(std::string_view cause)
{
    if (m_isOver)
        return;
    m_reply->abort();
    over("cut", cause);
}

void Call::callerLeft()
{
    if (m_isOver)
        return;
    over("caller-left", "");
}

void Call::over(std::string_view outcome, std::string_view cause)
{
    if (m_isOver)
        return;
    m_isOver = true;
    const auto self = shared_from_this();
    LogLine line = logLine("request-over");
    line.add("outcome", outcome);
    if (!cause.empty())
        line.add("cause", cause);
    describe(line);
    m_context.log.log(line);
    stopRunner();
    m_context.metrics.count("requests", "outcome", outcome);
    if (!cause.empty())
        m_context.metrics.count("request_causes", "cause", cause);
    m_reply.reset();
    if (m_onOver)
        m_onOver(*this);
}

} // namespace fuchsialb
