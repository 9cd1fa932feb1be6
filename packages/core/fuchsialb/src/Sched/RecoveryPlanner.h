#pragma once

#include "PrefixIndex.h"
#include "RoutePlanner.h"

#include <vector>

namespace fuchsialb {

/// \brief How the state of a stage that took over is rebuilt.
enum class RecoveryWay : unsigned char {
    /// KV cache from a runner that holds a copy.
    Import,
    /// Replay on the successor alone, from the boundary outputs that the stage before it retains.
    Replay,
    /// Recomputation of the whole prefix through all stages.
    Prefix,
};

/// \brief One way to rebuild the state of a stage, with its estimated cost.
struct RecoveryOption {
    RecoveryWay way = RecoveryWay::Prefix;
    double seconds = 0;
    /// Runner that sends the state; unused for `Prefix`.
    RouteStage source;
    /// Runner that receives it; unused for `Prefix`.
    RouteStage successor;
    std::uint32_t positions = 0;
};

/// \brief What is known of the request whose stage failed.
struct RecoveryDemand {
    const std::vector<RouteStage>& route;
    /// Indices of the stages of `route` that hold no state.
    const std::vector<std::size_t>& missing;
    const std::vector<PrefixIndex::Prefix>& prefixes;
    std::uint32_t promptTokens = 0;
    std::size_t promptBytes = 0;
    std::uint32_t generatedTokens = 0;
};

/// \brief Estimates the ways to rebuild a stage from the cost model and the links.
class RecoveryPlanner {
public:
    RecoveryPlanner(const RunnerFleet& fleet, const RoutePlanner& planner, const PrefixIndex& index)
        : m_fleet(fleet)
        , m_planner(planner)
        , m_index(index)
    {
    }

    /// \return The possible ways, cheapest first. Recomputation is always possible. When more than one stage holds no
    /// state, it is the only way.
    std::vector<RecoveryOption> options(const RecoveryDemand& demand) const;

    /// \return Prompt positions that a runner is likely to hold in its prefix cache.
    double heldPositions(const RunnerModel& runner, const RecoveryDemand& demand) const;

private:
    RecoveryOption recompute(const RecoveryDemand& demand, double positions) const;
    void addImports(const RecoveryDemand& demand, std::vector<RecoveryOption>& options) const;
    void addReplay(const RecoveryDemand& demand, std::vector<RecoveryOption>& options) const;

    const RunnerFleet& m_fleet;
    const RoutePlanner& m_planner;
    const PrefixIndex& m_index;
};

} // namespace fuchsialb
