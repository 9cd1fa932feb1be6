#include "PlacementPlanner.h"

#include <algorithm>
#include <array>
#include <functional>
#include <optional>

namespace fuchsialb {

namespace {

    // KV cache, in tokens, that a repair tries to leave at a runner, most generous first. The last one holds a few
    // requests of a usual size; with less, a runner would only preempt.
    constexpr std::array<double, 6> repairTokens { 60'000, 40'000, 25'000, 15'000, 8'000, 4'000 };
    // KV cache of an additional holder of layers that are already held.
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
            total += engine.layersWithRoom(*candidate.accelerator, tokens);
        return total;
    }

    /// Largest KV cache, in tokens, that all runners can have while they hold every layer once.
    double commonRoom(const std::vector<Candidate>& list, const EngineProfile& engine)
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

    /// Contiguous ranges over all runners in the order given.
    std::vector<PlacementStep> layOut(const std::vector<Candidate>& list, const EngineProfile& engine)
    {
        std::vector<PlacementStep> steps;
        if (totalLayers(list, engine, 0) < engine.layers)
            return steps;
        const double tokens = commonRoom(list, engine);
        std::uint32_t next = 0;
        for (const Candidate& candidate : list) {
            const std::uint32_t count
                = std::min(engine.layersWithRoom(*candidate.accelerator, tokens), engine.layers - next);
            if (count == 0)
                continue;
            steps.push_back({ candidate.node->runner, { next, next + count } });
            next += count;
        }
        return steps;
    }

    std::vector<PlacementStep> initialPlan(std::vector<Candidate> list, const EngineProfile& engine)
    {
        // Fast runners come first, so that the layers that rounding leaves over are taken from the slow ones.
        std::stable_sort(list.begin(), list.end(), [](const Candidate& a, const Candidate& b) {
            return a.accelerator->stepFactor < b.accelerator->stepFactor;
        });
        return layOut(list, engine);
    }

    /// KV cache of each layer over all holders, in tokens.
    std::vector<double> roomByLayer(const std::vector<Candidate>& list, const EngineProfile& engine)
    {
        std::vector<double> room(engine.layers, 0);
        for (const Candidate& candidate : list) {
            const LayerRange held = candidate.node->layers;
            if (held.count() == 0)
                continue;
            const double tokens = engine.cacheRoom(*candidate.accelerator, held.count()) / held.count();
            for (std::uint32_t layer = held.first; layer < std::min(held.end, engine.layers); ++layer)
                room[layer] += std::max(1.0, tokens);
        }
        return room;
    }

    std::vector<LayerRange> gaps(const std::vector<double>& room)
    {
        std::vector<LayerRange> list;
        for (std::uint32_t layer = 0; layer < room.size(); ++layer) {
            if (room[layer] > 0)
                continue;
            if (!list.empty() && list.back().end == layer)
                ++list.back().end;
            else
                list.push_back({ layer, layer + 1 });
        }
        return list;
    }

    /// KV cache that an extended range must leave at its runner.
    struct Reserve {
        /// In tokens, over all layers that the runner then holds.
        double tokens = 0;
        /// Whether what is promised to requests there must fit as well; without that they are preempted.
        bool keepsPromises = true;
    };

    std::uint32_t spareLayers(const Candidate& candidate, const EngineProfile& engine, const Reserve& reserve)
    {
        const std::uint32_t held = candidate.node->layers.count();
        std::uint32_t fits = engine.layersWithRoom(*candidate.accelerator, reserve.tokens);
        while (reserve.keepsPromises && fits > held
            && engine.cacheRoom(*candidate.accelerator, fits) < candidate.node->promised)
            --fits;
        return fits > held ? fits - held : 0;
    }

    /// The idle holder on one side of a gap that can take the most further layers.
    const Candidate* neighbour(const std::vector<Candidate>& list, const EngineProfile& engine, const Reserve& reserve,
        const std::function<bool(const LayerRange&)>& adjoins)
    {
        const Candidate* best = nullptr;
        for (const Candidate& candidate : list) {
            if (!candidate.node->idle || candidate.node->layers.count() == 0 || !adjoins(candidate.node->layers))
                continue;
            if (!best || spareLayers(candidate, engine, reserve) > spareLayers(*best, engine, reserve))
                best = &candidate;
        }
        return best;
    }

    std::vector<Reserve> reserves()
    {
        std::vector<Reserve> list;
        for (const bool keepsPromises : { true, false }) {
            for (const double tokens : repairTokens)
                list.push_back({ tokens, keepsPromises });
        }
        return list;
    }

    std::vector<PlacementStep> extendNeighbours(
        const std::vector<Candidate>& list, const EngineProfile& engine, const LayerRange& gap)
    {
        for (const Reserve& reserve : reserves()) {
            const Candidate* left
                = neighbour(list, engine, reserve, [&](const LayerRange& held) { return held.end == gap.first; });
            const Candidate* right
                = neighbour(list, engine, reserve, [&](const LayerRange& held) { return held.first == gap.end; });
            const std::uint32_t leftSpare = left ? spareLayers(*left, engine, reserve) : 0;
            const std::uint32_t rightSpare = right ? spareLayers(*right, engine, reserve) : 0;
            if (leftSpare + rightSpare < std::max(1U, gap.count()))
                continue;
            // Each side takes a share in proportion to what it can hold.
            std::uint32_t toLeft = gap.count() * leftSpare / (leftSpare + rightSpare);
            toLeft = std::max(toLeft, gap.count() > rightSpare ? gap.count() - rightSpare : 0);
            std::vector<PlacementStep> steps;
            if (left && toLeft > 0)
                steps.push_back({ left->node->runner, { left->node->layers.first, gap.first + toLeft } });
            if (right && toLeft < gap.count())
                steps.push_back({ right->node->runner, { gap.first + toLeft, right->node->layers.end } });
            return steps;
        }
        return {};
    }

