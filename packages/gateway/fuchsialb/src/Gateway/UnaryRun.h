#pragma once

#include "GatewayContext.h"

#include <absl/status/statusor.h>

#include <memory>

namespace fuchsialb {

/// \brief One run of a plain request at an endpoint: the exchange with it, and the load reserved there meanwhile.
///
/// A run ends once: with its response, its failure, or `cancel`. No handler is called afterwards, so that a second or
/// late answer has no effect.
class UnaryRun {
public:
    /// Where and why the request runs.
    struct Target {
        EndpointId endpoint;
        std::string address;
        /// Start of the endpoint's process, in Unix milliseconds.
        std::int64_t startedAt = 0;
        /// Whether the run takes place beside an earlier one whose answer is slow.
        bool isHedge = false;
    };

    struct Handlers {
        std::function<bool(const HttpResponse& head)> isOwnResponse;
        /// Called when the run has ended.
        std::function<void(const UnaryRun& run, HttpResponse response)> onResponse;
        std::function<void(const UnaryRun& run, const HttpFailure& failure)> onFailure;
    };

    /// \return The status of the HTTP client if it doesn't accept the request.
    static absl::StatusOr<std::shared_ptr<UnaryRun>> start(
        GatewayContext& context, Target target, HttpRequest request, Handlers handlers);

    UnaryRun(const UnaryRun&) = delete;
    UnaryRun& operator=(const UnaryRun&) = delete;

    /// Closes the connection to the endpoint, which ends its work, and releases the load.
    void cancel();
    const Target& target() const { return m_target; }
    TimePoint sentAt() const { return m_sentAt; }

private:
    UnaryRun(GatewayContext& context, Target target);
    /// \return Whether the run hadn't ended before.
    bool end();

    GatewayContext& m_context;
    Target m_target;
    TimePoint m_sentAt;
    HttpExchangeId m_exchange;
    bool m_isOpen = true;
};

} // namespace fuchsialb
