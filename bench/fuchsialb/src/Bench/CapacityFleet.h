#pragma once

#include "fuchsialb/Control.h"
#include "fuchsialb/Member.h"
#include "fuchsialb/Wire.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fuchsialb::bench {

/// \brief Daemons reduced to membership and configuration spread, on one clock, joined by sealed messages without
/// faults, and a store that answers in 4 ms.
class CapacityFleet {
public:
    /// What one daemon has used since the last `resetCounts`.
    struct Host {
        HostId id;
        DataCentreId dataCentre;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<ConfigurationSpread> spread;
        std::vector<GroupLoad> loads;
        std::uint64_t sequence = 0;
        std::uint64_t membersRevision = 0;
        double bytes = 0;
        double messages = 0;
        double storeCalls = 0;
        double configBytes = 0;
        /// CPU microseconds of the modules and of sealing and opening.
        double cpu = 0;
    };

    /// \param spreads Whether the daemons also watch and pull the configuration.
    explicit CapacityFleet(bool spreads)
        : m_spreads(spreads)
    {
        m_clock.advance(std::chrono::hours(1));
    }

    /// Adds a data centre of `hosts` daemons whose first ones schedule `groups` groups in turn.
    void addDataCentre(std::uint32_t hosts, std::uint32_t groups);
    /// Gives each daemon the list of all hosts.
    void publishHostList();
    /// Writes a configuration to the store as an operator does.
    void publish(const Configuration& configuration);
    void runFor(Duration time);
    void resetCounts();

    std::vector<Host*> hostsOf(std::uint32_t dataCentre);
    /// \return The two bridges of a data centre.
    std::vector<HostId> bridges(std::uint32_t dataCentre);
    /// \return Bytes that the membership of a daemon holds; ends the membership.
    static double membershipBytes(Host& host);

private:
    void at(Duration delay, std::function<void()> action) { m_due.emplace(m_clock.now() + delay, std::move(action)); }
    void tick(Host& host);
    void send(Host& host);
    void deliver(Host& host, const HostId& from, const PeerMessage& message);
    void transmit(Host& host, const HostId& to, const PeerMessage& message);
    void askStore(Host& host, const ControlOperation& operation);
    StoreAnswer read(const std::string& key, StoreOperationId operation) const;
    void pollWatch(Host& host, const StoreWatch& watch, TimePoint until);

    bool m_spreads;
    ManualClock m_clock;
    Random m_random { 1 };
    EnvelopeKeys m_keys { "fleet", std::string(32, 'k'), "" };
    std::map<HostId, Host> m_hosts;
    std::uint32_t m_dataCentres = 0;
    std::uint32_t m_groups = 0;
    std::map<std::string, StoreAnswer> m_store;
    std::multimap<TimePoint, std::function<void()>> m_due;
};

} // namespace fuchsialb::bench
