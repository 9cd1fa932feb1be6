#include "RunStream.h"

#include "EndpointJson.h"

#include <utility>

namespace fuchsialb::internal {

namespace {

    // One failed probe may be a lost packet; two in a row take the runner for dead.
    constexpr int maxFailedProbes = 2;

} // namespace

RunStream::RunStream(StartRun action, TimePoint started, std::function<void(Event)> sink)
    : m_action(std::move(action))
    , m_sink(std::move(sink))
    , m_reader([this](std::string_view data) { onData(data); })
    , m_lastPiece(started)
{
}

void RunStream::setExchange(HttpExchangeId exchange)
{
    const std::lock_guard lock(m_mutex);
    m_exchange = exchange;
}

std::optional<HttpExchangeId> RunStream::exchange() const
{
    const std::lock_guard lock(m_mutex);
    return m_exchange;
}

void RunStream::onPiece(std::string_view piece, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_lastPiece = now;
    m_failedProbes = 0;
    if (!m_reader.read(piece))
        fail(0, FailureProof::MayHaveRun, Reason::MalformedMessage);
}

void RunStream::onData(std::string_view data)
{
    const auto parsed = parseRunEvent(data);
    if (!parsed.ok()) {
        fail(0, FailureProof::MayHaveRun, Reason::MalformedMessage);
        return;
    }
    if (const auto* token = std::get_if<RunToken>(&*parsed)) {
        if (!m_ended)
            m_sink(TokenReceived { m_action.request, m_action.attempt, token->epoch, token->position, token->text });
        return;
    }
    if (const auto* done = std::get_if<RunDone>(&*parsed)) {
        report(RunFinished { m_action.request, m_action.attempt, m_action.epoch, done->finishReason });
        return;
    }
    const auto& failed = std::get<RunError>(*parsed);
    fail(failed.stage, failed.notStarted ? FailureProof::NotStarted : FailureProof::MayHaveRun, failed.reason);
}

void RunStream::onResponse(const HttpResponse& response)
{
    const std::lock_guard lock(m_mutex);
    if (response.status == 200) {
        // A stream that ends without its last event was cut off.
        fail(0, FailureProof::MayHaveRun, Reason::ConnectionLost);
        return;
    }
    // Engines answer with an error status only before they run anything.
    const Reason reason = response.status == 409 ? Reason::OldEpoch : Reason::EndpointRefused;
    fail(0, FailureProof::NotStarted, reason);
}

void RunStream::onFailure(Reason reason, bool notSent)
{
    const std::lock_guard lock(m_mutex);
    fail(0, notSent ? FailureProof::NotStarted : FailureProof::MayHaveRun, reason);
}

void RunStream::silence()
{
    const std::lock_guard lock(m_mutex);
    m_ended = true;
}

void RunStream::report(Event event)
{
    if (std::exchange(m_ended, true))
        return;
    m_sink(std::move(event));
}

void RunStream::fail(std::uint32_t stage, FailureProof proof, Reason reason)
{
    report(RunFailed { m_action.request, m_action.attempt, m_action.epoch, stage, proof, reason });
}

bool RunStream::startProbe(TimePoint now, Duration limit)
{
    const std::lock_guard lock(m_mutex);
    if (m_ended || m_probing || now - m_lastPiece < limit)
        return false;
    m_probing = true;
    return true;
}

bool RunStream::probeAnswered(TimePoint asked)
{
    const std::lock_guard lock(m_mutex);
    m_probing = false;
    m_failedProbes = 0;
    if (m_ended || m_lastPiece >= asked)
        return false;
    fail(0, FailureProof::MayHaveRun, Reason::ConnectionSilent);
    return true;
}

bool RunStream::probeFailed()
{
    const std::lock_guard lock(m_mutex);
    m_probing = false;
    if (m_ended || ++m_failedProbes < maxFailedProbes)
        return false;
    fail(0, FailureProof::MayHaveRun, Reason::ConnectionLost);
    return true;
}

void RunStream::probeSkipped()
{
    const std::lock_guard lock(m_mutex);
    m_probing = false;
}

} // namespace fuchsialb::internal
