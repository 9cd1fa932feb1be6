#include "PlacementDriver.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    // Delay before a runner that refused an order gets the next one, so that its registry entry can change.
    constexpr Duration refusalDelay = std::chrono::milliseconds(400);
    // An order without a response is repeated after this time.
    constexpr Duration responseTimeout = std::chrono::milliseconds(1200);
    // Concurrent loads share the weight store; the slowest takes up to this many times as long as a load alone.
    constexpr int loadTimeFactor = 6;
    constexpr Duration loadTimeMargin = std::chrono::milliseconds(1500);

    // Time for which a runner that joins empty is kept as a spare for layers that become unheld. When runners are
    // replaced one after the other, the old one leaves within about a second after the new one joins.
    constexpr Duration sparePeriod = std::chrono::seconds(3);

    // A crashed runner usually rejoins empty within a few seconds and then gets back its former layers.
    constexpr Duration restartPeriod = std::chrono::milliseconds(4500);

    // Between two rounds of balancing, so that the registry shows the effect of the last one.
    constexpr Duration balanceInterval = std::chrono::milliseconds(1000);

    Duration loadTime(const EngineProfile& engine, std::uint32_t layers)
    {
        return engine.layers == 0 ? Duration(0) : engine.loadTime * layers / engine.layers;
    }

} // namespace

void PlacementDriver::removeFinished(const RunnerDirectory& directory, TimePoint now)
{
    std::erase_if(m_pending, [&](const auto& item) {
        const RunnerDirectory::Runner* runner = directory.find(item.first);
        const PendingOrder& pending = item.second;
        return !runner || runner->entry.startedAt != pending.runnerStartedAt
            || runner->entry.layers == pending.order.layers || now >= pending.abandonAt;
    });
    std::erase_if(m_pausedUntil, [&](const auto& item) { return now >= item.second; });
}

std::vector<PlacementNode> PlacementDriver::nodes(
    const RunnerDirectory& directory, const LoadLedger& ledger, TimePoint now) const
{
    std::vector<PlacementNode> result;
    for (const auto& [id, runner] : directory.runners()) {
        const RunnerEntry& entry = runner.entry;
        if (entry.service != m_service || entry.dataCentre != m_dataCentre || entry.draining)
            continue;
        // The layers of a lost runner are placed on other runners, and it gets no orders.
        const auto pending = m_pending.find(id);
        if (runner.lost(now) && pending == m_pending.end())
            continue;
        PlacementNode node;
        node.runner = id;
        node.accelerator = entry.accelerator;
        node.layers = pending != m_pending.end() ? pending->second.order.layers : entry.layers;
        node.idle = pending == m_pending.end() && !m_pausedUntil.contains(id);
        const auto arrival = m_arrivals.find(id);
        node.spare = arrival == m_arrivals.end() || now - arrival->second < sparePeriod;
        node.reservedCache = ledger.at(id).cache;
        result.push_back(std::move(node));
    }
    return result;
}

void PlacementDriver::updateArrivals(const RunnerDirectory& directory, bool fleetEmpty, TimePoint now)
{
    // Either this driver has just started, or no runner holds layers that requests could use.
    const bool firstPlacement = m_arrivals.empty() || fleetEmpty;
    std::map<EndpointId, TimePoint> arrivals;
    bool changed = false;
    for (const auto& [id, runner] : directory.runners()) {
        if (runner.entry.service != m_service || runner.entry.dataCentre != m_dataCentre || runner.entry.draining)
            continue;
        const auto known = m_arrivals.find(id);
        changed = changed || known == m_arrivals.end();
        arrivals.emplace(id, known != m_arrivals.end() ? known->second : firstPlacement ? TimePoint() : now);
    }
    if (changed || arrivals.size() != m_arrivals.size())
        m_changedAt = now;
    m_arrivals = std::move(arrivals);
}

