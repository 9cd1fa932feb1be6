#include "RequestTracer.h"

namespace fuchsialb {

namespace {

    std::uint64_t keyOf(AttemptId attempt) { return attempt.value().low; }

} // namespace

void RequestTracer::before(Event& event)
{
    std::visit([this](auto& value) { on(value); }, event);
}

void RequestTracer::before(Action& action)
{
    std::visit([this](auto& value) { leave(value); }, action);
}

void RequestTracer::on(RequestArrived& event)
{
    Request& request = event.request;
    request.traceParent = m_spans.open(request.id, "request", 0, request.traceParent);
    m_parents[request.id] = request.traceParent;
}

void RequestTracer::on(PeerReceived& event)
{
    if (auto* submit = std::get_if<Submit>(&event.message)) {
        Request& request = submit->request;
        if (m_parents.contains(request.id))
            return;
        request.traceParent = m_spans.open(request.id, "schedule", request.submission, request.traceParent);
        m_parents[request.id] = request.traceParent;
    } else if (const auto* finished = std::get_if<Finished>(&event.message)) {
        m_spans.close(finished->request, "submit", finished->submission, outcomeName(finished->result.outcome));
    } else if (const auto* returned = std::get_if<Returned>(&event.message)) {
        m_spans.close(returned->request, "submit", returned->submission, "returned");
    }
}

void RequestTracer::on(const RunFinished& event) { m_spans.close(event.request, "run", event.epoch.value(), "ok"); }

void RequestTracer::on(const RunFailed& event)
{
    m_spans.close(event.request, "run", event.epoch.value(), reasonName(event.reason));
}

void RequestTracer::on(const StateMoved& event)
{
    const std::string_view status = event.succeeded ? "ok" : "error";
    m_spans.close(event.request, "import", event.epoch.value(), status);
    m_spans.close(event.request, "replay", event.epoch.value(), status);
}

void RequestTracer::on(const ServiceReplied& event)
{
    m_spans.close(event.request, "call", keyOf(event.attempt), "ok");
}

void RequestTracer::on(const ServiceFailed& event)
{
    m_spans.close(event.request, "call", keyOf(event.attempt), reasonName(event.reason));
}

void RequestTracer::on(const CallerGone& event)
{
    m_spans.finish(event.request, true);
    m_parents.erase(event.request);
}

void RequestTracer::leave(StartRun& action)
{
    action.traceParent = m_spans.open(action.request, "run", action.epoch.value(), action.traceParent);
}

void RequestTracer::leave(ServiceCall& action)
{
    action.traceParent = m_spans.open(action.call.request, "call", keyOf(action.call.attempt), action.traceParent);
}

void RequestTracer::leave(SendPeer& action)
{
    if (auto* submit = std::get_if<Submit>(&action.message)) {
        Request& request = submit->request;
        request.traceParent = m_spans.open(request.id, "submit", request.submission, request.traceParent);
        return;
    }
    const auto end = [&](RequestId request, bool failed) {
        m_spans.finish(request, failed);
        m_parents.erase(request);
    };
    if (const auto* finished = std::get_if<Finished>(&action.message))
        end(finished->request, finished->result.outcome != Outcome::Completed);
    else if (const auto* returned = std::get_if<Returned>(&action.message))
        end(returned->request, true);
}

void RequestTracer::leave(const ImportState& action)
{
    if (const auto parent = m_parents.find(action.request); parent != m_parents.end())
        m_spans.open(action.request, "import", action.epoch.value(), parent->second);
}

void RequestTracer::leave(const ReplayState& action)
{
    if (const auto parent = m_parents.find(action.request); parent != m_parents.end())
        m_spans.open(action.request, "replay", action.epoch.value(), parent->second);
}

void RequestTracer::leave(const Decision& action)
{
    if (action.reason == Reason::Queued) {
        if (const auto parent = m_parents.find(action.request); parent != m_parents.end())
            m_spans.open(action.request, "queue", 0, parent->second);
    } else if (action.reason == Reason::Dispatched) {
        m_spans.close(action.request, "queue", 0, "ok");
    }
}

void RequestTracer::leave(const Finish& action)
{
    m_spans.finish(action.request, action.result.outcome != Outcome::Completed);
    m_parents.erase(action.request);
}

} // namespace fuchsialb
