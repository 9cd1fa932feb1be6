#include "PlacementPlanner.h"

#include <algorithm>
#include <array>
#include <functional>
#include <optional>

namespace fuchsialb {

namespace {

    // KV cache, in tokens, that filling a gap tries to leave at a runner, in descending order. The smallest holds a few
    // requests of typical size; with less, a runner would only preempt.
    constexpr std::array<double, 6> repairTokens { 60'000, 40'000, 25'000, 15'000, 8'000, 4'000 };
    // KV cache, in tokens, of a runner that replicates layers that are already held.
    constexpr double replicaTokens = 40'000;

    struct Candidate {
        const PlacementNode* node = nullptr;
        const AcceleratorProfile* accelerator = nullptr;
    };

    std::vector<Candidate> candidates(const std::vector<PlacementNode>& nodes, const EngineProfile& engine)
    {
        std::vector<Candidate> list;
        for (const PlacementNode& node : nodes) {
            if (const AcceleratorProfile* accelerator = engine.accelerator(node.accelerator))
                list.push_back({ &node, accelerator });
        }
        return list;
    }

    std::uint32_t totalLayers(const std::vector<Candidate>& list, const EngineProfile& engine, double tokens)
    {
        std::uint32_t total = 0;
        for (const Candidate& candidate : list)
            total += engine.maxLayersWithCache(*candidate.accelerator, tokens);
        return total;
    }

    /// Largest KV cache, in tokens, that all runners can have while together they hold every layer once.
    double maxCommonCache(const std::vector<Candidate>& list, const EngineProfile& engine)
    {
        double low = 0;
        double high = 10'000'000;
        constexpr int halvings = 40;
        for (int i = 0; i < halvings; ++i) {
            const double middle = (low + high) / 2;
            (totalLayers(list, engine, middle) >= engine.layers ? low : high) = middle;
        }
        return low;
    }

    /// Assigns contiguous ranges to the runners, in the order of `list`.
    std::vector<PlacementStep> contiguousLayout(const std::vector<Candidate>& list, const EngineProfile& engine)
    {
        std::vector<PlacementStep> steps;
        if (totalLayers(list, engine, 0) < engine.layers)
            return steps;
        const double tokens = maxCommonCache(list, engine);
        std::uint32_t next = 0;
        for (const Candidate& candidate : list) {
            const std::uint32_t count
                = std::min(engine.maxLayersWithCache(*candidate.accelerator, tokens), engine.layers - next);
            if (count == 0)
                continue;
            steps.push_back({ candidate.node->runner, { next, next + count } });
            next += count;
        }
        return steps;
    }

    std::vector<PlacementStep> initialPlan(std::vector<Candidate> list, const EngineProfile& engine)
    {
        // Fast runners come first, so that slow runners get fewer layers where rounding leaves a surplus of capacity.
        std::stable_sort(list.begin(), list.end(), [](const Candidate& a, const Candidate& b) {
            return a.accelerator->stepFactor < b.accelerator->stepFactor;
        });
        return contiguousLayout(list, engine);
    }

    /// Total KV cache of each layer over all runners that hold it, in tokens.
    std::vector<double> cacheByLayer(const std::vector<Candidate>& list, const EngineProfile& engine)
    {
        std::vector<double> layerCache(engine.layers, 0);
        for (const Candidate& candidate : list) {
            const LayerRange held = candidate.node->layers;
            if (held.count() == 0)
                continue;
            const double tokens = engine.cacheCapacity(*candidate.accelerator, held.count()) / held.count();
            for (std::uint32_t layer = held.first; layer < std::min(held.end, engine.layers); ++layer)
                layerCache[layer] += std::max(1.0, tokens);
        }
        return layerCache;
    }

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

    std::uint32_t extraLayers(const Candidate& candidate, const EngineProfile& engine, const Reserve& reserve)
    {
        const std::uint32_t held = candidate.node->layers.count();
        std::uint32_t fits = engine.maxLayersWithCache(*candidate.accelerator, reserve.tokens);
        while (reserve.keepsReserved && fits > held
            && engine.cacheCapacity(*candidate.accelerator, fits) < candidate.node->reservedCache)
            --fits;
        return fits > held ? fits - held : 0;
    }

