#include "BeatExchange.h"

#include "../Member/Membership.h"

#include <algorithm>
#include <utility>

namespace fuchsialb {

namespace {

    // A load changes by about one request in this time; a shorter period costs processor time for little gain.
    constexpr Duration localBeatPeriod = std::chrono::milliseconds(200);
    constexpr Duration remoteBeatPeriod = std::chrono::milliseconds(500);
    // A host that reaches the store has read a new configuration within this time after the first other host.
    constexpr Duration configurationReadTime = std::chrono::milliseconds(800);
    // Time in which a host sends the copy that it was asked for; another host is asked afterwards.
    constexpr Duration configurationSourceTime = std::chrono::milliseconds(600);
    // Copies to several hosts follow each other at this distance, since one can take half of it on a slow link.
    constexpr Duration configurationCopyInterval = std::chrono::milliseconds(100);

} // namespace

HostBeat BeatExchange::makeBeat(
    Peer& peer, bool local, TimePoint now, Duration bootNow, bool leaving, const std::string& text)
{
    HostBeat beat;
    beat.sequence = ++peer.sent;
    peer.sentAt[beat.sequence % maxSentTimes] = bootNow;
    beat.echo = peer.received;
    beat.dataCentre = m_state.dataCentre;
    beat.address = m_state.address;
    beat.leaving = leaving;
    beat.configuration = m_state.configuration.version();
    beat.proofAge = std::max(Duration(0), bootNow - m_state.configuration.provenAt());
    if (peer.wantsConfiguration && peer.configuration < beat.configuration && now >= m_nextConfigurationCopyAt
        && now - peer.configurationSentAt >= configurationSourceTime) {
        beat.configurationText = text;
        peer.configurationSentAt = now;
        m_nextConfigurationCopyAt = now + configurationCopyInterval;
    }
    beat.load = local ? m_state.ledger.own() : m_state.ledger.dataCentreTotal();
    if (!local)
        return beat;
    for (const auto& [dataCentre, load] : m_state.ledger.remote()) {
        // Forwards only loads received directly from that data centre, so that old loads don't circulate.
        if (const auto beatAt = m_remoteBeatAt.find(dataCentre);
            beatAt != m_remoteBeatAt.end() && now - beatAt->second < remoteBeatPeriod * 3)
            beat.remote.push_back({ dataCentre, load });
    }
    for (const auto& [id, runner] : m_state.runners.runners()) {
        if (runner.markedDeadLocally && now < runner.suspendedUntil)
            beat.suspicions.push_back({ id, runner.suspendedUntil - now });
    }
    return beat;
}

std::vector<BeatExchange::Outgoing> BeatExchange::dueBeats(
    TimePoint now, Duration bootNow, bool leaving, const std::string& configurationText)
{
    m_state.hosts.expire(now);
    removeSilentPeers(now);
    const bool isLeader = m_state.hosts.isLeader(now);
    std::vector<Outgoing> beats;
    for (const auto& [id, host] : m_state.hosts.hosts()) {
        const DataCentreId& dataCentre = host.registration.dataCentre;
        const bool local = dataCentre == m_state.dataCentre;
        if (!local) {
            const std::vector<HostId> recipients
                = isLeader ? m_state.hosts.beatRecipients(dataCentre, now) : std::vector<HostId>();
            if (std::find(recipients.begin(), recipients.end(), id) == recipients.end())
                continue;
        }
        Peer& peer = m_peers[id];
        if (now < peer.nextBeatAt)
            continue;
        peer.nextBeatAt = now + (local ? localBeatPeriod : remoteBeatPeriod);
        beats.push_back(
            { id, host.registration.address, makeBeat(peer, local, now, bootNow, leaving, configurationText) });
    }
    requestConfiguration(beats, now);
    return beats;
}

void BeatExchange::requestConfiguration(std::vector<Outgoing>& beats, TimePoint now)
{
    const ConfigurationVersion version = m_state.configuration.version();
    const bool outdated = std::any_of(
        m_peers.begin(), m_peers.end(), [&](const auto& peer) { return version < peer.second.configuration; });
    if (!outdated) {
        m_outdatedSince.reset();
        return;
    }
    if (!m_outdatedSince)
        m_outdatedSince = now;
    if (now - *m_outdatedSince < configurationReadTime)
        return;
    if (now >= m_configurationSourceUntil) {
        std::vector<HostId> sources;
        for (const Outgoing& outgoing : beats) {
            if (version < m_peers[outgoing.to].configuration)
                sources.push_back(outgoing.to);
        }
        if (sources.empty())
            return;
        // Spreads the requests of many outdated hosts over the hosts that have the configuration.
        const std::string key = m_state.self.value() + std::to_string(++m_configurationRequests);
        m_configurationSource = rendezvous(key, sources, 1).front();
        m_configurationSourceUntil = now + configurationSourceTime;
    }
    for (Outgoing& outgoing : beats)
        outgoing.beat.configurationWanted = outgoing.to == m_configurationSource;
}

void BeatExchange::removeSilentPeers(TimePoint now)
{
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        const bool listed = m_state.hosts.hosts().contains(peer->first);
        if (listed && m_state.hosts.alive(peer->first, now)) {
            ++peer;
            continue;
        }
        // The requests of a dead host end when its connections close, so its load no longer counts.
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

std::optional<BeatExchange::ConfigurationUpdate> BeatExchange::receive(const HostId& from, HostBeat beat, TimePoint now)
{
    Peer& peer = m_peers[from];
    peer.received = beat.sequence;
    peer.configuration = beat.configuration;
    peer.wantsConfiguration = beat.configurationWanted;
    const bool local = beat.dataCentre == m_state.dataCentre;
    m_state.hosts.recordBeat({ from, beat.dataCentre, beat.address }, beat.leaving, now);
    if (local) {
        m_state.ledger.setPeer(from, std::move(beat.load));
        for (DataCentreLoad& remote : beat.remote) {
            m_state.ledger.setRemote(remote.dataCentre, std::move(remote.load));
            m_state.hosts.recordRemoteBeat(remote.dataCentre, now);
        }
        for (const RunnerSuspicion& suspicion : beat.suspicions)
            m_state.runners.markDeadByPeer(suspicion.runner, now, suspicion.left);
    } else {
        m_state.ledger.setRemote(beat.dataCentre, std::move(beat.load));
        m_state.hosts.recordRemoteBeat(beat.dataCentre, now);
        m_remoteBeatAt[beat.dataCentre] = now;
    }
    // The peer sent this beat after it had received the echoed one, so its configuration was the newest no earlier than
    // the echoed beat was sent, less the stated age of the proof. The time is one of this host's own clock.
    const bool echoed = beat.echo > 0 && beat.echo <= peer.sent && peer.sent - beat.echo < maxSentTimes;
    if (!echoed)
        return std::nullopt;
    const Duration provenAt = peer.sentAt[beat.echo % maxSentTimes] - beat.proofAge;
    m_state.configuration.confirm(beat.configuration, provenAt);
    if (beat.configurationText.empty() || beat.configuration <= m_state.configuration.version())
        return std::nullopt;
    return ConfigurationUpdate { std::move(beat.configurationText), provenAt };
}

} // namespace fuchsialb
