#pragma once

#include "Replay.h"

#include <map>

namespace fuchsialb::bench {

/// \brief Metrics of one replay by name, for example `urgent.first_token_p95_ms`.
///
/// Work is counted in seconds of the whole group by the hardware bound. Shares, throughput and goodput cover what was
/// delivered between the end of the warm-up and the last arrival; latencies, refusals and what organisations got cover
/// the requests that arrived in that span. A request without a first token counts as later than all others.
using Metrics = std::map<std::string, double>;

Metrics measure(const Workload& workload, const std::vector<CallRecord>& records);

} // namespace fuchsialb::bench
