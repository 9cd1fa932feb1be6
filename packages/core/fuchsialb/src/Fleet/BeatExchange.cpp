#include "BeatExchange.h"

#include <algorithm>
#include <utility>

namespace fuchsialb {

namespace {

    // Loads change by about one request in this time; a shorter period costs processor time and gains little.
    constexpr Duration localPeriod = std::chrono::milliseconds(200);
    constexpr Duration remotePeriod = std::chrono::milliseconds(500);
    // Time for a sent configuration to arrive before it is sent again.
    constexpr Duration textRepeat = std::chrono::milliseconds(800);

} // namespace

HostBeat BeatExchange::beatTo(
    Peer& peer, bool local, TimePoint now, Duration bootNow, bool leaving, const std::string& text)
{
    HostBeat beat;
    beat.sequence = ++peer.sent;
    peer.sentAt[beat.sequence % rememberedSends] = bootNow;
    beat.echo = peer.received;
    beat.dataCentre = m_state.dataCentre;
    beat.address = m_state.address;
    beat.leaving = leaving;
    beat.configuration = m_state.configuration.version();
    beat.proofAge = std::max(Duration(0), bootNow - m_state.configuration.provenAt());
    if (peer.known && peer.configuration < beat.configuration && now - peer.textSentAt >= textRepeat) {
        beat.configurationText = text;
        peer.textSentAt = now;
    }
    beat.load = local ? m_state.ledger.own() : m_state.ledger.dataCentreTotal();
    if (!local)
        return beat;
    for (const auto& [dataCentre, load] : m_state.ledger.remote()) {
        // Only what was heard directly is passed on, so that old loads don't circulate.
        if (const auto heard = m_remoteHeard.find(dataCentre);
            heard != m_remoteHeard.end() && now - heard->second < remotePeriod * 3)
            beat.remote.push_back({ dataCentre, load });
    }
    for (const auto& [id, runner] : m_state.runners.runners()) {
        if (runner.markedDeadLocally && now < runner.suspendedUntil)
            beat.suspicions.push_back({ id, runner.suspendedUntil - now });
    }
    return beat;
}

std::vector<BeatExchange::Outgoing> BeatExchange::due(
    TimePoint now, Duration bootNow, bool leaving, const std::string& configurationText)
{
    m_state.hosts.expire(now);
    dropSilent(now);
    const bool leads = m_state.hosts.leads(now);
    std::vector<Outgoing> list;
    for (const auto& [id, host] : m_state.hosts.hosts()) {
        const DataCentreId& place = host.registration.dataCentre;
        const bool local = place == m_state.dataCentre;
        if (!local) {
            const std::vector<HostId> speakers = leads ? m_state.hosts.speakersOf(place, now) : std::vector<HostId>();
            if (std::find(speakers.begin(), speakers.end(), id) == speakers.end())
                continue;
        }
        Peer& peer = m_peers[id];
        if (now < peer.dueAt)
            continue;
        peer.dueAt = now + (local ? localPeriod : remotePeriod);
        list.push_back(
            { id, host.registration.address, beatTo(peer, local, now, bootNow, leaving, configurationText) });
    }
    return list;
}

void BeatExchange::dropSilent(TimePoint now)
{
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        const bool listed = m_state.hosts.hosts().contains(peer->first);
        if (listed && m_state.hosts.alive(peer->first, now)) {
            ++peer;
            continue;
        }
        // Requests of a host that is gone end with their connections.
        m_state.ledger.removePeer(peer->first);
        peer = listed ? std::next(peer) : m_peers.erase(peer);
    }
    std::vector<DataCentreId> silent;
    for (const auto& [dataCentre, load] : m_state.ledger.remote()) {
        if (!m_state.hosts.remoteAlive(dataCentre, now))
            silent.push_back(dataCentre);
    }
    for (const DataCentreId& dataCentre : silent)
        m_state.ledger.removeRemote(dataCentre);
}

std::optional<BeatExchange::News> BeatExchange::take(const HostId& from, HostBeat beat, TimePoint now)
{
    Peer& peer = m_peers[from];
    peer.received = beat.sequence;
    peer.configuration = beat.configuration;
    peer.known = true;
    const bool local = beat.dataCentre == m_state.dataCentre;
    m_state.hosts.beat({ from, beat.dataCentre, beat.address }, beat.leaving, now);
    if (local) {
        m_state.ledger.setPeer(from, std::move(beat.load));
        for (DataCentreLoad& remote : beat.remote) {
            m_state.ledger.setRemote(remote.dataCentre, std::move(remote.load));
            m_state.hosts.remoteBeat(remote.dataCentre, now);
        }
        for (const RunnerSuspicion& suspicion : beat.suspicions)
            m_state.runners.markDeadByPeer(suspicion.runner, now, suspicion.left);
    } else {
        m_state.ledger.setRemote(beat.dataCentre, std::move(beat.load));
        m_state.hosts.remoteBeat(beat.dataCentre, now);
        m_remoteHeard[beat.dataCentre] = now;
    }
    // The peer sent this beat after it had received the echoed one, so what it says was true no earlier than that one
    // was sent, less the age that it states.
    const bool echoed = beat.echo > 0 && beat.echo <= peer.sent && peer.sent - beat.echo < rememberedSends;
    if (!echoed)
        return std::nullopt;
    const Duration provenAt = peer.sentAt[beat.echo % rememberedSends] - beat.proofAge;
    m_state.configuration.confirm(beat.configuration, provenAt);
    if (beat.configurationText.empty() || beat.configuration <= m_state.configuration.version())
        return std::nullopt;
    return News { std::move(beat.configurationText), provenAt };
}

} // namespace fuchsialb
