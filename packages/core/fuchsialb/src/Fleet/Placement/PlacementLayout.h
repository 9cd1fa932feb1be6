#pragma once

#include "PlacementCandidates.h"

namespace fuchsialb::internal {

/// \brief Ranges of layers for all runners of a data centre, and what they are worth.
///
/// The model is cut into consecutive ranges, and each range is held by a group of runners. A path takes one runner of
/// each group, so that the loss of a runner leaves the other paths through its group, and a stream starts at any runner
/// of the first group. Every additional runner in each group costs the memory of one more copy of the model, which is
/// then missing as KV cache.
struct PlacementLayout {
    std::vector<PlacementStep> steps;
    /// Smallest KV cache of a layer over all its holders, in tokens.
    double cacheTokens = 0;
    /// Streams that can run at the same time: by KV cache and by the slots of the first runners.
    double streams = 0;
    /// Streams that can still run after the loss of any one runner, before any other runner loads layers.
    double streamsAfterLoss = 0;
    /// Time of one token through all layers, in milliseconds.
    double tokenMilliseconds = 0;

    bool empty() const { return steps.empty(); }
    /// \return Streams served in each second that a token takes, as the mean of before and after a loss.
    double value() const;
};

/// \brief Searches the layout with the highest value over the sizes of the groups.
///
/// Answers a load of more streams than one copy of the model can serve: with a single copy, all streams of a data
/// centre start at one runner, pass every slow runner and stop at the loss of any runner. The sizes tried are bounded,
/// and for each size the borders maximise the smallest KV cache, so the search takes at most 40 layouts.
/// \param list Order in which the runners are grouped; neighbours share a group.
/// \return An empty layout when the runners can't hold the model.
PlacementLayout bestLayout(const PlacementCandidates& list, const EngineProfile& engine);

/// \brief As `bestLayout`, over the orders by speed and by memory of the accelerators.
PlacementLayout bestInitialLayout(const PlacementCandidates& list, const EngineProfile& engine);

} // namespace fuchsialb::internal
