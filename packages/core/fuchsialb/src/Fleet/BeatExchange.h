#pragma once

#include "ConfigurationInForce.h"
#include "HostBeat.h"
#include "HostDirectory.h"
#include "RunnerDirectory.h"

#include <array>
#include <map>
#include <optional>

namespace fuchsialb {

/// \brief Decides what hosts tell each other and takes in what they say.
///
/// All hosts of a data centre exchange beats; between data centres only the leading hosts do, with loads in sum, since
/// bytes across are dear. Beats carry the load (so that all admit against the same sum), runners found dead (so that
/// one host's finding saves the others theirs), and the proof that a configuration is the newest (so that a host cut
/// off from the store goes on through its peers).
class BeatExchange {
public:
    struct State {
        const HostId& self;
        const DataCentreId& dataCentre;
        /// "IP:port" of this host for beats.
        std::string address;
        HostDirectory& hosts;
        LoadLedger& ledger;
        RunnerDirectory& runners;
        ConfigurationInForce& configuration;
    };

    struct Outgoing {
        HostId to;
        std::string address;
        HostBeat beat;
    };

    explicit BeatExchange(State state)
        : m_state(std::move(state))
    {
    }

    /// \param bootNow Time on a clock that goes on while the host is suspended.
    /// \param configurationText The configuration in force as it was read.
    /// \return Beats to send now.
    std::vector<Outgoing> dueBeats(TimePoint now, Duration bootNow, bool leaving, const std::string& configurationText);

    /// \brief A configuration that is newer than the one in force, and when it was known to be the newest.
    struct ConfigurationUpdate {
        std::string configurationText;
        Duration provenAt { 0 };
    };

    /// \return A newer configuration, to be decoded and accepted.
    std::optional<ConfigurationUpdate> receive(const HostId& from, HostBeat beat, TimePoint now);

private:
    static constexpr std::size_t rememberedSends = 64;

    struct Peer {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
        std::array<Duration, rememberedSends> sentAt {};
        TimePoint dueAt {};
        ConfigurationVersion configuration;
        bool known = false;
        TimePoint textSentAt {};
    };

    HostBeat beatTo(Peer& peer, bool local, TimePoint now, Duration bootNow, bool leaving, const std::string& text);
    void dropSilent(TimePoint now);

    State m_state;
    std::map<HostId, Peer> m_peers;
    /// When the last beat from the leading host of another data centre arrived.
    std::map<DataCentreId, TimePoint> m_remoteHeard;
};

} // namespace fuchsialb
