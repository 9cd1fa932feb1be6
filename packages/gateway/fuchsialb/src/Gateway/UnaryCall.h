#pragma once

#include "Call.h"

#include <set>

namespace fuchsialb {

/// \brief A request to a single endpoint, answered by one complete response.
class UnaryCall final : public Call {
public:
    using Call::Call;

    void start() override;
    void tick(TimePoint now) override;
    void endForShutdown() override;

private:
    void cancelRun() override;

    /// \return The least loaded usable endpoint, or null.
    const RunnerDirectory::Runner* chooseEndpoint(TimePoint now) const;
    /// \return The least loaded usable endpoint whose limit on requests admits this one, or null.
    const RunnerDirectory::Runner* chooseAdmittingEndpoint(TimePoint now);
    /// \return Whether the request was sent to another endpoint.
    bool send();
    void handleResponse(HttpResponse response);
    void handleFailure(const HttpFailure& failure);
    void releaseEndpoint();
    /// \return Delay before the caller should retry a request that wasn't run.
    Duration retryDelay();
    /// Takes a retry from the budget if the request may be retried.
    bool mayRetry(TimePoint now);

    std::optional<HttpExchangeId> m_exchange;
    EndpointId m_endpoint;
    std::int64_t m_endpointStartedAt = 0;
    TimePoint m_sentAt {};
    std::uint64_t m_run = 0;
    /// Endpoints that may have run the request, or that refused it.
    std::uint32_t m_attempts = 0;
    std::uint32_t m_connectFailures = 0;
    bool m_mayHaveRun = false;
    std::set<EndpointId> m_excluded;
    /// Endpoints whose limit on requests doesn't admit this one.
    std::set<EndpointId> m_rateLimited;
    /// A server error from an endpoint, forwarded if the retry fails as well.
    std::optional<HttpResponse> m_errorResponse;
};

} // namespace fuchsialb
