#include "LoadLedger.h"

#include <utility>

namespace fuchsialb {

namespace {

    void addLoads(LoadTable& sum, const LoadTable& table)
    {
        for (const auto& [runner, load] : table)
            sum[runner] += load;
    }

} // namespace

std::size_t dataCentreCrossings(const Path& path)
{
    std::size_t count = 0;
    for (std::size_t i = 1; i < path.size(); ++i)
        count += path[i].dataCentre == path[i - 1].dataCentre ? 0 : 1;
    return count;
}

HostLoad& HostLoad::operator+=(const HostLoad& other)
{
    addLoads(runners, other.runners);
    retries += other.retries;
    return *this;
}

RunnerLoad& RunnerLoad::operator+=(const RunnerLoad& other)
{
    cache += other.cache;
    sequences += other.sequences;
    firstStages += other.firstStages;
    demand += other.demand;
    return *this;
}

void LoadLedger::reserve(const Path& path, double tokens)
{
    for (std::size_t i = 0; i < path.size(); ++i)
        m_own.runners[path[i].runner] += { tokens * path[i].layers.count(), 1, i == 0 ? 1.0 : 0.0, 0 };
}

void LoadLedger::release(const Path& path, double tokens)
{
    for (std::size_t i = 0; i < path.size(); ++i) {
        RunnerLoad& load = m_own.runners[path[i].runner];
        load += { -tokens * path[i].layers.count(), -1, i == 0 ? -1.0 : 0.0, 0 };
        // Requests are counted in whole numbers, so a smaller remainder is a rounding error.
        if (load.sequences < 0.5)
            load = { 0, 0, 0, load.demand };
        removeIfUnused(path[i].runner);
    }
}

void LoadLedger::setDemand(const EndpointId& runner, RequestsPerSecond demand)
{
    m_own.runners[runner].demand = demand.value();
    removeIfUnused(runner);
}

void LoadLedger::removeIfUnused(const EndpointId& runner)
{
    if (const auto own = m_own.runners.find(runner); own != m_own.runners.end() && own->second == RunnerLoad())
        m_own.runners.erase(own);
}

void LoadLedger::setPeer(const HostId& host, HostLoad load)
{
    m_peers[host] = std::move(load);
    rebuildOthers();
}

void LoadLedger::removePeer(const HostId& host)
{
    if (m_peers.erase(host) > 0)
        rebuildOthers();
}

void LoadLedger::setCell(std::uint32_t cell, HostLoad load)
{
    m_cells[cell] = std::move(load);
    rebuildOthers();
}

void LoadLedger::removeCell(std::uint32_t cell)
{
    if (m_cells.erase(cell) > 0)
        rebuildOthers();
}

void LoadLedger::setOtherCells(HostLoad load)
{
    if (m_otherCells.empty() && load.empty())
        return;
    m_otherCells = std::move(load);
    rebuildOthers();
}

void LoadLedger::setRemote(const DataCentreId& dataCentre, HostLoad load)
{
    m_remote[dataCentre] = std::move(load);
    rebuildOthers();
}

void LoadLedger::removeRemote(const DataCentreId& dataCentre)
{
    if (m_remote.erase(dataCentre) > 0)
        rebuildOthers();
}

HostLoad LoadLedger::cellTotal() const
{
    HostLoad sum = m_own;
    for (const auto& [host, load] : m_peers)
        sum += load;
    return sum;
}

HostLoad LoadLedger::cellsTotal() const
{
    HostLoad sum;
    for (const auto& [cell, load] : m_cells)
        sum += load;
    return sum;
}

HostLoad LoadLedger::dataCentreTotal() const
{
    HostLoad sum = cellTotal();
    // The sum of a former leader counts in place of the single cells until it is removed.
    sum += m_otherCells.empty() ? cellsTotal() : m_otherCells;
    return sum;
}

void LoadLedger::rebuildOthers()
{
    HostLoad others = m_otherCells.empty() ? cellsTotal() : m_otherCells;
    for (const auto& [host, load] : m_peers)
        others += load;
    m_nearbyRetries = std::move(others.retries);
    m_others = std::move(others.runners);
    m_remoteRetries = {};
    for (const auto& [dataCentre, load] : m_remote) {
        addLoads(m_others, load.runners);
        m_remoteRetries += load.retries;
    }
}

RunnerLoad LoadLedger::at(const EndpointId& runner) const
{
    RunnerLoad load;
    if (const auto own = m_own.runners.find(runner); own != m_own.runners.end())
        load += own->second;
    if (const auto others = m_others.find(runner); others != m_others.end())
        load += others->second;
    return load;
}

RequestsPerSecond LoadLedger::othersDemand(const EndpointId& runner) const
{
    const auto others = m_others.find(runner);
    return RequestsPerSecond(others == m_others.end() ? 0 : others->second.demand);
}

} // namespace fuchsialb
