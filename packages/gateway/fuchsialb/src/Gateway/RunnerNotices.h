#pragma once

#include "GatewayContext.h"

namespace fuchsialb {

/// \brief Applies what a runner's response says of the runner itself: that it leaves, or wants no requests for a while.
/// \param runner The runner that the request was addressed to, as known when it was sent.
/// \param status HTTP status; after 421, which another runner at the address sends, nothing is applied.
void recordRunnerNotices(
    GatewayContext& context, const RunnerLeaving& runner, const RunnerResponse& response, std::uint32_t status);

/// Applies that a runner leaves.
/// \param source "response", or the id of the host that passed it on.
void reportRunnerLeaving(GatewayContext& context, const RunnerLeaving& leaving, std::string_view source);

} // namespace fuchsialb
