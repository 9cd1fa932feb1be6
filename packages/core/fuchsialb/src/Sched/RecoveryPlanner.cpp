#include "RecoveryPlanner.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    /// Keys and values, each as wide as the hidden state: the upper bound, reached without grouped-query attention.
    constexpr double cacheStatesPerLayer = 2.0;

    bool covers(LayerRange outer, LayerRange inner) { return outer.first <= inner.first && inner.end <= outer.end; }

    bool inRoute(const std::vector<RouteStage>& route, const EndpointId& id)
    {
        return std::any_of(route.begin(), route.end(), [&id](const RouteStage& stage) { return stage.endpoint == id; });
    }

} // namespace

double RecoveryPlanner::heldPositions(const RunnerModel& runner, const RecoveryDemand& demand) const
{
    if (demand.promptBytes == 0)
        return 0;
    const std::size_t held = m_index.heldBytes(runner.endpoint().id, demand.prefixes);
    return demand.promptTokens * static_cast<double>(held) / static_cast<double>(demand.promptBytes);
}

RecoveryOption RecoveryPlanner::recompute(const RecoveryDemand& demand, double positions) const
{
    RecoveryOption option;
    const RunnerModel* upstream = nullptr;
    for (const RouteStage& stage : demand.route) {
        const RunnerModel* runner = m_fleet.find(stage.endpoint);
        if (!runner)
            continue;
        option.seconds += m_planner.prefillSeconds(upstream, *runner, positions);
        upstream = runner;
    }
    return option;
}

void RecoveryPlanner::addImports(const RecoveryDemand& demand, std::vector<RecoveryOption>& options) const
{
    const RouteStage& successor = demand.route[demand.missing.front()];
    const RunnerModel* to = m_fleet.find(successor.endpoint);
    const double total = demand.promptTokens + demand.generatedTokens;
    if (!to)
        return;
    for (const auto& [id, from] : m_fleet.runners()) {
        const Endpoint& endpoint = from.endpoint();
        if (from.suspended() || inRoute(demand.route, id) || !covers(endpoint.layers, successor.layers))
            continue;
        const double held = heldPositions(from, demand);
        // A copy that is no longer than what the successor itself has cached brings nothing.
        if (held < 1 || held <= heldPositions(*to, demand))
            continue;
        const double stateBytes = held * cacheStatesPerLayer * successor.layers.count()
            * static_cast<double>(m_planner.target().hiddenState.value());
        RecoveryOption option = recompute(demand, total - held);
        option.way = RecoveryWay::Import;
        option.seconds += RoutePlanner::transferSeconds(from, *to, stateBytes);
        option.source = { id, endpoint.address, endpoint.layers };
        option.successor = successor;
        option.positions = static_cast<std::uint32_t>(held);
        options.push_back(option);
    }
}

void RecoveryPlanner::addReplay(const RecoveryDemand& demand, std::vector<RecoveryOption>& options) const
{
    const std::size_t index = demand.missing.front();
    if (index == 0)
        return;
    const RouteStage& upstream = demand.route[index - 1];
    const RouteStage& successor = demand.route[index];
    const RunnerModel* from = m_fleet.find(upstream.endpoint);
    const RunnerModel* to = m_fleet.find(successor.endpoint);
    if (!from || !to)
        return;
    const std::uint32_t positions = demand.promptTokens + demand.generatedTokens;
    options.push_back(
        { RecoveryWay::Replay, m_planner.prefillSeconds(from, *to, positions), upstream, successor, positions });
}

std::vector<RecoveryOption> RecoveryPlanner::options(const RecoveryDemand& demand) const
{
    std::vector<RecoveryOption> options;
    if (demand.missing.size() == 1) {
        addImports(demand, options);
        addReplay(demand, options);
    }
    options.push_back(recompute(demand, demand.promptTokens + demand.generatedTokens));
    std::stable_sort(options.begin(), options.end(),
        [](const RecoveryOption& a, const RecoveryOption& b) { return a.seconds < b.seconds; });
    // Nothing follows the recomputation: it is the fallback of all others, and dearer ways are not tried after it.
    const auto last = std::find_if(
        options.begin(), options.end(), [](const RecoveryOption& option) { return option.way == RecoveryWay::Prefix; });
    options.erase(last + 1, options.end());
    return options;
}

} // namespace fuchsialb
