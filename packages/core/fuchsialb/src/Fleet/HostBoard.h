#pragma once

#include "../Base/Clock.h"
#include "../Base/Ids.h"

#include <map>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief A host of the system as it registered itself.
struct RegisteredHost {
    HostId host;
    DataCentreId dataCentre;
    /// "IP:port" for messages of other hosts.
    std::string address;

    bool operator==(const RegisteredHost&) const = default;
};

/// \brief The hosts of the system by their registrations.
class HostBoard {
public:
    void replaceAll(const std::vector<RegisteredHost>& hosts);
    void put(RegisteredHost host);
    void remove(const HostId& host) { m_hosts.erase(host); }

    const std::map<HostId, RegisteredHost>& hosts() const { return m_hosts; }
    std::size_t count(const DataCentreId& dataCentre) const;
    /// \return The host that gives orders to the runners of a data centre: the lowest id of its own hosts, or of all
    ///     hosts when it has none. Two hosts may each think so for a while; orders are refused by their expectation.
    HostId orderGiver(const DataCentreId& dataCentre) const;

private:
    std::map<HostId, RegisteredHost> m_hosts;
};

} // namespace fuchsialb
