#pragma once

#include "Call.h"
#include "CrashWatch.h"
#include "SilenceWatch.h"

#include <map>
#include <optional>
#include <string_view>

namespace fuchsialb {

/// \brief Matches incoming requests to routes, authenticates their callers and owns the open requests.
class RequestDispatcher {
public:
    explicit RequestDispatcher(GatewayContext& context);

    void handle(ServerRequest request, const std::shared_ptr<HttpReply>& reply);
    /// Judges a request by its head, before its body has been read.
    /// \return The answer that refuses it; none if its body is to be read.
    std::optional<HttpResponse> judge(const ServerRequest& head);
    /// Handles deadlines, stalls and the admission queue; called every few milliseconds.
    void tick();
    /// Looks for runners that have fallen silent; called more often than `tick`.
    void checkSilence();
    /// Called when a runner is draining or was removed from the registry.
    void runnerLeaving(const EndpointId& runner);
    /// Answers all open requests, since the process is about to exit.
    void endForShutdown();
    std::size_t openCount() const { return m_openCalls.size(); }

private:
    /// Why a request is refused before it is dispatched.
    struct Refusal {
        GatewayError error;
        std::string_view cause;
        std::optional<Duration> retryAfter {};
    };

    /// Decodes a request, finds its route and checks its API key.
    /// \return None if it may go on.
    std::optional<Refusal> match(ServerRequest request, MatchedRequest& matched) const;
    /// Logs and counts a refusal.
    /// \return The answer.
    HttpResponse refusalResponse(const Refusal& refusal, std::string_view requestId);
    void refuse(HttpReply& reply, GatewayError error, std::string_view requestId, std::string_view cause,
        std::optional<Duration> retryAfter = std::nullopt);
    /// Checks the API key and sets organisation and urgency.
    /// \return The error to send if the request must not run, otherwise none.
    std::optional<GatewayError> authenticate(MatchedRequest& matched) const;
    /// \return A random target of the route, drawn by weight; null if it has none or the target is unknown.
    const ServiceProfile* chooseService(const RoutingTable& table, const Route& route);
    /// \return Whether a request that arrives while this host shuts down is still taken.
    bool acceptsWhileStopping(const MatchedRequest& matched) const;
    void add(const std::shared_ptr<Call>& call);
    void handleFinished(Call& call);
    void runnerLost(const EndpointId& runner);
    /// \return A copy of the open calls, since calls may finish during iteration.
    std::vector<std::shared_ptr<Call>> openCalls() const;
    void admitQueued();
    /// \brief Refuses a request with a quarantined part in its prompt, unless it is the trial of that part.
    /// \return Whether it was refused.
    bool refuseQuarantined(const MatchedRequest& matched, HttpReply& reply, bool& isTrial);
    /// Tells the open calls that this host was held up.
    void reportHostPause(Duration gap, TimePoint now);

    GatewayContext& m_context;
    CrashWatch m_crashWatch;
    SilenceWatch m_silenceWatch;
    std::map<AdmissionQueue::Key, std::shared_ptr<Call>> m_openCalls;
    AdmissionQueue::Key m_lastKey = 0;
    std::map<TargetId, EventInterval> m_eventIntervals;
    /// Durations of served streams.
    std::map<TargetId, RecentDurations> m_durations;
    /// Exponential moving average of the duration of served streams.
    Duration m_meanDuration { std::chrono::seconds(4) };
};

} // namespace fuchsialb
