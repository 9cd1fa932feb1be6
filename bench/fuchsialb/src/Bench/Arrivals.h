#pragma once

#include "HardwareBound.h"
#include "Workload.h"

#include "fuchsialb/Router.h"

namespace fuchsialb::bench {

/// \brief One request of a replay.
struct Arrival {
    Duration at { 0 };
    /// Index in the workload's streams.
    std::size_t stream = 0;
    Request request;
};

/// \return The Poisson arrivals of all streams in order of time; the same seed gives the same arrivals. Request ids are
/// the indices.
std::vector<Arrival> makeArrivals(const Workload& workload, const HardwareBound& bound, std::uint64_t seed);

} // namespace fuchsialb::bench
