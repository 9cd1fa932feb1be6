#pragma once

#include "Replay.h"

#include <optional>

namespace fuchsialb::bench {

/// \brief Longest time from the death of a runner until throughput over the next 250 ms and over the next second is at
/// least 95% of what the surviving runners can do, or of what was requested before the death when that is less. \return
/// None when no runner dies; the rest of the replay when throughput does not come back.
std::optional<Duration> recoveryTime(const Workload& workload, const std::vector<CallRecord>& records);

} // namespace fuchsialb::bench
