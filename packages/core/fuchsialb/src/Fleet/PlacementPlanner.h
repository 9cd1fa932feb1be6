#pragma once

#include "EngineProfile.h"

#include <vector>

namespace fuchsialb {

/// \brief A runner as the planner sees it.
struct PlacementNode {
    EndpointId runner;
    AcceleratorKindId accelerator;
    /// Layers that it holds, or will hold when the order in progress is done.
    LayerRange layers;
    /// It has no order in progress.
    bool idle = true;
    /// It is kept for gaps: a runner that arrives empty often replaces one that is about to leave.
    bool spare = false;
    /// KV cache promised to requests, in tokens times layers.
    double promised = 0;
};

/// \brief Layers that a runner should hold from now on.
struct PlacementStep {
    EndpointId runner;
    LayerRange layers;

    bool operator==(const PlacementStep&) const = default;
};

/// \brief Decides which runner of one data centre holds which layers of a model.
///
/// A data centre holds one whole copy of the model where its memory allows, so that requests need not cross to another
/// one and a data centre that is cut off serves on. The rest of the memory is KV cache, the scarce resource under load:
/// - an empty fleet gets contiguous ranges that maximise the smallest KV cache, in tokens, over all runners;
/// - layers that nobody holds any more go to an empty runner, or else to one whose layers others hold as well, or else
///   extend the ranges on both sides of the gap, as far as possible without the KV cache promised there;
/// - an empty runner that no gap needs and that is not a spare doubles the layers with the least KV cache.
///
/// A step never names more layers than fit beside those that the runner still holds.
class PlacementPlanner {
public:
    /// \return Steps to give now; none when nothing is to be done.
    static std::vector<PlacementStep> plan(const std::vector<PlacementNode>& nodes, const EngineProfile& engine);
    /// \return Whether some layer is held by no runner.
    static bool hasGap(const std::vector<PlacementNode>& nodes, const EngineProfile& engine);
    /// \brief Places the whole model anew over all runners, in the order of the layers that they hold now.
    ///
    /// For a gap that no empty runner and no neighbour can fill, for example after the loss of a large runner. Costs
    /// loads on most runners.
    static std::vector<PlacementStep> relayout(const std::vector<PlacementNode>& nodes, const EngineProfile& engine);
};

} // namespace fuchsialb
