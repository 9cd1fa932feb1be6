#include "PlacementBalancer.h"

#include <algorithm>
#include <array>
#include <set>

namespace fuchsialb::internal {

namespace {

    // Streams that a range must leave room for at its runner, so that it is more than a stop for preempted requests.
    constexpr double minRangeStreams = 4;
    // Shortage that a move must remove, relative to the shortage of the best layout: one that loads layers, and one
    // that only gives up layers.
    constexpr double minLoadValue = 0.01;
    constexpr double minReleaseValue = 0.005;
    // Shortage that must be removed in addition for each layer that is loaded, in units of one layer of the best
    // layout.
    constexpr double loadedLayerCost = 0.25;
    // Steps by which a border may shift besides moving to another border.
    constexpr std::array<std::uint32_t, 6> borderShifts { 1, 2, 3, 4, 6, 8 };

    // Runners between which borders shift together, and by how many layers if there are more than two.
    constexpr std::size_t maxChainLength = 6;
    constexpr std::uint32_t maxChainShift = 2;

    bool contains(const LayerRange& range, std::uint32_t layer) { return layer >= range.first && layer < range.end; }

    std::uint32_t newLayers(const LayerRange& held, const LayerRange& range)
    {
        const std::uint32_t first = std::max(held.first, range.first);
        const std::uint32_t end = std::min(held.end, range.end);
        return range.count() - (end > first ? end - first : 0);
    }

} // namespace

PlacementBalancer::PlacementBalancer(
    const PlacementCandidates& list, const EngineProfile& engine, double bestCacheTokens)
    : m_list(list)
    , m_engine(engine)
    , m_bestCacheTokens(std::max(bestCacheTokens, engine.usualTokens()))
    , m_layerCache(cacheByLayer(list, engine))
    , m_boundaries(layerBoundaries(list, engine))
    , m_settledHolders(engine.layers, 0)
{
    for (const PlacementCandidate& candidate : m_list) {
        const LayerRange held = candidate.held(engine);
        for (std::uint32_t layer = held.first; candidate.node->idle && layer < held.end; ++layer)
            ++m_settledHolders[layer];
    }
}

double PlacementBalancer::shortage(double cacheTokens) const
{
    return m_bestCacheTokens / (std::max(0.0, cacheTokens) + m_engine.usualTokens());
}

double PlacementBalancer::value(const PlacementCandidate& candidate, const LayerRange& range) const
{
    const LayerRange held = candidate.held(m_engine);
    const double given = std::max(1.0, candidate.cacheTokens(candidate.node->layers, m_engine));
    const double taken = candidate.cacheTokens(range, m_engine);
    double removed = 0;
    const auto add = [&](std::uint32_t layer) {
        const double before = m_layerCache[layer];
        const double after = before - (contains(held, layer) ? given : 0) + (contains(range, layer) ? taken : 0);
        removed += shortage(before) - shortage(after);
    };
    for (std::uint32_t layer = held.first; layer < held.end; ++layer)
        add(layer);
    for (std::uint32_t layer = range.first; layer < range.end; ++layer) {
        if (!contains(held, layer))
            add(layer);
    }
    return removed;
}

bool PlacementBalancer::mayGiveUp(const PlacementCandidate& candidate, const LayerRange& range) const
{
    const LayerRange held = candidate.held(m_engine);
    for (std::uint32_t layer = held.first; layer < held.end; ++layer) {
        if (!contains(range, layer) && m_settledHolders[layer] < 2)
            return false;
    }
    return true;
}

bool PlacementBalancer::keepsReserved(const PlacementCandidate& candidate, const LayerRange& range) const
{
    return m_engine.cacheCapacity(*candidate.accelerator, range.count()) >= candidate.node->reservedCache;
}

std::optional<LayerRange> PlacementBalancer::layersForEmpty(const PlacementCandidate& empty) const
{
    const std::uint32_t most
        = m_engine.maxLayersWithCache(*empty.accelerator, m_engine.usualTokens() * minRangeStreams);
    std::optional<LayerRange> best;
    double bestValue = 0;
    const auto consider = [&](std::uint32_t first, std::uint32_t end) {
        if (first >= end || end > m_engine.layers || end - first > most)
            return;
        const double removed = value(empty, { first, end });
        if (!best || removed > bestValue) {
            best = LayerRange { first, end };
            bestValue = removed;
        }
    };
    for (const std::uint32_t boundary : m_boundaries) {
        for (const std::uint32_t other : m_boundaries)
            consider(boundary, other);
        // No whole range between borders may fit.
        for (std::uint32_t count = 1; count <= most; ++count) {
            consider(boundary, boundary + count);
            if (boundary >= count)
                consider(boundary - count, boundary);
        }
    }
    return best;
}

void PlacementBalancer::apply(const PlacementCandidate& candidate, const LayerRange& range)
{
    const LayerRange held = candidate.held(m_engine);
    const double given = std::max(1.0, candidate.cacheTokens(candidate.node->layers, m_engine));
    for (std::uint32_t layer = held.first; layer < held.end; ++layer) {
        m_layerCache[layer] -= given;
        // Layers that are kept stay available.
        if (candidate.node->idle && !contains(range, layer))
            --m_settledHolders[layer];
    }
    const double taken = std::max(1.0, candidate.cacheTokens(range, m_engine));
    for (std::uint32_t layer = range.first; layer < range.end; ++layer)
        m_layerCache[layer] += taken;
    m_moved.push_back(candidate.node);
}

std::optional<double> PlacementBalancer::worth(double value, std::uint32_t loadedLayers) const
{
    const double threshold = loadedLayers > 0 ? minLoadValue : minReleaseValue;
    const double left = value - loadedLayerCost * loadedLayers - threshold * m_engine.layers;
    return left > 0 ? std::optional(left) : std::nullopt;
}

bool PlacementBalancer::mayMove(const PlacementCandidate& candidate) const
{
    const bool moved = std::find(m_moved.begin(), m_moved.end(), candidate.node) != m_moved.end();
    return candidate.node->idle && !moved && candidate.held(m_engine).count() > 0;
}

void PlacementBalancer::improveAlone(std::optional<Move>& best, const PlacementCandidate& candidate) const
{
    const LayerRange held = candidate.held(m_engine);
    const std::uint32_t most
        = m_engine.maxLayersWithCache(*candidate.accelerator, m_engine.usualTokens() * minRangeStreams);
    std::set<std::uint32_t> firsts(m_boundaries.begin(), m_boundaries.end());
    std::set<std::uint32_t> ends = firsts;
    for (const std::uint32_t shift : borderShifts) {
        firsts.insert(held.first + shift);
        firsts.insert(held.first - std::min(shift, held.first));
        ends.insert(held.end + shift);
        ends.insert(held.end - std::min(shift, held.end));
    }
    for (const std::uint32_t first : firsts) {
        for (const std::uint32_t end : ends) {
            const LayerRange range { first, end };
            if (end <= first || end > m_engine.layers || range.count() > most || range == held)
                continue;
            if (!keepsReserved(candidate, range) || !mayGiveUp(candidate, range))
                continue;
            const auto left = worth(value(candidate, range), newLayers(held, range));
            if (left && (!best || *left > best->value))
                best = Move { &candidate, range, *left };
        }
    }
}

const PlacementCandidate* PlacementBalancer::neighbour(const PlacementCandidate& candidate, bool towardsEnd) const
{
    const LayerRange held = candidate.held(m_engine);
    for (const PlacementCandidate& other : m_list) {
        const LayerRange range = other.held(m_engine);
        if (&other == &candidate || range.count() == 0 || !mayMove(other))
            continue;
        const bool adjoins = towardsEnd ? range.first <= held.end && range.first > held.first && range.end > held.end
                                        : range.end >= held.first && range.end < held.end && range.first < held.first;
        if (adjoins)
            return &other;
    }
    return nullptr;
}

void PlacementBalancer::shiftBorders(std::optional<Move>& best, const std::vector<const PlacementCandidate*>& chain,
    std::uint32_t shift, bool towardsEnd) const
{
    // Ranges after the shift; the first runner of the chain extends its range, the last one gives up layers.
    std::vector<LayerRange> ranges;
    for (std::size_t i = 0; i < chain.size(); ++i) {
        LayerRange range = chain[i]->held(m_engine);
        if (i > 0)
            (towardsEnd ? range.first : range.end) = towardsEnd ? ranges.back().end : ranges.back().first;
        if (i + 1 < chain.size()) {
            const LayerRange next = chain[i + 1]->held(m_engine);
            (towardsEnd ? range.end : range.first) = towardsEnd ? next.first + shift : next.end - shift;
        }
        const std::uint32_t most
            = m_engine.maxLayersWithCache(*chain[i]->accelerator, m_engine.usualTokens() * minRangeStreams);
        if (range.end <= range.first || range.count() > most || !keepsReserved(*chain[i], range))
            return;
        ranges.push_back(range);
    }
    PlacementBalancer shifted = *this;
    double value = 0;
    std::uint32_t loaded = 0;
    for (std::size_t i = 0; i < chain.size(); ++i) {
        value += shifted.value(*chain[i], ranges[i]);
        loaded += newLayers(chain[i]->held(m_engine), ranges[i]);
        shifted.apply(*chain[i], ranges[i]);
    }
    const auto left = worth(value, loaded);
    if (left && mayGiveUp(*chain.front(), ranges.front()) && (!best || *left > best->value))
        best = Move { chain.front(), ranges.front(), *left };
}

void PlacementBalancer::improveBorders(
    std::optional<Move>& best, const PlacementCandidate& first, bool towardsEnd) const
{
    std::vector<const PlacementCandidate*> chain { &first };
    while (chain.size() < maxChainLength) {
        const PlacementCandidate* next = neighbour(*chain.back(), towardsEnd);
        if (!next)
            return;
        chain.push_back(next);
        for (const std::uint32_t shift : borderShifts) {
            if (chain.size() > 2 && shift > maxChainShift)
                break;
            shiftBorders(best, chain, shift, towardsEnd);
        }
    }
}

std::optional<PlacementBalancer::Move> PlacementBalancer::bestMove() const
{
    std::optional<Move> best;
    for (const PlacementCandidate& candidate : m_list) {
        if (!mayMove(candidate))
            continue;
        improveAlone(best, candidate);
        improveBorders(best, candidate, true);
        improveBorders(best, candidate, false);
    }
    return best;
}

std::vector<PlacementStep> PlacementBalancer::moves(std::size_t count)
{
    std::vector<PlacementStep> steps;
    while (steps.size() < count) {
        const auto move = bestMove();
        if (!move)
            break;
        steps.push_back({ move->candidate->node->runner, move->range });
        apply(*move->candidate, move->range);
    }
    return steps;
}

} // namespace fuchsialb::internal
