#pragma once

#include "GatewayContext.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace fuchsialb {

/// Asks a runner for its state.
/// \param onReport Told once: the report, `EndpointFailed` when the answer is none, or why none came.
void askReport(GatewayContext& context, const std::string& address,
    const std::function<void(absl::StatusOr<RunnerReport>)>& onReport);

/// Orders a runner to hold a range of layers.
/// \param onOutcome Told once.
void orderPlacement(
    GatewayContext& context, const PlacementOrder& order, const std::function<void(OrderOutcome)>& onOutcome);

/// Orders the first runner of a path to take a running request over another path that begins at the same runner.
/// \param onAnswer Told once.
void orderPathChange(GatewayContext& context, const std::string& requestId, const Path& path,
    const std::function<void(const PathChangeAnswer&)>& onAnswer);

} // namespace fuchsialb
