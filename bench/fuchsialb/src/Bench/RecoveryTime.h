#pragma once

#include "Replay.h"

#include <optional>

namespace fuchsialb::bench {

/// \brief Longest time from the loss of a runner until throughput over the next 250 ms and over the next second is at
/// least 95% of what the surviving runners can do, or of what was requested before the loss when that is less. \return
/// None when no runner dies or hangs; the rest of the replay when throughput does not come back.
std::optional<Duration> recoveryTime(const Workload& workload, const std::vector<CallRecord>& records);

} // namespace fuchsialb::bench
