#pragma once

#include "../Directory/EngineProfile.h"

#include <optional>
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

/// \brief KV cache of the layer that has the least of it, over all runners that hold the layer.
struct PlacementRoom {
    /// As placed now, in tokens.
    double tokens = 0;
    /// In the best layout of the same runners, in tokens.
    double bestTokens = 0;
};

/// \brief Decides which runner of one data centre holds which layers of a model.
///
/// A data centre holds one complete copy of the model if its memory allows, so that requests need not cross to another
/// data centre and a data centre that is cut off continues to serve. The remaining memory is KV cache, the scarce
/// resource under load:
/// - an empty fleet is divided into groups of runners that hold the same range. The size of the groups weighs KV cache
///   against slots of first runners, the time of a token and what the loss of a runner leaves; the borders between the
///   groups maximise the smallest KV cache, in tokens;
/// - a gap, that is, layers that no runner holds any more, is assigned to an empty runner, or else to one whose layers
///   other runners hold as well, or else to the runners of the adjoining ranges, if possible without using KV cache
///   that is reserved there;
/// - an empty runner that no gap needs and that is not a spare replicates the layers with the least KV cache;
/// - when a layer has much less KV cache than the best layout would give it, as after repairs, runners move their
///   borders or change groups, a few at a time, while requests go on.
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
    /// \param bestTokens Result of an earlier call for the same runners; searched if missing.
    static PlacementRoom room(
        const std::vector<PlacementNode>& nodes, const EngineProfile& engine, std::optional<double> bestTokens);
    /// \return Steps that raise the KV cache of the layers that have the least; empty while they have enough.
    static std::vector<PlacementStep> balance(
        const std::vector<PlacementNode>& nodes, const EngineProfile& engine, const PlacementRoom& room);
};

} // namespace fuchsialb
