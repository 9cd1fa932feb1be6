#pragma once

#include "Call.h"

#include <set>

namespace fuchsialb {

/// \brief A request to a plain endpoint, answered in one piece.
class PlainCall final : public Call {
public:
    using Call::Call;

    void start() override;
    void tick(TimePoint now) override;

private:
    void stopRunner() override;

    const RunnerDirectory::Runner* choose(TimePoint now) const;
    /// \return Whether the request was sent to another endpoint.
    bool send();
    void takeResponse(HttpResponse response);
    void takeFailure(const HttpFailure& failure);
    void leaveEndpoint();
    bool mayTryAgain(TimePoint now);

    std::optional<HttpExchangeId> m_exchange;
    EndpointId m_endpoint;
    std::uint64_t m_run = 0;
    /// Endpoints that may have run the request, or that refused it.
    std::uint32_t m_attempts = 0;
    std::uint32_t m_connectFailures = 0;
    bool m_mayHaveRun = false;
    std::set<EndpointId> m_avoided;
    /// A failure that the endpoint answered, passed on if the repeat fails too.
    std::optional<HttpResponse> m_failure;
};

} // namespace fuchsialb
