#pragma once

#include "EngineProfile.h"

#include <vector>

namespace fuchsialb {

/// \brief State of a runner, as input of the planner.
struct PlacementNode {
    EndpointId runner;
    AcceleratorKindId accelerator;
    /// Layers that the runner holds, or will hold when its order in progress is done.
    LayerRange layers;
    /// Whether the runner has no order in progress.
    bool idle = true;
    /// Whether the runner is reserved for gaps: a runner that joins empty often replaces one that is about to leave.
    bool spare = false;
    /// KV cache reserved for requests, in tokens times layers.
    double reservedCache = 0;
};

/// \brief Layers that a runner should hold from now on.
struct PlacementStep {
    EndpointId runner;
    LayerRange layers;

    bool operator==(const PlacementStep&) const = default;
};

/// \brief Decides which runner of one data centre holds which layers of a model.
///
/// A data centre holds one complete copy of the model if its memory allows, so that requests need not cross to another
/// data centre and a data centre that is cut off continues to serve. The remaining memory is KV cache, the scarce
/// resource under load:
/// - an empty fleet gets contiguous ranges that maximise the smallest KV cache, in tokens, over all runners;
/// - a gap, that is, layers that no runner holds any more, is assigned to an empty runner, or else to one whose layers
///   other runners hold as well, or else to the runners of the adjoining ranges, if possible without using KV cache
///   that is reserved there;
/// - an empty runner that no gap needs and that is not a spare replicates the layers with the least KV cache.
///
/// A step never has more layers than fit beside those that the runner still holds.
class PlacementPlanner {
public:
    /// \return Steps to take now; empty when the placement needs no change.
    static std::vector<PlacementStep> plan(const std::vector<PlacementNode>& nodes, const EngineProfile& engine);
    /// \return Whether some layer is held by no runner.
    static bool hasGap(const std::vector<PlacementNode>& nodes, const EngineProfile& engine);
    /// \brief Recomputes the placement of the whole model, with the runners in the order of their current layers.
    ///
    /// For a gap that neither an empty runner nor a neighbour can fill, for example after the loss of a large runner.
    /// Most runners then load layers.
    static std::vector<PlacementStep> relayout(const std::vector<PlacementNode>& nodes, const EngineProfile& engine);
};

} // namespace fuchsialb
