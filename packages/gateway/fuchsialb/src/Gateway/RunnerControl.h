#pragma once

#include "GatewayContext.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace fuchsialb {

/// Requests the state of a runner.
/// \param onReport Called once with the report, `EndpointFailed` if the response is not a valid report, or the error of
/// the exchange.
void requestReport(GatewayContext& context, const std::string& address,
    const std::function<void(absl::StatusOr<RunnerReport>)>& onReport);

/// Orders a runner to load a range of layers.
/// \param onOutcome Called once.
void sendPlacementOrder(
    GatewayContext& context, const PlacementOrder& order, const std::function<void(OrderOutcome)>& onOutcome);

/// Orders the first runner of a path to switch a running request to that path, which starts at the same runner.
/// \param onResult Called once.
void sendPathChangeOrder(GatewayContext& context, const std::string& requestId, const Path& path,
    const std::function<void(const PathChangeResult&)>& onResult);

} // namespace fuchsialb