std::vector<PlacementOrder> PlacementDriver::nextOrders(const RunnerDirectory& directory, const LoadLedger& ledger,
    const EngineProfile& engine, TimePoint now, Duration settleTime)
{
    removeFinished(directory, now);
    const auto isEmpty = [](const PlacementNode& node) { return node.layers.count() == 0; };
    std::vector<PlacementNode> current = nodes(directory, ledger, now);
    const bool fleetEmpty = std::all_of(current.begin(), current.end(), isEmpty);
    updateArrivals(directory, fleetEmpty, now);
    std::vector<PlacementOrder> orders;
    if (fleetEmpty && now - m_changedAt < settleTime)
        return orders;
    for (const PlacementStep& step : plan(current, engine, now)) {
        const RunnerDirectory::Runner* runner = directory.find(step.runner);
        if (!runner || m_pending.contains(step.runner) || m_pausedUntil.contains(step.runner))
            continue;
        const RunnerEntry& entry = runner->entry;
        PlacementOrder order { entry.id, entry.address, step.layers, runner->ordersBegun };
        PendingOrder pending;
        pending.order = order;
        pending.runnerStartedAt = entry.startedAt;
        pending.expectedBy = now + responseTimeout;
        pending.abandonAt = now + loadTime(engine, step.layers.count()) * loadTimeFactor + loadTimeMargin;
        m_pending.emplace(step.runner, std::move(pending));
        orders.push_back(std::move(order));
    }
    return orders;
}

std::vector<PlacementStep> PlacementDriver::plan(
    const std::vector<PlacementNode>& nodes, const EngineProfile& engine, TimePoint now)
{
    std::vector<PlacementStep> steps = PlacementPlanner::plan(nodes, engine);
    const bool hasGap = PlacementPlanner::hasGap(nodes, engine);
    if (!steps.empty() || !m_pending.empty() || !hasGap) {
        m_gapSince.reset();
        return steps.empty() && !hasGap ? balance(nodes, engine, now) : steps;
    }
    if (!m_gapSince)
        m_gapSince = now;
    if (now - *m_gapSince < restartPeriod)
        return steps;
    m_gapSince.reset();
    return PlacementPlanner::relayout(nodes, engine);
}

std::vector<PlacementStep> PlacementDriver::balance(
    const std::vector<PlacementNode>& nodes, const EngineProfile& engine, TimePoint now)
{
    if (now < m_nextBalanceAt)
        return {};
    m_nextBalanceAt = now + balanceInterval;
    std::vector<EndpointId> runners;
    runners.reserve(nodes.size());
    for (const PlacementNode& node : nodes)
        runners.push_back(node.runner);
    const bool known = m_room && runners == m_roomRunners;
    m_room = PlacementPlanner::room(nodes, engine, known ? std::optional(m_room->bestTokens) : std::nullopt);
    m_roomRunners = std::move(runners);
    return PlacementPlanner::balance(nodes, engine, *m_room);
}

void PlacementDriver::handleOutcome(const EndpointId& runner, OrderOutcome outcome, TimePoint now)
{
    const auto found = m_pending.find(runner);
    if (found == m_pending.end())
        return;
    switch (outcome) {
    case OrderOutcome::Begun:
    case OrderOutcome::Done:
        found->second.expectedBy = std::max(now, found->second.abandonAt - loadTimeMargin);
        break;
    case OrderOutcome::Refused:
        m_pending.erase(found);
        m_pausedUntil[runner] = now + refusalDelay;
        break;
    case OrderOutcome::Unknown:
        // A duplicate of the order is harmless, because it expects the same number of orders.
        m_pending.erase(found);
        m_pausedUntil[runner] = now + responseTimeout;
        break;
    }
}

std::vector<EndpointId> PlacementDriver::overdueRunners(TimePoint now)
{
    std::vector<EndpointId> result;
    for (auto& [id, pending] : m_pending) {
        if (now < pending.expectedBy)
            continue;
        pending.expectedBy = now + responseTimeout;
        result.push_back(id);
    }
    return result;
}

} // namespace fuchsialb
