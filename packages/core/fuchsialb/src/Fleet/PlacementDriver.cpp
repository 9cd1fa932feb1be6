#include "PlacementDriver.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    // Wait before a runner that refused an order gets the next one, for its entry in the registry to change.
    constexpr Duration refusalPause = std::chrono::milliseconds(400);
    // An order without an answer is given again after this time.
    constexpr Duration answerWait = std::chrono::milliseconds(1200);
    // Loads share the weight store; the slowest takes this factor longer than an idle load.
    constexpr int loadSlack = 6;
    constexpr Duration loadExtra = std::chrono::milliseconds(1500);

    // How long a runner that arrives empty is kept for a gap. Where runners are replaced one after the other, the old
    // one leaves within about a second of the arrival of the new one.
    constexpr Duration spareTime = std::chrono::seconds(3);

    // A runner that crashed is usually back, empty, within a few seconds, and is then given the layers it had.
    constexpr Duration restartTime = std::chrono::milliseconds(4500);

    Duration loadTime(const EngineProfile& engine, std::uint32_t layers)
    {
        return engine.layers == 0 ? Duration(0) : engine.loadTime * layers / engine.layers;
    }

} // namespace

void PlacementDriver::forgetFinished(const RunnerDirectory& directory, TimePoint now)
{
    std::erase_if(m_pending, [&](const auto& item) {
        const RunnerDirectory::Runner* runner = directory.find(item.first);
        const Pending& pending = item.second;
        return !runner || runner->entry.startedAt != pending.runnerStartedAt
            || runner->entry.layers == pending.order.layers || now >= pending.abandonAt;
    });
    std::erase_if(m_pausedUntil, [&](const auto& item) { return now >= item.second; });
}

std::vector<PlacementNode> PlacementDriver::nodes(
    const RunnerDirectory& directory, const LoadLedger& ledger, TimePoint now) const
{
    std::vector<PlacementNode> list;
    for (const auto& [id, runner] : directory.runners()) {
        const RunnerEntry& entry = runner.entry;
        if (entry.service != m_service || entry.dataCentre != m_dataCentre || entry.draining)
            continue;
        // Layers of a lost runner are placed elsewhere; it gets no orders meanwhile.
        const auto pending = m_pending.find(id);
        if (runner.lost(now) && pending == m_pending.end())
            continue;
        PlacementNode node;
        node.runner = id;
        node.accelerator = entry.accelerator;
        node.layers = pending != m_pending.end() ? pending->second.order.layers : entry.layers;
        node.idle = pending == m_pending.end() && !m_pausedUntil.contains(id);
        const auto arrival = m_arrivals.find(id);
        node.spare = arrival == m_arrivals.end() || now - arrival->second < spareTime;
        node.promised = ledger.at(id).cache;
        list.push_back(std::move(node));
    }
    return list;
}

void PlacementDriver::noteArrivals(const RunnerDirectory& directory, bool nothingHeld, TimePoint now)
{
    // This driver has not seen the runners before, or no request can depend on one of them yet.
    const bool first = m_arrivals.empty() || nothingHeld;
    std::map<EndpointId, TimePoint> arrivals;
    bool changed = false;
    for (const auto& [id, runner] : directory.runners()) {
        if (runner.entry.service != m_service || runner.entry.dataCentre != m_dataCentre || runner.entry.draining)
            continue;
        const auto known = m_arrivals.find(id);
        changed = changed || known == m_arrivals.end();
        arrivals.emplace(id, known != m_arrivals.end() ? known->second : first ? TimePoint() : now);
    }
    if (changed || arrivals.size() != m_arrivals.size())
        m_changedAt = now;
    m_arrivals = std::move(arrivals);
}

std::vector<PlaceOrder> PlacementDriver::due(const RunnerDirectory& directory, const LoadLedger& ledger,
    const EngineProfile& engine, TimePoint now, Duration settled)
{
    forgetFinished(directory, now);
    const auto holdsNothing = [](const PlacementNode& node) { return node.layers.count() == 0; };
    std::vector<PlacementNode> current = nodes(directory, ledger, now);
    const bool nothingHeld = std::all_of(current.begin(), current.end(), holdsNothing);
    noteArrivals(directory, nothingHeld, now);
    std::vector<PlaceOrder> orders;
    if (nothingHeld && now - m_changedAt < settled)
        return orders;
    for (const PlacementStep& step : plan(current, engine, now)) {
        const RunnerDirectory::Runner* runner = directory.find(step.runner);
        if (!runner || m_pending.contains(step.runner) || m_pausedUntil.contains(step.runner))
            continue;
        const RunnerEntry& entry = runner->entry;
        PlaceOrder order { entry.id, entry.address, step.layers, runner->ordersBegun };
        Pending pending;
        pending.order = order;
        pending.runnerStartedAt = entry.startedAt;
        pending.expectedBy = now + answerWait;
        pending.abandonAt = now + loadTime(engine, step.layers.count()) * loadSlack + loadExtra;
        m_pending.emplace(step.runner, std::move(pending));
        orders.push_back(std::move(order));
    }
    return orders;
}

std::vector<PlacementStep> PlacementDriver::plan(
    const std::vector<PlacementNode>& nodes, const EngineProfile& engine, TimePoint now)
{
    std::vector<PlacementStep> steps = PlacementPlanner::plan(nodes, engine);
    if (!steps.empty() || !m_pending.empty() || !PlacementPlanner::hasGap(nodes, engine)) {
        m_gapSince.reset();
        return steps;
    }
    if (!m_gapSince)
        m_gapSince = now;
    if (now - *m_gapSince < restartTime)
        return steps;
    m_gapSince.reset();
    return PlacementPlanner::relayout(nodes, engine);
}

void PlacementDriver::answered(const EndpointId& runner, OrderOutcome outcome, TimePoint now)
{
    const auto found = m_pending.find(runner);
    if (found == m_pending.end())
        return;
    switch (outcome) {
    case OrderOutcome::Begun:
    case OrderOutcome::Done:
        found->second.expectedBy = std::max(now, found->second.abandonAt - loadExtra);
        break;
    case OrderOutcome::Refused:
        m_pending.erase(found);
        m_pausedUntil[runner] = now + refusalPause;
        break;
    case OrderOutcome::Unknown:
        // The same expectation makes a second copy of the order harmless.
        m_pending.erase(found);
        m_pausedUntil[runner] = now + answerWait;
        break;
    }
}

std::vector<EndpointId> PlacementDriver::overdue(TimePoint now)
{
    std::vector<EndpointId> list;
    for (auto& [id, pending] : m_pending) {
        if (now < pending.expectedBy)
            continue;
        pending.expectedBy = now + answerWait;
        list.push_back(id);
    }
    return list;
}

} // namespace fuchsialb
