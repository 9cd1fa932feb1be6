#pragma once

#include "../Base/Clock.h"
#include "../Base/Ids.h"

#include <map>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief Registration of a host in the store.
struct RegisteredHost {
    HostId host;
    DataCentreId dataCentre;
    /// "IP:port" for messages from other hosts.
    std::string address;

    bool operator==(const RegisteredHost&) const = default;
};

/// \brief The hosts of the system, known by registration or by heartbeat ("beat").
///
/// Registrations expire while the store is down or a data centre is partitioned from it, and dead hosts stay registered
/// for a while. Registrations therefore only tell the addresses of hosts; liveness depends on beats alone once a host
/// had time to send its first one.
class HostDirectory {
public:
    HostDirectory(HostId self, DataCentreId dataCentre)
        : m_self(std::move(self))
        , m_dataCentre(std::move(dataCentre))
    {
    }

    /// Replaces all registrations by those of a complete listing.
    void replaceAll(const std::vector<RegisteredHost>& hosts, TimePoint now);
    void put(const RegisteredHost& host, TimePoint now);
    /// Records that the registration has ended; the host is kept as long as its beats arrive.
    void unregister(const HostId& host);
    /// \param leaving The host shuts down.
    void recordBeat(const RegisteredHost& host, bool leaving, TimePoint now);
    /// Records a beat from the leader of another data centre, received directly or through a host of this one.
    void recordRemoteBeat(const DataCentreId& dataCentre, TimePoint now) { m_remoteBeatAt[dataCentre] = now; }
    /// Removes hosts that are unregistered and have sent no beat for a while.
    void expire(TimePoint now);

    struct Host {
        RegisteredHost registration;
        bool registered = false;
        bool leaving = false;
        TimePoint addedAt {};
        TimePoint lastBeatAt {};
    };

    const std::map<HostId, Host>& hosts() const { return m_hosts; }
    /// \return Number of hosts, this one included, at least 1.
    std::size_t size() const { return m_hosts.size() + 1; }
    bool alive(const HostId& host, TimePoint now) const;
    /// \return The host that exchanges beats with other data centres: the lowest id among this host and the live hosts
    ///     of its data centre that aren't leaving.
    HostId leader(TimePoint now) const;
    bool isLeader(TimePoint now) const { return leader(now) == m_self; }
    /// \return The hosts of another data centre to send beats to: its leader, which is the host whose beat arrived
    ///     last, or all its hosts while no beats arrive.
    std::vector<HostId> beatRecipients(const DataCentreId& dataCentre, TimePoint now) const;
    /// \return Whether this host sends placement orders to the runners of a data centre: as its leader or, while that
    ///     data centre has no hosts, as leader of the live data centre with the lowest id. Two hosts may both get true
    ///     for a while; runners refuse an order whose expected number of earlier orders doesn't match.
    bool ordersPlacement(const DataCentreId& dataCentre, TimePoint now) const;
    bool hasHosts(const DataCentreId& dataCentre) const;
    bool remoteAlive(const DataCentreId& dataCentre, TimePoint now) const;

private:
    HostId m_self;
    DataCentreId m_dataCentre;
    /// All hosts but this one.
    std::map<HostId, Host> m_hosts;
    /// Arrival of the last beat of each other data centre.
    std::map<DataCentreId, TimePoint> m_remoteBeatAt;
};

} // namespace fuchsialb
