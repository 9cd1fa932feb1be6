#include "PlacementPlanner.h"

#include "PlacementBalancer.h"
#include "PlacementLayout.h"

#include <algorithm>
#include <array>
#include <functional>
#include <optional>

namespace fuchsialb {

using internal::cacheByLayer;
using internal::PlacementCandidate;
using internal::placementCandidates;
using internal::PlacementCandidates;

namespace {

    // KV cache, in tokens, that filling a gap tries to leave at a runner, in descending order. The smallest holds a few
    // requests of typical size; with less, a runner would only preempt.
    constexpr std::array<double, 6> repairTokens { 60'000, 40'000, 25'000, 15'000, 8'000, 4'000 };
    // KV cache, in tokens, of a runner that gives up layers which others hold as well, for layers that none holds.
    constexpr double replicaTokens = 40'000;
    // Moves in each round of balancing.
    constexpr std::size_t maxMoves = 3;
    // Balancing starts when the smallest cache of a layer falls below this fraction of the best one, and thus doesn't
    // follow the small differences that whole layers leave.
    constexpr double balancedFraction = 0.7;

    std::vector<LayerRange> gaps(const std::vector<double>& layerCache)
    {
        std::vector<LayerRange> list;
        for (std::uint32_t layer = 0; layer < layerCache.size(); ++layer) {
            if (layerCache[layer] > 0)
                continue;
            if (!list.empty() && list.back().end == layer)
                ++list.back().end;
            else
                list.push_back({ layer, layer + 1 });
        }
        return list;
    }

    /// KV cache that must remain at a runner whose range is extended.
    struct Reserve {
        /// In tokens, for each layer that the runner then holds.
        double tokens = 0;
        /// Whether the KV cache reserved for requests must fit as well; otherwise they are preempted.
        bool keepsReserved = true;
    };

    std::uint32_t extraLayers(const PlacementCandidate& candidate, const EngineProfile& engine, const Reserve& reserve)
    {
        const std::uint32_t held = candidate.node->layers.count();
        std::uint32_t fits = engine.maxLayersWithCache(*candidate.accelerator, reserve.tokens);
        while (reserve.keepsReserved && fits > held
            && engine.cacheCapacity(*candidate.accelerator, fits) < candidate.node->reservedCache)
            --fits;
        return fits > held ? fits - held : 0;
    }

    /// Returns the idle runner next to a gap that can hold the most additional layers.
    const PlacementCandidate* bestNeighbour(const PlacementCandidates& list, const EngineProfile& engine,
        const Reserve& reserve, const std::function<bool(const LayerRange&)>& adjoins)
    {
        const PlacementCandidate* best = nullptr;
        for (const PlacementCandidate& candidate : list) {
            if (!candidate.node->idle || candidate.node->layers.count() == 0 || !adjoins(candidate.node->layers))
                continue;
            if (!best || extraLayers(candidate, engine, reserve) > extraLayers(*best, engine, reserve))
                best = &candidate;
        }
        return best;
    }

    std::vector<Reserve> reserves()
    {
        std::vector<Reserve> list;
        for (const bool keepsReserved : { true, false }) {
            for (const double tokens : repairTokens)
                list.push_back({ tokens, keepsReserved });
        }
        return list;
    }

    std::vector<PlacementStep> extendNeighbours(
        const PlacementCandidates& list, const EngineProfile& engine, const LayerRange& gap)
    {
        for (const Reserve& reserve : reserves()) {
            const PlacementCandidate* left
                = bestNeighbour(list, engine, reserve, [&](const LayerRange& held) { return held.end == gap.first; });
            const PlacementCandidate* right
                = bestNeighbour(list, engine, reserve, [&](const LayerRange& held) { return held.first == gap.end; });
            const std::uint32_t leftExtra = left ? extraLayers(*left, engine, reserve) : 0;
            const std::uint32_t rightExtra = right ? extraLayers(*right, engine, reserve) : 0;
            if (leftExtra + rightExtra < std::max(1U, gap.count()))
                continue;
            // Each side gets layers in proportion to its capacity.
            std::uint32_t leftCount = gap.count() * leftExtra / (leftExtra + rightExtra);
            leftCount = std::max(leftCount, gap.count() > rightExtra ? gap.count() - rightExtra : 0);
            std::vector<PlacementStep> steps;
            if (left && leftCount > 0)
                steps.push_back({ left->node->runner, { left->node->layers.first, gap.first + leftCount } });
            if (right && leftCount < gap.count())
                steps.push_back({ right->node->runner, { gap.first + leftCount, right->node->layers.end } });
            return steps;
        }
        return {};
    }

