#pragma once

#include "../../Base/Clock.h"
#include "../../Base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>
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
///
/// The hosts of a large data centre are divided into cells. All hosts of a cell exchange beats, and the leader of each
/// cell, its live host with the lowest id, exchanges beats with the leaders of the other cells. The leader of the data
/// centre is thus the cell leader with the lowest id, and hears of all hosts that have a lower one.
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
    /// Records that the registration has ended; the host is kept for a while, and as long as its beats arrive.
    void unregister(const HostId& host, TimePoint now);
    /// \param leaving The host shuts down.
    /// \param leadsCell The host says that it leads its cell.
    void recordBeat(const RegisteredHost& host, bool leaving, bool leadsCell, TimePoint now);
    /// Records whether the store answers the calls of a host, as its beat says.
    void recordStoreReach(const HostId& host, bool isLost);
    /// Records whether this host shuts down; it then leads only if there is no other live host.
    void setLeaving(bool leaving) { m_leaving = leaving; }
    /// Records a beat from the leader of another data centre, received directly or through a host of this one.
    void recordRemoteBeat(const DataCentreId& dataCentre, TimePoint now) { m_remoteBeatAt[dataCentre] = now; }
    /// Removes hosts that have been unregistered for a while and have sent no beat meanwhile.
    void expire(TimePoint now);

    struct Host {
        RegisteredHost registration;
        /// Cell of a host of this data centre.
        std::uint32_t cell = 0;
        bool registered = false;
        bool leaving = false;
        bool leadsCell = false;
        bool storeLost = false;
        TimePoint addedAt {};
        TimePoint unregisteredAt {};
        TimePoint lastBeatAt {};
    };

    const std::map<HostId, Host>& hosts() const { return m_hosts; }
    /// \return Number of hosts, this one included, at least 1.
    std::size_t size() const { return m_hosts.size() + 1; }
    /// \return Number of hosts of this data centre, this one included.
    std::size_t dataCentreSize() const;
    bool alive(const HostId& host, TimePoint now) const;
    bool isLocal(const HostId& host) const;
    /// \return Number of cells of this data centre, by its known hosts.
    std::uint32_t cells() const { return m_cells; }
    std::uint32_t ownCell() const { return m_ownCell; }
    /// \return Whether a host belongs to the cell of this one, by id; false for hosts of other data centres.
    bool inOwnCell(const HostId& host) const;
    /// \return The lowest id among this host and the live hosts of its cell that aren't leaving.
    HostId cellLeader(TimePoint now) const;
    bool leadsCell(TimePoint now) const { return cellLeader(now) == m_self; }
    /// \return The hosts of another cell whose recent beats say that they lead it, ordered; several for a while, or as
    ///     long as hosts of that cell don't hear each other.
    std::vector<HostId> leadersOf(std::uint32_t cell, TimePoint now) const;
    /// \return The hosts of another cell to send beats to: its leaders or, while none is known, a few of its hosts by
    ///     turns.
    std::vector<HostId> cellRecipients(std::uint32_t cell, TimePoint now) const;
    /// \return The host that exchanges beats with other data centres: the lowest id among this host and the live hosts
    ///     of its data centre that aren't leaving.
    HostId leader(TimePoint now) const;
    bool isLeader(TimePoint now) const { return leader(now) == m_self; }
    /// \brief Whether this host watches the store for its data centre: the leader and, so that changes are known
    ///     without delay while that one is cut off or has just ended, the next one. Those that the store turns away
    ///     don't count, so that others take their place.
    bool readsStore(TimePoint now) const;
    /// \return Whether this host is the first one of those that watch the store.
    bool readsStoreFirst(TimePoint now) const;
    /// \return Whether this host is the leader of the live data centre with the lowest id. Hosts that don't hear each
    ///     other may both be.
    bool leadsFleet(TimePoint now) const;
    /// \return The hosts of another data centre to send beats to: its leader, which is the host whose beat arrived
    ///     last, or all its hosts while no beats arrive.
    std::vector<HostId> beatRecipients(const DataCentreId& dataCentre, TimePoint now) const;
    /// \return Whether this host sends placement orders to the runners of a data centre: as its leader or, while that
    ///     data centre has no hosts, as leader of the live data centre with the lowest id. Two hosts may both get true
    ///     for a while; runners refuse an order whose expected number of earlier orders doesn't match.
    bool ordersPlacement(const DataCentreId& dataCentre, TimePoint now) const;
    bool hasHosts(const DataCentreId& dataCentre) const;
    /// \return Number of hosts of this cell for each one that lives, this host included in both; at least 1.
    double cellHostsPerHeard(TimePoint now) const;
    bool remoteAlive(const DataCentreId& dataCentre, TimePoint now) const;

private:
    void updateCells();
    /// \return Whether this host is one of the first `readers` that may watch the store.
    bool isAmongReaders(std::ptrdiff_t readers, TimePoint now) const;
    /// \return The lowest id among this host and the known hosts that `eligible` accepts, live and not leaving.
    HostId lowestLive(const std::function<bool(const Host&)>& eligible, TimePoint now) const;

    HostId m_self;
    DataCentreId m_dataCentre;
    /// All hosts but this one.
    std::map<HostId, Host> m_hosts;
    std::uint32_t m_cells = 1;
    std::uint32_t m_ownCell = 0;
    bool m_leaving = false;
    /// Arrival of the last beat of each other data centre.
    std::map<DataCentreId, TimePoint> m_remoteBeatAt;
};

} // namespace fuchsialb
