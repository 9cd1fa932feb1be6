#include "PlacementLayout.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <span>

namespace fuchsialb::internal {

namespace {

    constexpr std::size_t maxGroupSize = 8;
    // Runners that the first group may have beyond the others, since only the first runners have slots to run out of.
    constexpr std::size_t maxExtraFirstRunners = 4;
    // Upper bound of the search for the common KV cache, in tokens.
    constexpr double maxCacheTokens = 10'000'000;
    constexpr int cacheHalvings = 40;
    // A layout replaces another one only if it is worth more by this factor, so that equal ones don't alternate.
    constexpr double minImprovement = 1.05;

    using Group = std::span<const PlacementCandidate>;

    /// Splits the list into groups; runners left over at the end join the last group.
    std::vector<Group> splitIntoGroups(const PlacementCandidates& list, std::size_t firstSize, std::size_t size)
    {
        std::vector<Group> groups;
        const std::span<const PlacementCandidate> all(list);
        std::size_t next = 0;
        while (next < all.size()) {
            const std::size_t wanted = groups.empty() ? firstSize : size;
            const std::size_t left = all.size() - next;
            const std::size_t taken = left < wanted + size ? left : wanted;
            groups.push_back(all.subspan(next, taken));
            next += taken;
        }
        return groups;
    }

    /// KV cache of each layer, in tokens, if every runner of the group holds `layers` layers.
    double groupCacheTokens(const Group& group, std::uint32_t layers, const EngineProfile& engine)
    {
        double tokens = 0;
        for (const PlacementCandidate& member : group)
            tokens += engine.cacheCapacity(*member.accelerator, layers) / layers;
        return tokens;
    }

    /// Number of layers that every runner of the group has memory for.
    std::uint32_t maxGroupLayers(const Group& group, const EngineProfile& engine)
    {
        std::uint32_t most = engine.layers;
        for (const PlacementCandidate& member : group)
            most = std::min(most, engine.maxLayers(*member.accelerator));
        return most;
    }

    /// Largest number of layers beside which the group keeps `tokens` tokens of KV cache.
    std::uint32_t groupLayers(const Group& group, std::uint32_t most, double tokens, const EngineProfile& engine)
    {
        std::uint32_t low = 0;
        std::uint32_t high = most;
        while (low < high) {
            const std::uint32_t middle = (low + high + 1) / 2;
            if (groupCacheTokens(group, middle, engine) >= tokens)
                low = middle;
            else
                high = middle - 1;
        }
        return low;
    }

    std::vector<std::uint32_t> layersOfGroups(
        const std::vector<Group>& groups, double tokens, const EngineProfile& engine)
    {
        std::vector<std::uint32_t> counts;
        counts.reserve(groups.size());
        for (const Group& group : groups)
            counts.push_back(groupLayers(group, maxGroupLayers(group, engine), tokens, engine));
        return counts;
    }

    /// Removes surplus layers, each from the group with the least KV cache.
    void removeSurplus(
        std::vector<std::uint32_t>& counts, const std::vector<Group>& groups, const EngineProfile& engine)
    {
        std::uint32_t total = std::accumulate(counts.begin(), counts.end(), 0U);
        for (; total > engine.layers; --total) {
            std::size_t scarcest = 0;
            double least = std::numeric_limits<double>::infinity();
            for (std::size_t i = 0; i < groups.size(); ++i) {
                const double tokens = counts[i] > 0 ? groupCacheTokens(groups[i], counts[i], engine) : least;
                if (tokens < least) {
                    least = tokens;
                    scarcest = i;
                }
            }
            --counts[scarcest];
        }
    }

    /// Numbers of layers of the groups that maximise the smallest KV cache; empty if the model doesn't fit.
    std::vector<std::uint32_t> balancedCounts(const std::vector<Group>& groups, const EngineProfile& engine)
    {
        const auto total = [&](double tokens) {
            const auto counts = layersOfGroups(groups, tokens, engine);
            return std::accumulate(counts.begin(), counts.end(), 0U);
        };
        if (total(0) < engine.layers)
            return {};
        double low = 0;
        double high = maxCacheTokens;
        for (int i = 0; i < cacheHalvings; ++i) {
            const double middle = (low + high) / 2;
            (total(middle) >= engine.layers ? low : high) = middle;
        }
        auto counts = layersOfGroups(groups, low, engine);
        removeSurplus(counts, groups, engine);
        return counts;
    }

    double largestMemberCache(const Group& group, std::uint32_t layers, const EngineProfile& engine)
    {
        double largest = 0;
        for (const PlacementCandidate& member : group)
            largest = std::max(largest, engine.cacheCapacity(*member.accelerator, layers) / layers);
        return largest;
    }

