#pragma once

#include "Call.h"

#include <map>

namespace fuchsialb {

/// \brief Takes requests in, judges them by the configuration in force and keeps the open ones.
class RequestDesk {
public:
    explicit RequestDesk(GatewayContext& context);

    void handle(ServerRequest request, const std::shared_ptr<HttpReply>& reply);
    /// Looks after deadlines, stalls and waits; called every few milliseconds.
    void tick();
    /// A runner has announced that it leaves, or is off the registry.
    void runnerLeaving(const EndpointId& runner);
    std::size_t open() const { return m_open.size(); }

private:
    void refuse(HttpReply& reply, GatewayError answer, std::string_view requestId, std::string_view cause,
        std::optional<Duration> retryAfter = std::nullopt);
    /// Sets organisation and urgency.
    /// \return An answer of the system's own when the request must not run.
    std::optional<GatewayError> identify(MatchedRequest& matched) const;
    const ServiceProfile* chooseService(const RoutingTable& table, const Route& route);
    void add(const std::shared_ptr<Call>& call);
    void over(Call& call);
    void runnerLost(const EndpointId& runner);
    /// \return The open calls; these may end while they are gone through.
    std::vector<std::shared_ptr<Call>> calls() const;
    void admitWaiting();

    GatewayContext& m_context;
    std::map<AdmissionQueue::Key, std::shared_ptr<Call>> m_open;
    AdmissionQueue::Key m_lastKey = 0;
    /// Mean time that a stream keeps its room.
    Duration m_meanDuration { std::chrono::seconds(4) };
};

} // namespace fuchsialb