    /// An idle runner without layers, the one with the most memory.
    std::optional<std::size_t> largestEmpty(
        const std::vector<Candidate>& list, const std::vector<bool>& taken, bool sparesToo)
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < list.size(); ++i) {
            if (taken[i] || !list[i].node->idle || list[i].node->layers.count() > 0
                || (list[i].node->spare && !sparesToo))
                continue;
            if (!best || list[i].accelerator->memoryMegabytes > list[*best].accelerator->memoryMegabytes)
                best = i;
        }
        return best;
    }

    /// An idle runner that can hold some layers of a gap and whose own layers others hold as well: the one with the
    /// least KV cache promised, whose requests are the fewest to wait for.
    std::optional<std::size_t> mostDispensable(const std::vector<Candidate>& list, const EngineProfile& engine,
        const std::vector<std::uint32_t>& holders, const std::vector<bool>& taken)
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < list.size(); ++i) {
            const LayerRange held = list[i].node->layers;
            if (taken[i] || !list[i].node->idle || held.count() == 0
                || engine.layersWithRoom(*list[i].accelerator, replicaTokens) == 0)
                continue;
            bool needed = false;
            for (std::uint32_t layer = held.first; layer < std::min(held.end, engine.layers); ++layer)
                needed = needed || holders[layer] < 2;
            if (needed)
                continue;
            if (!best || list[i].node->promised < list[*best].node->promised)
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

    /// The window of `count` layers with the least KV cache.
    LayerRange weakestWindow(const std::vector<double>& room, std::uint32_t count)
    {
        LayerRange best { 0, count };
        double sum = 0;
        for (std::uint32_t layer = 0; layer < count; ++layer)
            sum += room[layer];
        double bestSum = sum;
        for (std::uint32_t first = 1; first + count <= room.size(); ++first) {
            sum += room[first + count - 1] - room[first - 1];
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
    return !gaps(roomByLayer(candidates(nodes, engine), engine)).empty();
}

std::vector<PlacementStep> PlacementPlanner::relayout(
    const std::vector<PlacementNode>& nodes, const EngineProfile& engine)
{
    std::vector<Candidate> list = candidates(nodes, engine);
    std::stable_sort(list.begin(), list.end(), [](const Candidate& a, const Candidate& b) {
        // Empty runners go last: the ranges of the others then shift by the size of the gap at most.
        const bool aEmpty = a.node->layers.count() == 0;
        const bool bEmpty = b.node->layers.count() == 0;
        return aEmpty != bEmpty ? bEmpty : a.node->layers < b.node->layers;
    });
    std::vector<PlacementStep> steps;
    for (const PlacementStep& step : layOut(list, engine)) {
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
    const bool nothingHeld = std::all_of(
        list.begin(), list.end(), [](const Candidate& candidate) { return candidate.node->layers.count() == 0; });
    if (nothingHeld)
        return initialPlan(list, engine);
    std::vector<double> room = roomByLayer(list, engine);
    std::vector<std::uint32_t> holders = holdersByLayer(list, engine);
    std::vector<bool> taken(list.size(), false);
    std::vector<PlacementStep> steps;
    const auto take = [&](std::size_t index, const LayerRange& range) {
        taken[index] = true;
        steps.push_back({ list[index].node->runner, range });
        const double tokens = engine.cacheRoom(*list[index].accelerator, range.count()) / range.count();
        for (std::uint32_t layer = range.first; layer < range.end; ++layer)
            room[layer] += std::max(1.0, tokens);
    };
    for (const LayerRange& gap : gaps(room)) {
        LayerRange rest = gap;
        while (rest.count() > 0) {
            const auto empty = largestEmpty(list, taken, true);
            const auto chosen = empty ? empty : mostDispensable(list, engine, holders, taken);
            if (!chosen)
                break;
            const std::uint32_t fits
                = engine.layersWithRoom(*list[*chosen].accelerator, empty ? repairTokens.back() : replicaTokens);
            if (fits == 0)
                break;
            const LayerRange given = list[*chosen].node->layers;
            for (std::uint32_t layer = given.first; layer < std::min(given.end, engine.layers); ++layer)
                --holders[layer];
            const LayerRange part { rest.first, rest.first + std::min(fits, rest.count()) };
            take(*chosen, part);
            rest.first = part.end;
        }
        if (rest.count() > 0) {
            const auto extended = extendNeighbours(list, engine, rest);
            steps.insert(steps.end(), extended.begin(), extended.end());
        }
    }
    while (const auto empty = largestEmpty(list, taken, false)) {
        const std::uint32_t count = engine.layersWithRoom(*list[*empty].accelerator, replicaTokens);
        if (count == 0) {
            taken[*empty] = true;
            continue;
        }
        take(*empty, weakestWindow(room, count));
    }
    return steps;
}

} // namespace fuchsialb
