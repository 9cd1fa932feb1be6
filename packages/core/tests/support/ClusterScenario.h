#pragma once

#include "Cluster.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsialb {

/// Layers of the simulated model.
inline constexpr std::uint32_t clusterLayers = 4;

/// Sends calls and completions of several callers over the next seconds, hasty repetitions of a key included.
void sendWork(Cluster& cluster);

/// Plays one seeded scenario with one to three failures.
/// \return The violations that the checker found.
std::vector<std::string> playScenario(std::uint64_t seed, RouterFault fault);

} // namespace fuchsialb
