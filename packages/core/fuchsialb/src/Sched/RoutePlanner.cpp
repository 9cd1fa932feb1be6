#include "RoutePlanner.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    struct Node {
        const RunnerModel* runner = nullptr;
        double cost = 0;
        /// Index of the runner before it, -1 for a head.
        std::ptrdiff_t before = -1;
        bool reached = false;
    };

    double missing(const RouteDemand& demand, const RunnerModel& runner)
    {
        return std::max(0.0, demand.positions - (demand.held ? demand.held(runner) : 0.0));
    }

    std::vector<Node> usableNodes(const RunnerFleet& fleet, const RouteDemand& demand)
    {
        std::vector<Node> nodes;
        for (const auto& [id, runner] : fleet.runners()) {
            if (runner.endpoint().layers.count() > 0 && (!demand.usable || demand.usable(runner)))
                nodes.push_back({ &runner, 0, -1, false });
        }
        std::stable_sort(nodes.begin(), nodes.end(), [](const Node& a, const Node& b) {
            return a.runner->endpoint().layers.first < b.runner->endpoint().layers.first;
        });
        return nodes;
    }

    std::vector<const RunnerModel*> chainTo(const std::vector<Node>& nodes, std::ptrdiff_t last)
    {
        std::vector<const RunnerModel*> chain;
        for (std::ptrdiff_t at = last; at >= 0; at = nodes[static_cast<std::size_t>(at)].before)
            chain.push_back(nodes[static_cast<std::size_t>(at)].runner);
        std::reverse(chain.begin(), chain.end());
        return chain;
    }

} // namespace

double RoutePlanner::transferSeconds(const RunnerModel& from, const RunnerModel& to, double bytes)
{
    const double delay = std::chrono::duration<double>(from.link().delay + to.link().delay).count();
    const double bandwidth = std::min(from.link().bandwidth.value(), to.link().bandwidth.value());
    return delay + (bandwidth > 0 ? bytes / bandwidth : 0.0);
}

double RoutePlanner::prefillSeconds(const RunnerModel* upstream, const RunnerModel& runner, double positions) const
{
    if (positions <= 0)
        return 0;
    const double bytes = positions * static_cast<double>(m_target.hiddenState.value());
    return runner.prefillSeconds(positions) + (upstream ? transferSeconds(*upstream, runner, bytes) : 0.0);
}

std::optional<PlannedRoute> RoutePlanner::plan(const RunnerFleet& fleet, const RouteDemand& demand) const
{
    std::vector<Node> nodes = usableNodes(fleet, demand);
    const auto hidden = static_cast<double>(m_target.hiddenState.value());
    std::ptrdiff_t best = -1;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        Node& node = nodes[i];
        const RunnerModel& runner = *node.runner;
        const double positions = missing(demand, runner);
        const double steps = demand.tokens * runner.nextStepSeconds();
        if (runner.endpoint().layers.first == 0) {
            node.cost = prefillSeconds(nullptr, runner, positions) + steps;
            node.reached = true;
        }
        for (std::size_t j = 0; j < i; ++j) {
            const Node& before = nodes[j];
            if (!before.reached || before.runner->endpoint().layers.end != runner.endpoint().layers.first)
                continue;
            const double cost = before.cost + prefillSeconds(before.runner, runner, positions) + steps
                + demand.tokens * transferSeconds(*before.runner, runner, hidden);
            if (node.reached && cost >= node.cost)
                continue;
            node.cost = cost;
            node.before = static_cast<std::ptrdiff_t>(j);
            node.reached = true;
        }
        const bool ends = node.reached && runner.endpoint().layers.end == m_target.layers;
        if (ends && (best < 0 || node.cost < nodes[static_cast<std::size_t>(best)].cost))
            best = static_cast<std::ptrdiff_t>(i);
    }
    if (best < 0)
        return std::nullopt;
    return describe(chainTo(nodes, best), demand);
}

PlannedRoute RoutePlanner::describe(const std::vector<const RunnerModel*>& chain, const RouteDemand& demand) const
{
    const auto hidden = static_cast<double>(m_target.hiddenState.value());
    PlannedRoute route;
    const RunnerModel* upstream = nullptr;
    double prefill = 0;
    for (const RunnerModel* runner : chain) {
        route.stages.push_back({ runner->endpoint().id, runner->endpoint().address, runner->endpoint().layers });
        prefill += prefillSeconds(upstream, *runner, missing(demand, *runner));
        route.stepSeconds += runner->nextStepSeconds();
        if (upstream)
            route.stepSeconds += transferSeconds(*upstream, *runner, hidden);
        upstream = runner;
    }
    route.firstTokenSeconds = prefill + route.stepSeconds;
    route.totalSeconds = prefill + demand.tokens * route.stepSeconds;
    return route;
}

} // namespace fuchsialb
