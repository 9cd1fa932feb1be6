#pragma once

#include "GatewayContext.h"

namespace fuchsialb {

/// \brief Applies what a runner's response says of the runner itself: that it leaves, that it wants no requests for a
/// while, or how many it takes.
/// \param runner The runner that the request was addressed to, as known when it was sent.
/// \param status HTTP status; after 421, which another runner at the address sends, nothing is applied.
/// \param sentAt When the caller's request was sent that is answered. None for reports and orders, whose responses may
///     name a limit on requests but don't end one.
void recordRunnerNotices(GatewayContext& context, const RunnerLeaving& runner, const RunnerResponse& response,
    std::uint32_t status, std::optional<TimePoint> sentAt = std::nullopt);

/// Logs and counts that a runner's limit on requests has changed.
/// \param source "response", "report", or the id of the host that passed it on.
void reportRateLimit(GatewayContext& context, const RequestRateLimit& limit, std::string_view source);

/// Applies that a runner leaves.
/// \param source "response", or the id of the host that passed it on.
void reportRunnerLeaving(GatewayContext& context, const RunnerLeaving& leaving, std::string_view source);

} // namespace fuchsialb
