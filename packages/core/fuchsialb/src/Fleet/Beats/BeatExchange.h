#pragma once

#include "../Admission/RequestRateAdmission.h"
#include "../Configuration/ConfigurationInForce.h"
#include "../Directory/DirectoryView.h"
#include "../Directory/HostCells.h"
#include "../Directory/HostDirectory.h"
#include "../Directory/RunnerDirectory.h"
#include "../Directory/StoreReach.h"
#include "../Recovery/CrashEvidence.h"
#include "HostBeat.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace fuchsialb {

/// \brief Creates the heartbeats ("beats") to other hosts and processes received ones.
///
/// All hosts of a cell exchange beats. Between the cells of a data centre only the leaders of the cells do, with the
/// total load of their cell, so that the beats of a host grow with the square root of the hosts. Between data centres
/// only the leaders of the data centres do, with the total load of their data centre, since traffic between data
/// centres is expensive. Beats carry the load (so that all hosts admit against the same total), runners found dead or
/// leaving (so that other hosts needn't detect them by failed requests), and the proof that a configuration is the
/// newest (so that a host cut off from the store can still trust its configuration). Limits on requests that runners
/// have named go to all hosts, with the demand for these runners as a part of the load, and so does the use of the
/// retry budget.
///
/// Beats to all hosts carry the reports of crashes, to a host whose reports differ; a host that has learnt of a crash
/// sends its beats at once.
///
/// Beats inside a data centre also carry changes of the registry and of the list of hosts, from the hosts that watch
/// the store to the leaders of cells and from there to their cells.
///
/// A host that learns of a newer configuration and doesn't get it from the store asks one other host at a time for a
/// copy. Each host sends one copy at a time, so that copies take a bounded part of its link.
class BeatExchange {
public:
    struct State {
        const HostId& self;
        const DataCentreId& dataCentre;
        /// "IP:port" at which this host receives beats.
        std::string address;
        HostDirectory& hosts;
        LoadLedger& ledger;
        RunnerDirectory& runners;
        ConfigurationInForce& configuration;
        DirectoryView& runnersView;
        DirectoryView& hostsView;
        CrashEvidence& crashes;
        RequestRateLimits& rateLimits;
        const RequestRateAdmission& rateAdmission;
        const StoreReach& storeReach;
    };

    /// Called with what another host has passed on.
    struct Hooks {
        /// Changes of a prefix of the store.
        std::function<void(const HostId& from, const DirectoryUpdate& update)> onRunnersChanged;
        std::function<void(const HostId& from, const DirectoryUpdate& update)> onHostsChanged;
        /// Called for a runner that counts as draining since the beat of another host, ahead of the registry.
        std::function<void(const HostId& from, const RunnerLeaving& leaving)> onRunnerLeaving;
        /// Called for a limit on requests that has changed since the beat of another host.
        std::function<void(const HostId& from, const RequestRateLimit& limit)> onRateLimitChanged;
    };

    struct Outgoing {
        HostId to;
        std::string address;
        HostBeat beat;
    };

    explicit BeatExchange(State state, Hooks hooks = {})
        : m_state(std::move(state))
        , m_hooks(std::move(hooks))
    {
    }

    /// \param bootNow Time of a clock that also runs while the host is suspended.
    /// \param configurationText Source text of the configuration in force.
    /// \return Beats to send now.
    std::vector<Outgoing> dueBeats(TimePoint now, Duration bootNow, bool leaving, const std::string& configurationText);

    /// \brief A configuration newer than the one in force.
    struct ConfigurationUpdate {
        std::string configurationText;
        /// Last time at which it is proven to have been the newest.
        Duration provenAt { 0 };
    };

    /// \brief Processes a beat of another host.
    /// \return The newer configuration in the beat, if any; the caller decodes and accepts it.
    std::optional<ConfigurationUpdate> receive(const HostId& from, HostBeat beat, TimePoint now);
    /// \return The newest version of the configuration that another host has.
    ConfigurationVersion newestConfiguration() const;

private:
    static constexpr std::size_t maxSentTimes = 64;