    /// Returns the idle runner next to a gap that can hold the most additional layers.
    const Candidate* bestNeighbour(const std::vector<Candidate>& list, const EngineProfile& engine,
        const Reserve& reserve, const std::function<bool(const LayerRange&)>& adjoins)
    {
        const Candidate* best = nullptr;
        for (const Candidate& candidate : list) {
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
        const std::vector<Candidate>& list, const EngineProfile& engine, const LayerRange& gap)
    {
        for (const Reserve& reserve : reserves()) {
            const Candidate* left
                = bestNeighbour(list, engine, reserve, [&](const LayerRange& held) { return held.end == gap.first; });
            const Candidate* right
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
        const std::vector<Candidate>& list, const std::vector<bool>& assigned, bool includeSpares)
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
    std::optional<std::size_t> leastLoadedRedundant(const std::vector<Candidate>& list, const EngineProfile& engine,
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
    std::vector<std::uint32_t> holdersByLayer(const std::vector<Candidate>& list, const EngineProfile& engine)
    {
        std::vector<std::uint32_t> holders(engine.layers, 0);
        for (const Candidate& candidate : list) {
            const LayerRange held = candidate.node->layers;
            for (std::uint32_t layer = held.first; layer < std::min(held.end, engine.layers); ++layer)
                ++holders[layer];
        }
        return holders;
    }

    /// Returns the `count` contiguous layers with the least total KV cache.
    LayerRange windowWithLeastCache(const std::vector<double>& layerCache, std::uint32_t count)
    {
        LayerRange best { 0, count };
        double sum = 0;
        for (std::uint32_t layer = 0; layer < count; ++layer)
            sum += layerCache[layer];
        double bestSum = sum;
        for (std::uint32_t first = 1; first + count <= layerCache.size(); ++first) {
            sum += layerCache[first + count - 1] - layerCache[first - 1];
            if (sum < bestSum) {
                bestSum = sum;
                best = { first, first + count };
            }
        }
        return best;
    }

} // namespace

bool PlacementPlanner::hasGap(const std::vector<PlacementNode>& nodes, const EngineProfile& engine)
{
    return !gaps(cacheByLayer(candidates(nodes, engine), engine)).empty();
}

std::vector<PlacementStep> PlacementPlanner::relayout(
    const std::vector<PlacementNode>& nodes, const EngineProfile& engine)
{
    std::vector<Candidate> list = candidates(nodes, engine);
    std::stable_sort(list.begin(), list.end(), [](const Candidate& a, const Candidate& b) {
        // Empty runners go last, so that the ranges of the others shift by at most the size of the gap.
        const bool aEmpty = a.node->layers.count() == 0;
        const bool bEmpty = b.node->layers.count() == 0;
        return aEmpty != bEmpty ? bEmpty : a.node->layers < b.node->layers;
    });
    std::vector<PlacementStep> steps;
    for (const PlacementStep& step : contiguousLayout(list, engine)) {
        const auto changes = [&](const PlacementNode& node) {
            return node.runner == step.runner && node.idle && node.layers != step.layers;
        };
        if (std::any_of(nodes.begin(), nodes.end(), changes))
            steps.push_back(step);
    }
    return steps;
}

std::vector<PlacementStep> PlacementPlanner::plan(const std::vector<PlacementNode>& nodes, const EngineProfile& engine)
{
    const std::vector<Candidate> list = candidates(nodes, engine);
    const bool fleetEmpty = std::all_of(
        list.begin(), list.end(), [](const Candidate& candidate) { return candidate.node->layers.count() == 0; });
    if (fleetEmpty)
        return initialPlan(list, engine);
    std::vector<double> layerCache = cacheByLayer(list, engine);
    std::vector<std::uint32_t> holders = holdersByLayer(list, engine);
    std::vector<bool> assigned(list.size(), false);
    std::vector<PlacementStep> steps;
    const auto assign = [&](std::size_t index, const LayerRange& range) {
        assigned[index] = true;
        steps.push_back({ list[index].node->runner, range });
        const double tokens = engine.cacheCapacity(*list[index].accelerator, range.count()) / range.count();
        for (std::uint32_t layer = range.first; layer < range.end; ++layer)
            layerCache[layer] += std::max(1.0, tokens);
    };
    for (const LayerRange& gap : gaps(layerCache)) {
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
            const LayerRange released = list[*chosen].node->layers;
            for (std::uint32_t layer = released.first; layer < std::min(released.end, engine.layers); ++layer)
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
        const std::uint32_t count = engine.maxLayersWithCache(*list[*empty].accelerator, replicaTokens);
        if (count == 0) {
            assigned[*empty] = true;
            continue;
        }
        assign(*empty, windowWithLeastCache(layerCache, count));
    }
    return steps;
}

} // namespace fuchsialb
