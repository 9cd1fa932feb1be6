#include "HostBoard.h"

#include <algorithm>
#include <utility>

namespace fuchsialb {

void HostBoard::replaceAll(const std::vector<RegisteredHost>& hosts)
{
    m_hosts.clear();
    for (const RegisteredHost& host : hosts)
        put(host);
}

void HostBoard::put(RegisteredHost host)
{
    const HostId id = host.host;
    m_hosts[id] = std::move(host);
}

std::size_t HostBoard::count(const DataCentreId& dataCentre) const
{
    return static_cast<std::size_t>(std::count_if(
        m_hosts.begin(), m_hosts.end(), [&](const auto& item) { return item.second.dataCentre == dataCentre; }));
}

HostId HostBoard::orderGiver(const DataCentreId& dataCentre) const
{
    for (const auto& [id, host] : m_hosts) {
        if (host.dataCentre == dataCentre)
            return id;
    }
    return m_hosts.empty() ? HostId() : m_hosts.begin()->first;
}

} // namespace fuchsialb
