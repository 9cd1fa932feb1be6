#pragma once

#include "fuchsialb/Fleet.h"

#include <vector>

namespace fuchsialb::test {

using namespace std::chrono_literals;

/// Model of 40 layers of 1 GB each; a token needs 20 KB of KV cache in each layer.
EngineProfile fleetEngine();
TargetId fleetService();
/// One large, four middle and four small runners without layers.
std::vector<PlacementNode> fleetNodes();
/// The same runners as entries of the data centre "east".
std::vector<RunnerEntry> fleetEntries();
/// Runners of two data centres, each with `parts` runners that hold equal ranges; ids are "east-0", "west-0" and so on.
std::vector<RunnerEntry> placedEntries(std::uint32_t parts);

} // namespace fuchsialb::test
