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
    // A new leader of a cell looks for those of the others with so many beats at once to each cell, so that taking over
    // costs no more in a large data centre.
    constexpr std::size_t leaderlessRecipients = 3;
    constexpr Duration leaderlessTurn = std::chrono::milliseconds(200);

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

void HostDirectory::recordBeat(const RegisteredHost& host, bool leaving, bool leadsCell, TimePoint now)
{
    Host& known = m_hosts[host.host];
    const bool changed = known.registration != host;
    known.lastBeatAt = now;
    known.leaving = leaving;
    known.leadsCell = leadsCell;
    if (!changed)
        return;
    known.addedAt = now;
    known.registration = host;
    updateCells();
}

void HostDirectory::recordStoreReach(const HostId& host, bool isLost)
{
    if (const auto found = m_hosts.find(host); found != m_hosts.end())
        found->second.storeLost = isLost;
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

HostId HostDirectory::lowestLive(const std::function<bool(const Host&)>& eligible, TimePoint now) const
{
    for (const auto& [id, host] : m_hosts) {
        if (m_self < id && !m_leaving)
            break;
        if (!host.leaving && eligible(host) && alive(id, now))
            return id;
    }
    return m_self;
}

HostId HostDirectory::cellLeader(TimePoint now) const
{
    return lowestLive(
        [this](const Host& host) { return host.registration.dataCentre == m_dataCentre && host.cell == m_ownCell; },
        now);
}

std::vector<HostId> HostDirectory::leadersOf(std::uint32_t cell, TimePoint now) const
{
    std::vector<HostId> leaders;
    for (const auto& [id, host] : m_hosts) {
        const bool inCell = host.registration.dataCentre == m_dataCentre && host.cell == cell;
        if (inCell && host.leadsCell && !host.leaving && now - host.lastBeatAt < beatTimeout)
            leaders.push_back(id);
    }
    return leaders;
}

std::vector<HostId> HostDirectory::cellRecipients(std::uint32_t cell, TimePoint now) const
{
    std::vector<HostId> leaders = leadersOf(cell, now);
    if (!leaders.empty())
        return leaders;
    std::vector<HostId> hosts;
    for (const auto& [id, host] : m_hosts) {
        if (host.registration.dataCentre == m_dataCentre && host.cell == cell && !host.leaving)
            hosts.push_back(id);
    }
    if (hosts.size() <= leaderlessRecipients)
        return hosts;
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / leaderlessTurn);
    const std::size_t first = turn * leaderlessRecipients % hosts.size();
    std::rotate(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(first), hosts.end());
    hosts.resize(leaderlessRecipients);
    return hosts;
}

std::size_t HostDirectory::dataCentreSize() const
{
    const auto others = std::count_if(m_hosts.begin(), m_hosts.end(),
        [&](const auto& host) { return host.second.registration.dataCentre == m_dataCentre; });
    return static_cast<std::size_t>(others) + 1;
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
    return lowestLive([this](const Host& host) { return host.registration.dataCentre == m_dataCentre; }, now);
}

bool HostDirectory::readsStore(TimePoint now) const
{
    constexpr std::ptrdiff_t readers = 2;
    return isAmongReaders(readers, now);
}

bool HostDirectory::readsStoreFirst(TimePoint now) const { return isAmongReaders(1, now); }

bool HostDirectory::isAmongReaders(std::ptrdiff_t readers, TimePoint now) const
{
    // A host knows which hosts of its cell live, and the leader of a cell which other ones lead.
    if (m_leaving || (m_cells > 1 && !leadsCell(now)))
        return false;
    const auto lower = std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto& item) {
        const Host& host = item.second;
        return item.first < m_self && host.registration.dataCentre == m_dataCentre && !host.leaving && !host.storeLost
            && alive(item.first, now) && (m_cells == 1 || host.leadsCell);
    });
    return lower < readers;
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

double HostDirectory::cellHostsPerHeard(TimePoint now) const
{
    std::size_t known = 1;
    std::size_t heard = 1;
    for (const auto& [id, host] : m_hosts) {
        if (!inOwnCell(id))
            continue;
        ++known;
        heard += alive(id, now) ? 1 : 0;
    }
    return static_cast<double>(known) / static_cast<double>(heard);
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
    return !hasHosts(dataCentre) && leadsFleet(now);
}

bool HostDirectory::leadsFleet(TimePoint now) const
{
    return isLeader(now) && std::none_of(m_remoteBeatAt.begin(), m_remoteBeatAt.end(), [&](const auto& item) {
        return item.first < m_dataCentre && remoteAlive(item.first, now);
    });
}

} // namespace fuchsialb
