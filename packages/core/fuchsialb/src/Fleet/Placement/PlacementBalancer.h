#pragma once

#include "PlacementCandidates.h"

#include <optional>

namespace fuchsialb::internal {

/// \brief Chooses layers for one runner after the other so that no layer is left with little KV cache.
///
/// Answers the load after a loss: the neighbours of a lost runner hold its layers beside their own, so that a data
/// centre serves a handful of streams although its other runners have room for many.
///
/// The shortage of a layer is the reciprocal of its KV cache in streams. A move is worth the shortage that it removes,
/// summed over all layers, relative to a layout in which all layers have the best cache.
class PlacementBalancer {
public:
    /// \param bestCacheTokens KV cache of each layer that the best layout of the same runners gives, in tokens.
    PlacementBalancer(const PlacementCandidates& list, const EngineProfile& engine, double bestCacheTokens);

    /// \return Layers for a runner that holds none; none if it has no memory for any.
    std::optional<LayerRange> layersForEmpty(const PlacementCandidate& empty) const;
    /// Accounts for a step that is taken now.
    void apply(const PlacementCandidate& candidate, const LayerRange& range);
    /// \brief The most valuable moves of idle runners: borders of ranges that shift, and runners that change groups.
    ///
    /// A runner gives up only layers that other runners without an order in progress hold, and keeps the KV cache that
    /// requests have reserved.
    /// \return At most `count` steps; none if no move is worth the time to load its layers.
    std::vector<PlacementStep> moves(std::size_t count);

private:
    struct Move {
        const PlacementCandidate* candidate = nullptr;
        LayerRange range;
        double value = 0;
    };

    double shortage(double cacheTokens) const;
    /// \return Shortage removed if the runner holds `range` instead of its layers.
    double value(const PlacementCandidate& candidate, const LayerRange& range) const;
    /// \return The value of a move less the price of the layers that are loaded, or none if that isn't positive.
    std::optional<double> worth(double value, std::uint32_t loadedLayers) const;
    bool mayGiveUp(const PlacementCandidate& candidate, const LayerRange& range) const;
    bool keepsReserved(const PlacementCandidate& candidate, const LayerRange& range) const;
    std::optional<Move> bestMove() const;
    bool mayMove(const PlacementCandidate& candidate) const;
    /// Replaces `best` by a more valuable move of the runner alone.
    void improveAlone(std::optional<Move>& best, const PlacementCandidate& candidate) const;
    /// \brief Replaces `best` by a more valuable shift of borders that starts at the runner.
    ///
    /// Between a runner with little KV cache and one with plenty, all borders shift by the same number of layers. The
    /// runner with plenty moves first, so that each of the others gives up layers that its neighbour holds already.
    void improveBorders(std::optional<Move>& best, const PlacementCandidate& first, bool towardsEnd) const;
    void shiftBorders(std::optional<Move>& best, const std::vector<const PlacementCandidate*>& chain,
        std::uint32_t shift, bool towardsEnd) const;
    /// \return A runner whose range adjoins or overlaps the first (or last) layer of the range, or null.
    const PlacementCandidate* neighbour(const PlacementCandidate& candidate, bool towardsEnd) const;

    PlacementCandidates m_list;
    const EngineProfile& m_engine;
    double m_bestCacheTokens = 0;
    std::vector<double> m_layerCache;
    std::vector<std::uint32_t> m_boundaries;
    /// Number of runners without an order in progress that hold each layer.
    std::vector<std::uint32_t> m_settledHolders;
    std::vector<const PlacementNode*> m_moved;
};

} // namespace fuchsialb::internal
