#pragma once

#include "ConfigurationSpread.h"
#include "VersionHolder.h"

#include <map>
#include <optional>
#include <vector>

namespace fuchsialb::internal {

/// \brief Pulls the newest version that a peer has, chunk by chunk, and turns to another peer when one fails.
class PeerPull {
public:
    PeerPull(HostId self, DataCentreId dataCentre, const SpreadOptions& options);

    void setMembers(const std::vector<Member>& members);
    /// \return The highest version that a peer shows.
    ConfigurationVersion newest() const;
    /// Chooses a peer and a version when none is being pulled, handles the timeout, and asks for the next chunk.
    std::optional<ConfigSend> next(VersionHolder& holder, TimePoint now);
    /// \return Whether the chunk came from the peer that was asked; it then was offered to `holder`.
    VersionHolder::Offer onChunk(const HostId& from, const ConfigChunk& chunk, VersionHolder& holder, TimePoint now);
    bool active() const { return m_peer.has_value(); }
    void abandon() { m_peer.reset(); }

private:
    struct Peer {
        HostId host;
        ConfigurationVersion version;
        bool local = false;
    };

    std::optional<Peer> choose(ConfigurationVersion above, TimePoint now) const;
    void fail(TimePoint now);

    HostId m_self;
    DataCentreId m_dataCentre;
    Duration m_timeout;
    /// Members with a configuration, best source first: by version, own data centre, then by hash.
    std::vector<Peer> m_peers;
    /// Peers that failed, until when they are avoided.
    std::map<HostId, TimePoint> m_avoid;
    std::optional<Peer> m_peer;
    TimePoint m_until;
    bool m_asked = false;
};

} // namespace fuchsialb::internal
