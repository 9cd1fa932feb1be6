#include "PlacementDuty.h"

#include "RunnerOrders.h"

#include <set>

namespace fuchsialb {

namespace {

    // How long the set of runners must be unchanged before an empty fleet is placed: runners register within about a
    // heartbeat of each other.
    constexpr Duration settleTime = std::chrono::milliseconds(1500);
    // Other hosts register within this time of the start, and the duty passes to its holder.
    constexpr Duration registrationTime = std::chrono::milliseconds(2500);

} // namespace

void PlacementDuty::tick()
{
    const TimePoint now = m_context.now();
    if (m_startedAt == TimePoint())
        m_startedAt = now;
    const auto table = m_context.configuration.table();
    if (!table || m_context.stopping || now - m_startedAt < registrationTime)
        return;
    std::set<DataCentreId> dataCentres;
    for (const auto& [id, runner] : m_context.runners.runners())
        dataCentres.insert(runner.entry.dataCentre);
    for (const DataCentreId& dataCentre : dataCentres) {
        const bool gives = m_context.hosts.givesOrders(dataCentre, now);
        for (const auto& [name, service] : table->services) {
            const Duty duty(dataCentre, name);
            if (service.engine && gives)
                serve(duty, *service.engine, now);
            else
                m_drivers.erase(duty);
        }
    }
}

void PlacementDuty::serve(const Duty& duty, const EngineProfile& engine, TimePoint now)
{
    const auto [found, taken] = m_drivers.try_emplace(duty, duty.first, duty.second);
    if (taken) {
        LogLine line("placement-taken");
        line.add("data_centre", duty.first.value()).add("model", duty.second.value());
        m_context.log.log(line);
    }
    for (const PlacementOrder& order :
        found->second.nextOrders(m_context.runners, m_context.ledger, engine, now, settleTime))
        give(duty, order);
    for (const EndpointId& runner : found->second.overdueRunners(now))
        ask(runner);
}

void PlacementDuty::give(const Duty& duty, const PlacementOrder& order)
{
    orderPlacement(m_context, order, [this, duty, order](OrderOutcome outcome) {
        LogLine line("placement-ordered");
        line.add("runner", order.runner.value()).add("first", order.layers.first).add("end", order.layers.end);
        line.add("expected_orders", static_cast<std::int64_t>(order.expectedOrders));
        line.add("outcome", static_cast<std::int64_t>(outcome));
        m_context.log.log(line);
        if (outcome == OrderOutcome::Begun)
            m_context.runners.recordOrder(order.runner);
        const auto driver = m_drivers.find(duty);
        if (driver != m_drivers.end())
            driver->second.handleOutcome(order.runner, outcome, m_context.now());
        if (outcome == OrderOutcome::Refused || outcome == OrderOutcome::Unknown)
            ask(order.runner);
    });
}

void PlacementDuty::ask(const EndpointId& runner)
{
    const RunnerDirectory::Runner* known = m_context.runners.find(runner);
    if (!known)
        return;
    askReport(m_context, known->entry.address, [this, runner](const absl::StatusOr<RunnerReport>& report) {
        if (report.ok())
            m_context.runners.recordReport(runner, report->ordersBegun, report->layers, report->startedAt);
        else
            m_context.log.log(LogLine("report-missing")
                                  .add("runner", runner.value())
                                  .add("cause", std::string(report.status().message())));
    });
}

} // namespace fuchsialb
