#pragma once

#include "Arrivals.h"
#include "Policy.h"

namespace fuchsialb::bench {

/// \brief What became of one arrival.
struct CallRecord {
    std::size_t stream = 0;
    Duration arrivedAt { 0 };
    std::uint32_t requestedTokens = 0;
    /// Moments of the tokens, in order.
    std::vector<Duration> tokens;
    bool ended = false;
    Result result;
};

/// \brief Replays the arrivals under one policy on engine fakes of its own.
/// \return One record for each arrival, in order.
absl::StatusOr<std::vector<CallRecord>> replay(
    const Workload& workload, const std::vector<Arrival>& arrivals, const std::string& policy, std::uint64_t seed);

} // namespace fuchsialb::bench