    /// Time of a token step at the group, in milliseconds, with streams spread by KV cache.
    double groupStepTime(const Group& group, std::uint32_t layers, double streams, const EngineProfile& engine)
    {
        const double total = groupCacheTokens(group, layers, engine);
        const double evenShare = 1 / static_cast<double>(group.size());
        double time = 0;
        for (const PlacementCandidate& member : group) {
            const double share
                = total > 0 ? engine.cacheCapacity(*member.accelerator, layers) / layers / total : evenShare;
            time += share * engine.stepTime(*member.accelerator, layers, std::max(1.0, streams * share));
        }
        return time;
    }

    void rate(PlacementLayout& layout, const std::vector<Group>& groups, const std::vector<std::uint32_t>& counts,
        const EngineProfile& engine)
    {
        double least = std::numeric_limits<double>::infinity();
        double leastAfterLoss = least;
        for (std::size_t i = 0; i < groups.size(); ++i) {
            const double cache = groupCacheTokens(groups[i], counts[i], engine);
            least = std::min(least, cache);
            leastAfterLoss = std::min(leastAfterLoss, cache - largestMemberCache(groups[i], counts[i], engine));
        }
        const auto slots = static_cast<double>(engine.slots * groups.front().size());
        layout.cacheTokens = least;
        layout.streams = std::min(slots, least / engine.usualTokens());
        layout.streamsAfterLoss = std::min(slots - engine.slots, leastAfterLoss / engine.usualTokens());
        for (std::size_t i = 0; i < groups.size(); ++i) {
            // The streams in progress are spread over the groups.
            const double present = layout.streams / static_cast<double>(groups.size());
            layout.tokenMilliseconds
                += EngineProfile::stageHopMilliseconds + groupStepTime(groups[i], counts[i], present, engine);
        }
    }

    PlacementLayout groupedLayout(
        const PlacementCandidates& list, std::size_t firstSize, std::size_t size, const EngineProfile& engine)
    {
        PlacementLayout layout;
        std::vector<Group> groups = splitIntoGroups(list, firstSize, size);
        // A single copy over too many runners leaves out the last ones, which then replicate layers.
        if (groups.size() > engine.maxStages && size == 1)
            groups.resize(engine.maxStages);
        if (groups.empty() || groups.size() > engine.maxStages)
            return layout;
        std::vector<std::uint32_t> counts = balancedCounts(groups, engine);
        if (counts.empty())
            return layout;
        std::uint32_t next = 0;
        std::vector<Group> used;
        std::vector<std::uint32_t> usedCounts;
        for (std::size_t i = 0; i < groups.size(); ++i) {
            if (counts[i] == 0)
                continue;
            for (const PlacementCandidate& member : groups[i])
                layout.steps.push_back({ member.node->runner, { next, next + counts[i] } });
            next += counts[i];
            used.push_back(groups[i]);
            usedCounts.push_back(counts[i]);
        }
        rate(layout, used, usedCounts, engine);
        return layout;
    }

    template <typename Less>
    PlacementLayout bestSortedLayout(PlacementCandidates list, const EngineProfile& engine, Less less)
    {
        std::stable_sort(list.begin(), list.end(), less);
        return bestLayout(list, engine);
    }

} // namespace

double PlacementLayout::value() const
{
    return tokenMilliseconds > 0 ? (streams + streamsAfterLoss) / 2 / tokenMilliseconds : 0;
}

PlacementLayout bestLayout(const PlacementCandidates& list, const EngineProfile& engine)
{
    PlacementLayout best;
    for (std::size_t size = 1; size <= std::min(maxGroupSize, list.size()); ++size) {
        for (std::size_t first = size; first <= std::min(size + maxExtraFirstRunners, list.size()); ++first) {
            PlacementLayout layout = groupedLayout(list, first, size, engine);
            if (!layout.empty() && (best.empty() || layout.value() > best.value() * minImprovement))
                best = std::move(layout);
        }
    }
    return best;
}

PlacementLayout bestInitialLayout(const PlacementCandidates& list, const EngineProfile& engine)
{
    PlacementLayout fastFirst
        = bestSortedLayout(list, engine, [](const PlacementCandidate& a, const PlacementCandidate& b) {
              return a.accelerator->stepFactor < b.accelerator->stepFactor;
          });
    PlacementLayout smallFirst
        = bestSortedLayout(list, engine, [](const PlacementCandidate& a, const PlacementCandidate& b) {
              return a.accelerator->memoryMegabytes < b.accelerator->memoryMegabytes;
          });
    return smallFirst.value() > fastFirst.value() * minImprovement ? smallFirst : fastFirst;
}

} // namespace fuchsialb::internal
