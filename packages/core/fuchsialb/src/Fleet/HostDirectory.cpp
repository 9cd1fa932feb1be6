#include "HostDirectory.h"

#include <algorithm>
#include <utility>

namespace fuchsialb {

namespace {

    // Several beats may be lost or late before a host counts as dead.
    constexpr Duration beatTimeout = std::chrono::milliseconds(1200);
    // A host that has just become known needs a connection before its first beat arrives.
    constexpr Duration firstBeat = std::chrono::milliseconds(2500);
    // Loads of another data centre come at a lower rate.
    constexpr Duration remoteTimeout = std::chrono::seconds(3);
    constexpr Duration forgetAfter = std::chrono::seconds(10);

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
    known.heardAt = now;
}

void HostDirectory::expire(TimePoint now)
{
    std::erase_if(
        m_hosts, [&](const auto& item) { return !item.second.registered && now - item.second.heardAt >= forgetAfter; });
}

bool HostDirectory::alive(const HostId& host, TimePoint now) const
{
    if (host == m_self)
        return true;
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return false;
    const Host& known = found->second;
    return now - known.heardAt < beatTimeout || (known.registered && now - known.addedAt < firstBeat);
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
    std::vector<HostId> all;
    const Host* latest = nullptr;
    for (const auto& [id, host] : m_hosts) {
        if (host.registration.dataCentre != dataCentre || host.leaving)
            continue;
        all.push_back(id);
        if (now - host.heardAt < remoteTimeout && (!latest || host.heardAt > latest->heardAt))
            latest = &host;
    }
    return latest ? std::vector<HostId> { latest->registration.host } : all;
}

bool HostDirectory::hasHosts(const DataCentreId& dataCentre) const
{
    return dataCentre == m_dataCentre || std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto& item) {
        return item.second.registration.dataCentre == dataCentre;
    });
}

bool HostDirectory::remoteAlive(const DataCentreId& dataCentre, TimePoint now) const
{
    const auto found = m_remoteBeats.find(dataCentre);
    return found != m_remoteBeats.end() && now - found->second < remoteTimeout;
}

bool HostDirectory::ordersPlacement(const DataCentreId& dataCentre, TimePoint now) const
{
    if (!isLeader(now))
        return false;
    if (dataCentre == m_dataCentre)
        return true;
    if (hasHosts(dataCentre))
        return false;
    return std::none_of(m_remoteBeats.begin(), m_remoteBeats.end(),
        [&](const auto& item) { return item.first < m_dataCentre && remoteAlive(item.first, now); });
}

} // namespace fuchsialb
