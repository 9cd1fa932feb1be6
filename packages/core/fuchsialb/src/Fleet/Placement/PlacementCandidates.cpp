#include "PlacementCandidates.h"

#include <algorithm>
#include <set>

namespace fuchsialb::internal {

LayerRange PlacementCandidate::held(const EngineProfile& engine) const
{
    const LayerRange range { std::min(node->layers.first, engine.layers), std::min(node->layers.end, engine.layers) };
    return range;
}

double PlacementCandidate::cacheTokens(const LayerRange& range, const EngineProfile& engine) const
{
    return range.count() == 0 ? 0 : engine.cacheCapacity(*accelerator, range.count()) / range.count();
}

PlacementCandidates placementCandidates(const std::vector<PlacementNode>& nodes, const EngineProfile& engine)
{
    PlacementCandidates list;
    for (const PlacementNode& node : nodes) {
        if (const AcceleratorProfile* accelerator = engine.accelerator(node.accelerator))
            list.push_back({ &node, accelerator });
    }
    return list;
}

std::vector<double> cacheByLayer(const PlacementCandidates& list, const EngineProfile& engine)
{
    std::vector<double> layerCache(engine.layers, 0);
    for (const PlacementCandidate& candidate : list) {
        const LayerRange held = candidate.held(engine);
        // Layers outside the model take memory as well.
        const double tokens = std::max(1.0, candidate.cacheTokens(candidate.node->layers, engine));
        for (std::uint32_t layer = held.first; layer < held.end; ++layer)
            layerCache[layer] += tokens;
    }
    return layerCache;
}

std::vector<std::uint32_t> layerBoundaries(const PlacementCandidates& list, const EngineProfile& engine)
{
    std::set<std::uint32_t> boundaries { 0, engine.layers };
    for (const PlacementCandidate& candidate : list) {
        const LayerRange held = candidate.held(engine);
        if (held.count() == 0)
            continue;
        boundaries.insert(held.first);
        boundaries.insert(held.end);
    }
    return { boundaries.begin(), boundaries.end() };
}

} // namespace fuchsialb::internal
