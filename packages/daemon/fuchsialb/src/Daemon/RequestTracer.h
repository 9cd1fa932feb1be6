#pragma once

#include "SpanRecorder.h"

namespace fuchsialb {

/// \brief Opens and closes the spans of a request's hops as events enter and actions leave the core.
///
/// Hops: "request" at the entry daemon, "submit" to a scheduler, "schedule" and "queue" there, "run" for each epoch of
/// a model's route, "call" of a plain service, "import" and "replay" of a stage's state.
class RequestTracer {
public:
    explicit RequestTracer(SpanRecorder& spans)
        : m_spans(spans)
    {
    }

    /// May replace the trace parent inside the event.
    void before(Event& event);
    /// May replace the trace parent inside the action.
    void before(Action& action);

private:
    void on(RequestArrived& event);
    void on(PeerReceived& event);
    void on(const RunFinished& event);
    void on(const RunFailed& event);
    void on(const StateMoved& event);
    void on(const ServiceReplied& event);
    void on(const ServiceFailed& event);
    void on(const CallerGone& event);
    template <typename T> void on(const T&) { }

    void leave(StartRun& action);
    void leave(ServiceCall& action);
    void leave(SendPeer& action);
    void leave(const ImportState& action);
    void leave(const ReplayState& action);
    void leave(const Decision& action);
    void leave(const Finish& action);
    template <typename T> void leave(const T&) { }

    SpanRecorder& m_spans;
    /// Parent for the hops of a request on this host.
    std::map<RequestId, std::string> m_parents;
};

} // namespace fuchsialb
