#pragma once

#include "Call.h"
#include "UnaryRun.h"

#include <set>
#include <vector>

namespace fuchsialb {

/// \brief A request to a single endpoint, answered by one complete response.
///
/// While two runs are open, a request and its hedge, the first whole answer is forwarded and cancels the other run. A
/// run that ends without one leaves the request to the other run; only when none is open is it retried or answered.
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
    bool startRun(const RunnerDirectory::Runner& endpoint, bool isHedge);
    void handleResponse(const UnaryRun& run, HttpResponse response);
    void handleFailure(const UnaryRun& run, const HttpFailure& failure);
    /// Keeps a server error while others may still answer.
    /// \return Whether there is memory for it; otherwise one that was kept before stays.
    bool keepError(HttpResponse& response);
    /// Takes a run that has ended out of the open ones; its endpoint isn't chosen again.
    void closeRun(const UnaryRun& run);
    /// Sends the request to a second endpoint, beside the first one, if the answer is slow and nothing speaks against
    /// it.
    void hedgeIfSlow(TimePoint now);
    void reportHedgeWithheld(HedgeObstacle obstacle, const EndpointId& endpoint);
    /// \param event "sent"; then once "won", "cancelled" or "failed".
    void countHedge(std::string_view event);
    /// Finishes the request when no run can answer it any more.
    void respondWithoutAnswer(std::string_view cause);
    /// \return Delay before the caller should retry a request that wasn't run.
    Duration retryDelay();
    /// Takes a retry from the budget if the request may be retried.
    bool mayRetry(TimePoint now);

    /// Runs whose answer is awaited: one, or two while a hedge is open.
    std::vector<std::shared_ptr<UnaryRun>> m_openRuns;
    std::uint64_t m_lastRun = 0;
    /// Endpoints that may have run the request, or that refused it. A hedge that was refused doesn't count, so that a
    /// failure of the other run can still be retried.
    std::uint32_t m_attempts = 0;
    std::uint32_t m_connectFailures = 0;
    bool m_mayHaveRun = false;
    bool m_isHedged = false;
    /// Whether it has been reported that no hedge was sent.
    bool m_isHedgeWithheld = false;
    TimePoint m_nextHedgeCheck {};
    std::set<EndpointId> m_excluded;
    /// Endpoints whose limit on requests doesn't admit this one.
    std::set<EndpointId> m_rateLimited;
    /// A server error from an endpoint, forwarded if the retry fails as well.
    std::optional<HttpResponse> m_errorResponse;
    MemoryShare m_errorMemory { m_context.responseMemory };
};

} // namespace fuchsialb
