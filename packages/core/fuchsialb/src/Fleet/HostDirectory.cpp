#include "HostDirectory.h"

#include <algorithm>
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
    for (auto& [id, host] : m_hosts)
        host.registered = false;
    for (const RegisteredHost& host : hosts)
        put(host, now);
}

void HostDirectory::put(const RegisteredHost& host, TimePoint now)
{
    if (host.host == m_self)
        return;
    Host& known = m_hosts[host.host];
    if (known.registration != host) {
        known.addedAt = now;
        known.leaving = false;
    }
    known.registration = host;
    known.registered = true;
}

void HostDirectory::unregister(const HostId& host)
{
    if (const auto found = m_hosts.find(host); found != m_hosts.end())
        found->second.registered = false;
}

void HostDirectory::recordBeat(const RegisteredHost& host, bool leaving, TimePoint now)
{
    Host& known = m_hosts[host.host];
    if (known.registration != host)
        known.addedAt = now;
    known.registration = host;
    known.leaving = leaving;
    known.lastBeatAt = now;
}

void HostDirectory::expire(TimePoint now)
{
    std::erase_if(m_hosts, [&](const auto& item) {
        return !item.second.registered && now - item.second.lastBeatAt >= unregisteredHostTimeout;
    });
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
