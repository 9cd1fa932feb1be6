#include "PlacementCoordinator.h"

#include "RunnerControl.h"

#include <cstdlib>
#include <set>

namespace fuchsialb {

namespace {

    // Time without changes to the set of runners before the first placement: runners register within about one
    // heartbeat of each other.
    constexpr Duration settleTime = std::chrono::milliseconds(1500);
    // Delay after start in which the other hosts register, so that only the responsible host sends orders.
    constexpr Duration hostRegistrationTime = std::chrono::milliseconds(2500);
    // Between two inquiries at a runner that other hosts found dead; longer than its report and that of a second runner
    // may take.
    constexpr Duration checkInterval = std::chrono::milliseconds(900);
    // Longer than the silence after which a host takes over from another one.
    constexpr Duration takeOverDelay = std::chrono::milliseconds(1500);
    // As for a runner that a request finds dead.
    constexpr Duration deadSuspension = std::chrono::seconds(3);

} // namespace

void PlacementCoordinator::tick()
{
    const TimePoint now = m_context.now();
    if (m_startedAt == TimePoint())
        m_startedAt = now;
    const auto table = m_context.configuration.table();
    if (!table || m_context.stopping || now - m_startedAt < hostRegistrationTime)
        return;
    // Another host may have taken over meanwhile, and its beats may wait unread.
    if (m_context.hostPause.heldUpWithin(takeOverDelay, now))
        return;
    std::set<DataCentreId> dataCentres;
    for (const auto& [id, runner] : m_context.runners.runners())
        dataCentres.insert(runner.entry.dataCentre);
    for (const DataCentreId& dataCentre : dataCentres) {
        const bool isCoordinator = m_context.hosts.ordersPlacement(dataCentre, now);
        for (const auto& [name, service] : table->services) {
            const Key key(dataCentre, name);
            if (service.engine && isCoordinator)
                sendDueOrders(key, *service.engine, now);
            else
                m_drivers.erase(key);
        }
    }
}

void PlacementCoordinator::sendDueOrders(const Key& key, const EngineProfile& engine, TimePoint now)
{
    const auto [found, inserted] = m_drivers.try_emplace(key, key.first, key.second);
    if (inserted) {
        LogLine line("placement-taken");
        line.add("data_centre", key.first.value()).add("model", key.second.value());
        m_context.log.log(line);
    }
    checkSuspectedRunners(key, now);
    for (const PlacementOrder& order :
        found->second.nextOrders(m_context.runners, m_context.ledger, engine, now, settleTime))
        sendOrder(key, order);
    for (const EndpointId& runner : found->second.overdueRunners(now))
        refreshState(runner);
    reportRoom(key, engine);
}

void PlacementCoordinator::reportRoom(const Key& key, const EngineProfile& engine)
{
    const auto& room = m_drivers.at(key).room();
    if (!room)
        return;
    const auto streams = [&](double tokens) { return static_cast<std::int64_t>(tokens / engine.usualTokens()); };
    const std::int64_t now = streams(room->tokens);
    std::int64_t& reported = m_reportedRoom[key];
    // Logged when it changes by a tenth, so that the volume stays bounded while borders shift.
    constexpr std::int64_t minChange = 10;
    if (std::abs(now - reported) * minChange <= reported)
        return;
    reported = now;
    LogLine line("placement-room");
    line.add("data_centre", key.first.value()).add("model", key.second.value());
    line.add("streams", now).add("best_streams", streams(room->bestTokens));
    m_context.log.log(line);
    m_context.metrics.set("placement_room_streams", static_cast<double>(now));
}

void PlacementCoordinator::sendOrder(const Key& key, const PlacementOrder& order)
{
    sendPlacementOrder(m_context, order, [this, key, order](OrderOutcome outcome) {
        LogLine line("placement-ordered");
        line.add("runner", order.runner.value()).add("first", order.layers.first).add("end", order.layers.end);
        line.add("expected_orders", static_cast<std::int64_t>(order.expectedOrders));
        line.add("outcome", static_cast<std::int64_t>(outcome));
        m_context.log.log(line);
        if (outcome == OrderOutcome::Begun)
            m_context.runners.recordOrder(order.runner);
        const auto driver = m_drivers.find(key);
        if (driver != m_drivers.end())
            driver->second.handleOutcome(order.runner, outcome, m_context.now());
        if (outcome == OrderOutcome::Refused || outcome == OrderOutcome::Unknown)
            refreshState(order.runner);
    });
}

void PlacementCoordinator::checkSuspectedRunners(const Key& key, TimePoint now)
{
    std::erase_if(m_nextCheckAt, [&](const auto& check) { return now >= check.second; });
    std::vector<EndpointId> suspected;
    for (const auto& [id, runner] : m_context.runners.runners()) {
        const bool placed = runner.entry.dataCentre == key.first && runner.entry.service == key.second;
        if (placed && runner.deadByPeerOnly(now) && !m_nextCheckAt.contains(id))
            suspected.push_back(id);
    }
    for (const EndpointId& id : suspected) {
        m_nextCheckAt[id] = now + checkInterval;
        checkSuspectedRunner(id);
    }
}

void PlacementCoordinator::checkSuspectedRunner(const EndpointId& runner)
{
    const RunnerDirectory::Runner* known = m_context.runners.find(runner);
    if (!known)
        return;
    requestReport(m_context, known->entry.address, [this, runner](const absl::StatusOr<RunnerReport>& report) {
        if (report.ok())
            m_context.log.log(LogLine("suspected-runner-alive").add("runner", runner.value()));
        else if (reasonOf(report.status()) != Reason::Cancelled)
            checkSilentRunner(runner);
    });
}

void PlacementCoordinator::checkSilentRunner(const EndpointId& runner)
{
    const RunnerDirectory::Runner* known = m_context.runners.find(runner);
    if (!known)
        return;
    const Path path { { runner, known->entry.address, known->entry.layers, known->entry.dataCentre } };
    const RunnerDirectory::Runner* control
        = selectStallControl(m_context.runners, path, {}, m_context.settings.dataCentre, m_context.now());
    if (!control) {
        markDead(runner);
        return;
    }
    requestReport(m_context, control->entry.address, [this, runner](const absl::StatusOr<RunnerReport>& report) {
        // Any response shows that this host reaches other runners, also one that is not a valid report.
        if (report.ok() || reasonOf(report.status()) == Reason::EndpointFailed)
            markDead(runner);
        else
            m_context.log.log(LogLine("suspected-runner-unclear").add("runner", runner.value()));
    });
}

void PlacementCoordinator::markDead(const EndpointId& runner)
{
    m_context.runners.markDead(runner, m_context.now(), deadSuspension);
    m_context.log.log(LogLine("suspected-runner-dead").add("runner", runner.value()));
}

void PlacementCoordinator::refreshState(const EndpointId& runner)
{
    const RunnerDirectory::Runner* known = m_context.runners.find(runner);
    if (!known)
        return;
    requestReport(m_context, known->entry.address, [this, runner](const absl::StatusOr<RunnerReport>& report) {
        if (report.ok())
            m_context.runners.recordReport(runner, report->ordersBegun, report->layers, report->startedAt);
        else
            m_context.log.log(LogLine("report-missing")
                                  .add("runner", runner.value())
                                  .add("cause", std::string(report.status().message())));
    });
}

} // namespace fuchsialb
