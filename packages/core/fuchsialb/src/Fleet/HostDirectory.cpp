#include "HostDirectory.h"

#include "HostCells.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fuchsialb {

namespace {

    // Long enough that a host isn't taken for dead when several beats are lost or late.
    constexpr Duration beatTimeout = std::chrono::milliseconds(1200);
    // A newly registered host must open a connection before its first beat can arrive.
    constexpr Duration firstBeatTimeout = std::chrono::milliseconds(2500);
    // Beats from other data centres have a longer period.
    constexpr Duration remoteBeatTimeout = std::chrono::seconds(3);
    constexpr Duration unregisteredHostTimeout = std::chrono::seconds(10);

} // namespace

void HostDirectory::replaceAll(const std::vector<RegisteredHost>& hosts, TimePoint now)
{
    std::set<HostId> listed;
    for (const RegisteredHost& host : hosts) {
        put(host, now);
        listed.insert(host.host);
    }
    for (const auto& [id, host] : m_hosts) {
        if (!listed.contains(id))
            unregister(id, now);
    }
}

void HostDirectory::put(const RegisteredHost& host, TimePoint now)
{
    if (host.host == m_self)
        return;
    Host& known = m_hosts[host.host];
    known.registered = true;
    if (known.registration == host)
        return;
    known.addedAt = now;
    known.leaving = false;
    known.registration = host;
    updateCells();
}

void HostDirectory::unregister(const HostId& host, TimePoint now)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || !found->second.registered)
        return;
    found->second.registered = false;
    found->second.unregisteredAt = now;
}

void HostDirectory::recordBeat(const RegisteredHost& host, bool leaving, TimePoint now)
{
    Host& known = m_hosts[host.host];
    const bool changed = known.registration != host;
    known.lastBeatAt = now;
    known.leaving = leaving;
    if (!changed)
        return;
    known.addedAt = now;
    known.registration = host;
    updateCells();
}

void HostDirectory::expire(TimePoint now)
{
    const std::size_t removed = std::erase_if(m_hosts, [&](const auto& item) {
        const Host& host = item.second;
        return !host.registered && now - std::max(host.lastBeatAt, host.unregisteredAt) >= unregisteredHostTimeout;
    });
    if (removed > 0)
        updateCells();
}

void HostDirectory::updateCells()
{
    const auto local = std::count_if(m_hosts.begin(), m_hosts.end(),
        [&](const auto& item) { return item.second.registration.dataCentre == m_dataCentre; });
    m_cells = cellCount(static_cast<std::size_t>(local) + 1);
    m_ownCell = cellOf(m_self, m_cells);
    for (auto& [id, host] : m_hosts)
        host.cell = cellOf(id, m_cells);
}

bool HostDirectory::isLocal(const HostId& host) const
{
    const auto found = m_hosts.find(host);
    return host == m_self || (found != m_hosts.end() && found->second.registration.dataCentre == m_dataCentre);
}

bool HostDirectory::inOwnCell(const HostId& host) const
{
    const auto found = m_hosts.find(host);
    return host == m_self
        || (found != m_hosts.end() && found->second.registration.dataCentre == m_dataCentre
            && found->second.cell == m_ownCell);
}

bool HostDirectory::leadsCell(TimePoint now) const
{
    return std::none_of(m_hosts.begin(), m_hosts.lower_bound(m_self),
        [&](const auto& item) { return !item.second.leaving && inOwnCell(item.first) && alive(item.first, now); });
}

std::vector<HostId> HostDirectory::cellRecipients(std::uint32_t cell, TimePoint now) const
{
    std::vector<HostId> hosts;
    for (const auto& [id, host] : m_hosts) {
        if (host.registration.dataCentre != m_dataCentre || host.leaving || host.cell != cell)
            continue;
        if (now - host.lastBeatAt < beatTimeout)
            return { id };
        hosts.push_back(id);
    }
    return hosts;
}

bool HostDirectory::alive(const HostId& host, TimePoint now) const
{
    if (host == m_self)
        return true;
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return false;
    const Host& known = found->second;
    return now - known.lastBeatAt < beatTimeout || (known.registered && now - known.addedAt < firstBeatTimeout);
}

HostId HostDirectory::leader(TimePoint now) const
{
    HostId lowest = m_self;
    for (const auto& [id, host] : m_hosts) {
        const bool eligible = host.registration.dataCentre == m_dataCentre && !host.leaving && alive(id, now);
        if (eligible && id < lowest)
            lowest = id;
    }
    return lowest;
}

std::vector<HostId> HostDirectory::beatRecipients(const DataCentreId& dataCentre, TimePoint now) const
{
    std::vector<HostId> hosts;
    const Host* latest = nullptr;
    for (const auto& [id, host] : m_hosts) {
        if (host.registration.dataCentre != dataCentre || host.leaving)
            continue;
        hosts.push_back(id);
        if (now - host.lastBeatAt < remoteBeatTimeout && (!latest || host.lastBeatAt > latest->lastBeatAt))
            latest = &host;
    }
    return latest ? std::vector<HostId> { latest->registration.host } : hosts;
}

bool HostDirectory::hasHosts(const DataCentreId& dataCentre) const
{
    return dataCentre == m_dataCentre || std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto& item) {
        return item.second.registration.dataCentre == dataCentre;
    });
}

bool HostDirectory::remoteAlive(const DataCentreId& dataCentre, TimePoint now) const
{
    const auto found = m_remoteBeatAt.find(dataCentre);
    return found != m_remoteBeatAt.end() && now - found->second < remoteBeatTimeout;
}

bool HostDirectory::ordersPlacement(const DataCentreId& dataCentre, TimePoint now) const
{
    if (!isLeader(now))
        return false;
    if (dataCentre == m_dataCentre)
        return true;
    if (hasHosts(dataCentre))
        return false;
    return std::none_of(m_remoteBeatAt.begin(), m_remoteBeatAt.end(),
        [&](const auto& item) { return item.first < m_dataCentre && remoteAlive(item.first, now); });
}

} // namespace fuchsialb