    /// Returns the idle runner without layers that has the most memory.
    std::optional<std::size_t> largestEmpty(
        const PlacementCandidates& list, const std::vector<bool>& assigned, bool includeSpares)
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < list.size(); ++i) {
            if (assigned[i] || !list[i].node->idle || list[i].node->layers.count() > 0
                || (list[i].node->spare && !includeSpares))
                continue;
            if (!best || list[i].accelerator->memoryMegabytes > list[*best].accelerator->memoryMegabytes)
                best = i;
        }
        return best;
    }

    /// Returns the idle runner with the least reserved KV cache, and thus the fewest requests to wait for, among those
    /// that can hold layers of a gap and whose own layers other runners hold as well.
    std::optional<std::size_t> leastLoadedRedundant(const PlacementCandidates& list, const EngineProfile& engine,
        const std::vector<std::uint32_t>& holders, const std::vector<bool>& assigned)
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < list.size(); ++i) {
            const LayerRange held = list[i].node->layers;
            if (assigned[i] || !list[i].node->idle || held.count() == 0
                || engine.maxLayersWithCache(*list[i].accelerator, replicaTokens) == 0)
                continue;
            bool needed = false;
            for (std::uint32_t layer = held.first; layer < std::min(held.end, engine.layers); ++layer)
                needed = needed || holders[layer] < 2;
            if (needed)
                continue;
            if (!best || list[i].node->reservedCache < list[*best].node->reservedCache)
                best = i;
        }
        return best;
    }

    /// Number of runners that hold each layer.
    std::vector<std::uint32_t> holdersByLayer(const PlacementCandidates& list, const EngineProfile& engine)
    {
        std::vector<std::uint32_t> holders(engine.layers, 0);
        for (const PlacementCandidate& candidate : list) {
            const LayerRange held = candidate.node->layers;
            for (std::uint32_t layer = held.first; layer < std::min(held.end, engine.layers); ++layer)
                ++holders[layer];
        }
        return holders;
    }

} // namespace

bool PlacementPlanner::hasGap(const std::vector<PlacementNode>& nodes, const EngineProfile& engine)
{
    return !gaps(cacheByLayer(placementCandidates(nodes, engine), engine)).empty();
}

std::vector<PlacementStep> PlacementPlanner::relayout(
    const std::vector<PlacementNode>& nodes, const EngineProfile& engine)
{
    PlacementCandidates list = placementCandidates(nodes, engine);
    std::stable_sort(list.begin(), list.end(), [](const PlacementCandidate& a, const PlacementCandidate& b) {
        // Empty runners go last, so that the ranges of the others shift by at most the size of the gap.
        const bool aEmpty = a.node->layers.count() == 0;
        const bool bEmpty = b.node->layers.count() == 0;
        return aEmpty != bEmpty ? bEmpty : a.node->layers < b.node->layers;
    });
    std::vector<PlacementStep> steps;
    for (const PlacementStep& step : internal::bestLayout(list, engine).steps) {
        const auto changes = [&](const PlacementNode& node) {
            return node.runner == step.runner && node.idle && node.layers != step.layers;
        };
        if (std::any_of(nodes.begin(), nodes.end(), changes))
            steps.push_back(step);
    }
    return steps;
}

PlacementRoom PlacementPlanner::room(
    const std::vector<PlacementNode>& nodes, const EngineProfile& engine, std::optional<double> bestTokens)
{
    const PlacementCandidates list = placementCandidates(nodes, engine);
    const std::vector<double> layerCache = cacheByLayer(list, engine);
    PlacementRoom room;
    room.tokens = layerCache.empty() ? 0 : *std::min_element(layerCache.begin(), layerCache.end());
    room.bestTokens = bestTokens ? *bestTokens : internal::bestInitialLayout(list, engine).cacheTokens;
    return room;
}

std::vector<PlacementStep> PlacementPlanner::balance(
    const std::vector<PlacementNode>& nodes, const EngineProfile& engine, const PlacementRoom& room)
{
    if (room.tokens >= balancedFraction * room.bestTokens)
        return {};
    return internal::PlacementBalancer(placementCandidates(nodes, engine), engine, room.bestTokens).moves(maxMoves);
}

std::vector<PlacementStep> PlacementPlanner::plan(const std::vector<PlacementNode>& nodes, const EngineProfile& engine)
{
    const PlacementCandidates list = placementCandidates(nodes, engine);
    const bool fleetEmpty = std::all_of(list.begin(), list.end(),
        [](const PlacementCandidate& candidate) { return candidate.node->layers.count() == 0; });
    if (fleetEmpty)
        return internal::bestInitialLayout(list, engine).steps;
    std::vector<std::uint32_t> holders = holdersByLayer(list, engine);
    std::vector<bool> assigned(list.size(), false);
    std::vector<PlacementStep> steps;
    internal::PlacementBalancer balancer(list, engine, 0);
    const auto assign = [&](std::size_t index, const LayerRange& range) {
        assigned[index] = true;
        steps.push_back({ list[index].node->runner, range });
        balancer.apply(list[index], range);
    };
    for (const LayerRange& gap : gaps(cacheByLayer(list, engine))) {
        LayerRange remaining = gap;
        while (remaining.count() > 0) {
            const auto empty = largestEmpty(list, assigned, true);
            const auto chosen = empty ? empty : leastLoadedRedundant(list, engine, holders, assigned);
            if (!chosen)
                break;
            const std::uint32_t fits
                = engine.maxLayersWithCache(*list[*chosen].accelerator, empty ? repairTokens.back() : replicaTokens);
            if (fits == 0)
                break;
            const LayerRange released = list[*chosen].held(engine);
            for (std::uint32_t layer = released.first; layer < released.end; ++layer)
                --holders[layer];
            const LayerRange part { remaining.first, remaining.first + std::min(fits, remaining.count()) };
            assign(*chosen, part);
            remaining.first = part.end;
        }
        if (remaining.count() > 0) {
            const auto extended = extendNeighbours(list, engine, remaining);
            steps.insert(steps.end(), extended.begin(), extended.end());
        }
    }
    while (const auto empty = largestEmpty(list, assigned, false)) {
        if (const auto range = balancer.layersForEmpty(list[*empty]))
            assign(*empty, *range);
        else
            assigned[*empty] = true;
    }
    return steps;
}

} // namespace fuchsialb
