#include "PeerPull.h"

#include "../Base/Hash.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace fuchsialb::internal {

namespace {

    /// How long a peer that failed is avoided while others are ahead too.
    constexpr Duration avoidTime = std::chrono::seconds(5);

} // namespace

PeerPull::PeerPull(HostId self, DataCentreId dataCentre, const SpreadOptions& options)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_timeout(options.pullTimeout)
{
}

void PeerPull::setMembers(const std::vector<Member>& members)
{
    m_peers.clear();
    for (const Member& member : members) {
        if (member.host != m_self && member.configuration > ConfigurationVersion())
            m_peers.push_back({ member.host, member.configuration, member.dataCentre == m_dataCentre });
    }
    // Each host has its own order among equals, so that a burst of pulls is spread over all peers that are ahead.
    const std::uint64_t seed = hash64(m_self.value());
    const auto better = [seed](const Peer& a, const Peer& b) {
        if (a.version != b.version)
            return a.version > b.version;
        if (a.local != b.local)
            return a.local;
        return hash64(a.host.value(), seed) > hash64(b.host.value(), seed);
    };
    std::sort(m_peers.begin(), m_peers.end(), better);
}

ConfigurationVersion PeerPull::newest() const
{
    return m_peers.empty() ? ConfigurationVersion() : m_peers.front().version;
}

std::optional<PeerPull::Peer> PeerPull::choose(ConfigurationVersion above, TimePoint now) const
{
    std::optional<Peer> avoided;
    for (const Peer& peer : m_peers) {
        if (peer.version <= above)
            break;
        const auto failed = m_avoid.find(peer.host);
        if (failed == m_avoid.end() || failed->second <= now)
            return peer;
        if (!avoided || failed->second < m_avoid.at(avoided->host))
            avoided = peer;
    }
    return avoided;
}

void PeerPull::fail(TimePoint now)
{
    std::erase_if(m_avoid, [now](const auto& item) { return item.second <= now; });
    m_avoid[m_peer->host] = now + avoidTime;
    m_peer.reset();
}

std::optional<ConfigSend> PeerPull::next(VersionHolder& holder, TimePoint now)
{
    if (m_peer && m_peer->version <= holder.number())
        m_peer.reset();
    if (m_peer && m_asked && now >= m_until)
        fail(now);
    if (!m_peer) {
        m_peer = choose(holder.number(), now);
        m_asked = false;
    }
    if (!m_peer || m_asked)
        return std::nullopt;
    m_asked = true;
    m_until = now + m_timeout;
    return ConfigSend { m_peer->host, holder.next(m_peer->version) };
}

VersionHolder::Offer PeerPull::onChunk(
    const HostId& from, const ConfigChunk& chunk, VersionHolder& holder, TimePoint now)
{
    if (!m_peer || m_peer->host != from)
        return VersionHolder::Offer::Ignored;
    const VersionHolder::Offer offer = holder.offer(chunk);
    switch (offer) {
    case VersionHolder::Offer::Ignored:
        break;
    case VersionHolder::Offer::Progress:
        // The peer may have gone on to a newer version meanwhile.
        m_peer->version = chunk.version;
        m_asked = false;
        break;
    case VersionHolder::Offer::Installed:
        m_peer.reset();
        break;
    case VersionHolder::Offer::Refused:
        fail(now);
        break;
    }
    return offer;
}

} // namespace fuchsialb::internal