    struct Peer {
        /// Sequence of the last beat to the peer.
        std::uint64_t sent = 0;
        /// Sequence of the last beat from the peer.
        std::uint64_t received = 0;
        std::array<Duration, maxSentTimes> sentAt {};
        TimePoint nextBeatAt {};
        ConfigurationVersion configuration;
        /// The peer's views of the store.
        StoreEra era;
        KeyVersion runnersVersion;
        KeyVersion hostsVersion;
        /// The last beat of the peer has asked for a copy of a newer configuration.
        bool wantsConfiguration = false;
        TimePoint configurationSentAt {};
        /// Digest of the crash reports that the peer has.
        std::uint64_t crashDigest = 0;
        /// Reports of crashes that had been added when the last beat was sent.
        std::uint64_t crashesSent = 0;
    };

    enum class Distance : unsigned char {
        OwnCell,
        OtherCell,
        OtherDataCentre,
    };

    /// A runner that another host found dead.
    struct RelayedSuspicion {
        TimePoint until {};
        /// Where the finding came from; it is passed on to the other side only.
        Distance from = Distance::OwnCell;
    };

    Distance distance(const HostId& host) const;
    /// \return The hosts that this one sends beats to.
    std::set<HostId> recipients(TimePoint now) const;
    HostBeat makeBeat(
        const HostId& to, Peer& peer, TimePoint now, Duration bootNow, bool leaving, const std::string& text);
    void addLoads(HostBeat& beat, Distance to, TimePoint now) const;
    void addDirectories(HostBeat& beat, const Peer& peer, Distance to, TimePoint now, Duration bootNow) const;
    void receiveDirectories(const HostId& from, const HostBeat& beat, Duration echoedAt);
    void addSuspicions(HostBeat& beat, Distance to, TimePoint now) const;
    void receiveLeavingRunners(const HostId& from, const HostBeat& beat);
    void receiveRateLimits(const HostId& from, const HostBeat& beat, TimePoint now);
    /// \return The limits on requests of the runners in the registry, without those of their former processes.
    std::vector<RequestRateLimit> currentRateLimits(TimePoint now) const;
    /// Lets the load of this host tell its demand for the runners that have named a limit on requests.
    void updateDemand(TimePoint now);
    void receiveLoads(const HostId& from, HostBeat& beat, TimePoint now);
    /// Takes the load of all other cells from the leader of this one.
    void receiveOtherCells(const HostId& from, HostBeat& beat, TimePoint now);
    /// Takes the load of another cell from its leader.
    void receiveCell(const HostId& from, HostBeat& beat, TimePoint now);
    void removeSilentPeers(TimePoint now);
    /// Removes loads of other cells that are out of date or that another host reports now.
    void removeSilentCells(TimePoint now);
    /// Asks one of the recipients for a copy of its newer configuration, if this host doesn't get it from the store.
    void requestConfiguration(std::vector<Outgoing>& beats, TimePoint now);

    State m_state;
    Hooks m_hooks;
    std::map<HostId, Peer> m_peers;
    /// Arrival of the last beat from each other data centre.
    std::map<DataCentreId, TimePoint> m_remoteBeatAt;
    /// Arrival of the last load of each other data centre through another cell.
    std::map<DataCentreId, TimePoint> m_remoteRelayAt;
    /// Arrival of the last load of each other cell.
    std::map<std::uint32_t, TimePoint> m_cellBeatAt;
    /// Number of cells that the indices in `m_cellBeatAt` refer to.
    std::uint32_t m_cells = 1;
    /// The last load of all other cells through the leader of this one, and its arrival.
    HostLoad m_otherCells;
    TimePoint m_otherCellsAt {};
    std::map<EndpointId, RelayedSuspicion> m_relayedSuspicions;
    /// Since when other hosts are known to have a newer configuration than this one.
    std::optional<TimePoint> m_outdatedSince;
    /// The host that is asked for a copy of the configuration, and until when.
    HostId m_configurationSource;
    TimePoint m_configurationSourceUntil {};
    std::uint64_t m_configurationRequests = 0;
    TimePoint m_nextConfigurationCopyAt {};
};

} // namespace fuchsialb
