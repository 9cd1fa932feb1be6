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

/// \brief The hosts of the system: by their registrations, and by their beats where those arrive.
///
/// Registrations lapse while the store is away or a data centre is cut off, and hosts that are gone stay registered for
/// a while. So a host counts as alive by its beats alone, once it had time to send one; registrations only say where
/// hosts are.
class HostDirectory {
public:
    HostDirectory(HostId self, DataCentreId dataCentre)
        : m_self(std::move(self))
        , m_dataCentre(std::move(dataCentre))
    {
    }

    /// Takes the registrations of a fresh listing.
    void replaceAll(const std::vector<RegisteredHost>& hosts, TimePoint now);
    void put(const RegisteredHost& host, TimePoint now);
    /// The registration is gone; the host is kept for as long as beats arrive.
    void unregister(const HostId& host);
    void recordBeat(const RegisteredHost& host, bool leaving, TimePoint now);
    /// A beat from another data centre's leading host arrived, directly or passed on.
    void recordRemoteBeat(const DataCentreId& dataCentre, TimePoint now) { m_remoteBeats[dataCentre] = now; }
    /// Drops hosts that are neither registered nor heard of.
    void expire(TimePoint now);

    struct Host {
        RegisteredHost registration;
        bool registered = false;
        bool leaving = false;
        TimePoint addedAt {};
        TimePoint heardAt {};
    };

    const std::map<HostId, Host>& hosts() const { return m_hosts; }
    /// \return Number of hosts, this one included, at least 1.
    std::size_t size() const { return m_hosts.size() + 1; }
    bool alive(const HostId& host, TimePoint now) const;
    /// \return The host that speaks for this data centre towards others: the lowest id of those alive and not leaving.
    HostId leader(TimePoint now) const;
    bool isLeader(TimePoint now) const { return leader(now) == m_self; }
    /// \return The hosts of another data centre to send beats to: its leading host, which is the one heard of last, or
    ///     all of them while none is heard.
    std::vector<HostId> beatRecipients(const DataCentreId& dataCentre, TimePoint now) const;
    /// \return Whether this host gives the orders to the runners of a data centre: it leads that one, or leads the
    ///     first one that is alive while that one has no host. Two hosts may each think so for a while; orders are
    ///     refused by their expectation.
    bool ordersPlacement(const DataCentreId& dataCentre, TimePoint now) const;
    bool hasHosts(const DataCentreId& dataCentre) const;
    bool remoteAlive(const DataCentreId& dataCentre, TimePoint now) const;

private:
    HostId m_self;
    DataCentreId m_dataCentre;
    /// All but this one.
    std::map<HostId, Host> m_hosts;
    std::map<DataCentreId, TimePoint> m_remoteBeats;
};

} // namespace fuchsialb
