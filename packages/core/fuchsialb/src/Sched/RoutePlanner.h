#pragma once

#include "../Config/Configuration.h"
#include "Effect.h"
#include "RunnerFleet.h"

#include <functional>
#include <optional>
#include <vector>

namespace fuchsialb {

/// \brief What a route is planned for.
struct RouteDemand {
    /// Positions to compute before the next token, by a runner that holds none of them.
    double positions = 0;
    /// Tokens that are still to be generated.
    double tokens = 1;
    /// Positions that a runner already holds; none for all runners when empty.
    std::function<double(const RunnerModel&)> held;
    /// Runners that may be used.
    std::function<bool(const RunnerModel&)> usable;
};

/// \brief One runner for each layer range, in layer order, and its predicted cost.
struct PlannedRoute {
    std::vector<RouteStage> stages;
    /// Predicted time until the last token.
    double totalSeconds = 0;
    /// Predicted time until the first token.
    double firstTokenSeconds = 0;
    /// Predicted time between tokens.
    double stepSeconds = 0;
};

/// \brief Finds the cheapest chain of runners through all layers by dynamic programming over layer boundaries.
class RoutePlanner {
public:
    explicit RoutePlanner(const Target& target)
        : m_target(target)
    {
    }

    /// \return None when the usable runners do not chain from the first layer to the last.
    std::optional<PlannedRoute> plan(const RunnerFleet& fleet, const RouteDemand& demand) const;

    /// \return Seconds to send `bytes` from one runner to the next: both delays, and the narrower bandwidth.
    static double transferSeconds(const RunnerModel& from, const RunnerModel& to, double bytes);

    /// \return Seconds until a stage has computed `positions` from inputs that `upstream` sends (none for the head).
    double prefillSeconds(const RunnerModel* upstream, const RunnerModel& runner, double positions) const;

    const Target& target() const { return m_target; }
    void setTarget(const Target& target) { m_target = target; }

private:
    PlannedRoute describe(const std::vector<const RunnerModel*>& chain, const RouteDemand& demand) const;

    Target m_target;
};

} // namespace fuchsialb
