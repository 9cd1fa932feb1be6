#pragma once

#include "PlacementPlanner.h"

#include <vector>

namespace fuchsialb::internal {

/// \brief A runner whose kind of accelerator the engine lists.
struct PlacementCandidate {
    const PlacementNode* node = nullptr;
    const AcceleratorProfile* accelerator = nullptr;

    /// \return The layers of the model that the runner holds.
    LayerRange held(const EngineProfile& engine) const;
    /// \return KV cache that the runner offers beside `range`, in tokens for each of its layers.
    double cacheTokens(const LayerRange& range, const EngineProfile& engine) const;
};

using PlacementCandidates = std::vector<PlacementCandidate>;

/// \return The nodes with a listed kind of accelerator, in the same order.
PlacementCandidates placementCandidates(const std::vector<PlacementNode>& nodes, const EngineProfile& engine);

/// \return Total KV cache of each layer over all runners that hold it, in tokens; at least 1 for a layer that is held.
std::vector<double> cacheByLayer(const PlacementCandidates& list, const EngineProfile& engine);

/// \return The first and last layers of all held ranges and of the model, in ascending order.
std::vector<std::uint32_t> layerBoundaries(const PlacementCandidates& list, const EngineProfile& engine);

} // namespace fuchsialb::internal
