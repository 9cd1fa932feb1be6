#include "RequestRateAdmission.h"

#include <algorithm>
#include <cmath>

namespace fuchsialb {

namespace {

    // Hosts learn late when the demand of others rises, so a part of the limit is left unused.
    constexpr double usedFraction = 0.9;
    // A runner tells only in its answers that its limit has ended, so each limit leaves room for some requests.
    constexpr RequestsPerSecond minRate { 0.25 };
    // Part of its share that each rank keeps, however many more urgent requests there are.
    constexpr double keptFraction = 0.25;
    // Demand of runners that are gone is dropped beyond this number.
    constexpr std::size_t maxRunners = 4096;

} // namespace

double RequestRateAdmission::Rate::at(TimePoint now) const
{
    return m_rate * std::exp(-std::chrono::duration<double>(now - m_updatedAt) / m_smoothingTime);
}

void RequestRateAdmission::Rate::record(TimePoint now)
{
    m_rate = at(now) + 1 / std::chrono::duration<double>(m_smoothingTime).count();
    m_updatedAt = now;
}

RequestsPerSecond RequestRateAdmission::demand(const EndpointId& runner, TimePoint now) const
{
    const auto found = m_demand.find(runner);
    return RequestsPerSecond(found == m_demand.end() ? 0 : found->second.rate.at(now));
}

double RequestRateAdmission::fleetDemand(const Fleet& fleet, const EndpointId& runner, TimePoint now) const
{
    const double heard = demand(runner, now).value() + fleet.ledger.othersDemand(runner).value();
    const bool lacksCells = fleet.hosts.cells() > 1 && !fleet.ledger.knowsOtherCells();
    return heard * fleet.hosts.cellHostsPerHeard(now) * (lacksCells ? fleet.hosts.cells() : 1);
}

bool RequestRateAdmission::admit(
    const Fleet& fleet, const EndpointId& runner, std::int64_t startedAt, std::uint32_t urgency, TimePoint now)
{
    if (m_demand.size() > maxRunners)
        std::erase_if(m_demand, [&](const auto& item) { return item.second.rate.at(now) < minRate.value(); });
    const auto [found, isNew] = m_demand.try_emplace(runner);
    Demand& demand = found->second;
    if (isNew)
        demand.credit.fill(m_phase);
    const std::size_t rank = std::min<std::size_t>(urgency, rankCount - 1);
    // The rate as it was before this request is the one that the other hosts see.
    const double wanted = fleetDemand(fleet, runner, now);
    demand.rate.record(now);
    demand.ranks[rank].record(now);
    const auto limit = fleet.limits.find(runner, startedAt);
    if (!limit)
        return true;
    const double usable = usedFraction * std::max(*limit, minRate).value();
    if (wanted <= usable)
        return true;
    double& credit = demand.credit[rank];
    credit += rankShare(demand, rank, usable / wanted, now);
    if (credit < 1)
        return false;
    credit -= 1;
    return true;
}

double RequestRateAdmission::rankShare(const Demand& demand, std::size_t rank, double share, TimePoint now)
{
    const double kept = keptFraction * share;
    double available = 0;
    for (const Rate& rate : demand.ranks)
        available += (share - kept) * rate.at(now);
    for (std::size_t moreUrgent = 0; moreUrgent < rank; ++moreUrgent)
        available -= std::min(available, (1 - kept) * demand.ranks[moreUrgent].at(now));
    return kept + std::min(1 - kept, available / demand.ranks[rank].at(now));
}

Duration RequestRateAdmission::backlog(
    const Fleet& fleet, const EndpointId& runner, std::int64_t startedAt, TimePoint now) const
{
    const auto limit = fleet.limits.find(runner, startedAt);
    if (!limit)
        return Duration(0);
    constexpr double maxSeconds = 3600;
    const double seconds = fleetDemand(fleet, runner, now) / std::max(*limit, minRate).value();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, maxSeconds)));
}

} // namespace fuchsialb
