#include "BeatExchange.h"

#include "../../Member/Membership.h"

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
    // Copies to several hosts follow each other at this interval, since one can take half of it on a slow link.
    constexpr Duration configurationCopyInterval = std::chrono::milliseconds(100);

    // Loads of other cells count for this long without a beat, like those of hosts.
    constexpr Duration cellLoadTimeout = std::chrono::milliseconds(1200);
    // While two hosts say that they lead a cell, the load of the one with the lower id counts, unless it stays away for
    // this long.
    constexpr Duration leaderPrecedence = std::chrono::milliseconds(500);
    // Loads of other data centres arrive every 500 ms, so only every third beat passes them on.
    constexpr std::uint64_t remoteLoadBeats = 3;

} // namespace

BeatExchange::Distance BeatExchange::distance(const HostId& host) const
{
    if (!m_state.hosts.isLocal(host))
        return Distance::OtherDataCentre;
    return m_state.hosts.inOwnCell(host) ? Distance::OwnCell : Distance::OtherCell;
}

std::set<HostId> BeatExchange::recipients(TimePoint now) const
{
    const HostDirectory& hosts = m_state.hosts;
    const bool leadsCell = hosts.leadsCell(now);
    const bool isLeader = leadsCell && hosts.isLeader(now);
    std::set<HostId> recipients;
    std::set<DataCentreId> dataCentres;
    for (const auto& [id, host] : hosts.hosts()) {
        if (hosts.inOwnCell(id))
            recipients.insert(id);
        else if (isLeader && host.registration.dataCentre != m_state.dataCentre)
            dataCentres.insert(host.registration.dataCentre);
    }
    const auto add = [&](const std::vector<HostId>& added) { recipients.insert(added.begin(), added.end()); };
    for (std::uint32_t cell = 0; leadsCell && cell < hosts.cells(); ++cell) {
        if (cell != hosts.ownCell())
            add(hosts.cellRecipients(cell, now));
    }
    for (const DataCentreId& dataCentre : dataCentres)
        add(hosts.beatRecipients(dataCentre, now));
    return recipients;
}

HostBeat BeatExchange::makeBeat(
    const HostId& to, Peer& peer, TimePoint now, Duration bootNow, bool leaving, const std::string& text)
{
    HostBeat beat;
    beat.sequence = ++peer.sent;
    peer.sentAt[beat.sequence % maxSentTimes] = bootNow;
    beat.echo = peer.received;
    beat.dataCentre = m_state.dataCentre;
    beat.address = m_state.address;
    beat.leaving = leaving;
    beat.storeLost = m_state.storeReach.isLost(bootNow);
    beat.cells = m_state.hosts.cells();
    beat.configuration = m_state.configuration.version();
    beat.proofAge = std::max(Duration(0), bootNow - m_state.configuration.provenAt());
    if (peer.wantsConfiguration && peer.configuration < beat.configuration && now >= m_nextConfigurationCopyAt
        && now - peer.configurationSentAt >= configurationSourceTime) {
        beat.configurationText = text;
        peer.configurationSentAt = now;
        m_nextConfigurationCopyAt = now + configurationCopyInterval;
    }
    addLoads(beat, distance(to), now);
    addSuspicions(beat, distance(to), now);
    if (distance(to) != Distance::OtherDataCentre)
        beat.leavingRunners = m_state.runners.leavingAheadOfRegistry();
    beat.rateLimits = currentRateLimits(now);
    addDirectories(beat, peer, distance(to), now, bootNow);
    beat.crashDigest = m_state.crashes.digest();
    peer.crashesSent = m_state.crashes.additions();
    if (peer.crashDigest != beat.crashDigest)
        beat.crashes = m_state.crashes.reports(now);
    return beat;
}

void BeatExchange::addLoads(HostBeat& beat, Distance to, TimePoint now) const
{
    if (to == Distance::OtherDataCentre) {
        beat.load = m_state.ledger.dataCentreTotal();
        return;
    }
    const bool leadsCell = m_state.hosts.leadsCell(now);
    beat.load = to == Distance::OwnCell ? m_state.ledger.own() : m_state.ledger.cellTotal();
    beat.cellLeader = leadsCell;
    if (to == Distance::OwnCell && leadsCell)
        beat.otherCells = m_otherCells.empty() ? m_state.ledger.cellsTotal() : m_otherCells;
    if (beat.sequence % remoteLoadBeats != 0)
        return;
    // Loads go from the leader that received them to the other cells and from there to their hosts, so that old loads
    // don't circulate.
    const bool passesOnRelayed = to == Distance::OwnCell && leadsCell;
    for (const auto& remote : m_state.ledger.remote()) {
        const auto isRecent = [&](const std::map<DataCentreId, TimePoint>& times) {
            const auto at = times.find(remote.first);
            return at != times.end() && now - at->second < remoteBeatPeriod * 3;
        };
        if (isRecent(m_remoteBeatAt) || (passesOnRelayed && isRecent(m_remoteRelayAt)))
            beat.remote.push_back({ remote.first, remote.second });
    }
}

void BeatExchange::addDirectories(HostBeat& beat, const Peer& peer, Distance to, TimePoint now, Duration bootNow) const
{
    if (to == Distance::OtherDataCentre)
        return;
    const bool sendsChanges = m_state.hosts.leadsCell(now) || m_state.hosts.readsStore(now);
    beat.runners = m_state.runnersView.updateFor(peer.era, peer.runnersVersion, sendsChanges, bootNow);
    beat.hosts = m_state.hostsView.updateFor(peer.era, peer.hostsVersion, sendsChanges, bootNow);
}

void BeatExchange::receiveDirectories(const HostId& from, const HostBeat& beat, Duration echoedAt)
{
    if (m_state.runnersView.accept(beat.runners, echoedAt) && m_hooks.onRunnersChanged)
        m_hooks.onRunnersChanged(from, beat.runners);
    if (m_state.hostsView.accept(beat.hosts, echoedAt) && m_hooks.onHostsChanged)
        m_hooks.onHostsChanged(from, beat.hosts);
}

void BeatExchange::receiveLeavingRunners(const HostId& from, const HostBeat& beat)
{
    for (const RunnerLeaving& leaving : beat.leavingRunners) {
        if (m_state.runners.recordLeaving(leaving) && m_hooks.onRunnerLeaving)
            m_hooks.onRunnerLeaving(from, leaving);
    }
}

void BeatExchange::receiveRateLimits(const HostId& from, const HostBeat& beat, TimePoint now)
{
    for (const RequestRateLimit& limit : beat.rateLimits) {
        if (m_state.rateLimits.recordRelayed(limit, now) && m_hooks.onRateLimitChanged)
            m_hooks.onRateLimitChanged(from, limit);
    }
}

std::vector<RequestRateLimit> BeatExchange::currentRateLimits(TimePoint now) const
{
    std::vector<RequestRateLimit> limits = m_state.rateLimits.statements(now);
    std::erase_if(limits, [&](const RequestRateLimit& limit) {
        const RunnerDirectory::Runner* runner = m_state.runners.find(limit.runner);
        return !runner || limit.startedAt < runner->entry.startedAt;
    });
    return limits;
}

void BeatExchange::updateDemand(TimePoint now)
{
    // Less is no demand, so that the load of a host without requests becomes empty.
    constexpr RequestsPerSecond minDemand { 0.01 };
    for (const RequestRateLimit& limit : m_state.rateLimits.statements(now)) {
        const RequestsPerSecond demand
            = limit.rate ? m_state.rateAdmission.demand(limit.runner, now) : RequestsPerSecond();
        m_state.ledger.setDemand(limit.runner, demand < minDemand ? RequestsPerSecond() : demand);
    }
}

void BeatExchange::addSuspicions(HostBeat& beat, Distance to, TimePoint now) const
{
    if (to == Distance::OtherDataCentre)
        return;
    for (const auto& [id, runner] : m_state.runners.runners()) {
        if (runner.markedDeadLocally && now < runner.suspendedUntil)
            beat.suspicions.push_back({ id, runner.suspendedUntil - now });
    }
    if (!m_state.hosts.leadsCell(now))
        return;
    for (const auto& [id, suspicion] : m_relayedSuspicions) {
        if (suspicion.from != to && now < suspicion.until)
            beat.suspicions.push_back({ id, suspicion.until - now });
    }
}

std::vector<BeatExchange::Outgoing> BeatExchange::dueBeats(
    TimePoint now, Duration bootNow, bool leaving, const std::string& configurationText)
{
    m_state.hosts.setLeaving(leaving);
    m_state.hosts.expire(now);
    removeSilentPeers(now);
    removeSilentCells(now);
    updateDemand(now);
    std::vector<Outgoing> beats;
    for (const HostId& id : recipients(now)) {
        Peer& peer = m_peers[id];
        const bool hasNewCrash = peer.crashesSent != m_state.crashes.additions();
        if (now < peer.nextBeatAt && !hasNewCrash)
            continue;
        peer.nextBeatAt = now + (m_state.hosts.isLocal(id) ? localBeatPeriod : remoteBeatPeriod);
        const std::string& address = m_state.hosts.hosts().at(id).registration.address;
        beats.push_back({ id, address, makeBeat(id, peer, now, bootNow, leaving, configurationText) });
    }
    requestConfiguration(beats, now);
    return beats;
}

ConfigurationVersion BeatExchange::newestConfiguration() const
{
    ConfigurationVersion newest;
    for (const auto& [id, peer] : m_peers)
        newest = std::max(newest, peer.configuration);
    return newest;
}

void BeatExchange::requestConfiguration(std::vector<Outgoing>& beats, TimePoint now)
{
    const ConfigurationVersion version = m_state.configuration.version();
    if (newestConfiguration() <= version) {
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
        // The requests of a dead host end when its connections close, so its load no longer counts.
        if (!listed || !m_state.hosts.inOwnCell(peer->first) || !m_state.hosts.alive(peer->first, now))
            m_state.ledger.removePeer(peer->first);
        peer = listed ? std::next(peer) : m_peers.erase(peer);
    }
    std::erase_if(m_relayedSuspicions, [&](const auto& suspicion) { return now >= suspicion.second.until; });
    std::vector<DataCentreId> silent;
    for (const auto& [dataCentre, load] : m_state.ledger.remote()) {
        if (!m_state.hosts.remoteAlive(dataCentre, now))
            silent.push_back(dataCentre);
    }
    for (const DataCentreId& dataCentre : silent)
        m_state.ledger.removeRemote(dataCentre);
}

void BeatExchange::removeSilentCells(TimePoint now)
{
    const bool sameCells = m_cells == m_state.hosts.cells();
    m_cells = m_state.hosts.cells();
    std::erase_if(m_cellBeatAt, [&](const auto& cell) {
        const bool removed = !sameCells || now - cell.second >= cellLoadTimeout;
        if (removed)
            m_state.ledger.removeCell(cell.first);
        return removed;
    });
    // A new leader uses the sum that its predecessor sent until then, while it hears of the other cells one by one.
    if (!sameCells || now - m_otherCellsAt >= cellLoadTimeout) {
        m_otherCells = {};
        m_state.ledger.setOtherCells({});
    }
}

void BeatExchange::receiveOtherCells(const HostId& from, HostBeat& beat, TimePoint now)
{
    const bool takesPrecedence = from == m_state.hosts.cellLeader(now) || now - m_otherCellsAt >= leaderPrecedence;
    if (!beat.cellLeader || m_state.hosts.leadsCell(now) || !takesPrecedence)
        return;
    for (const auto& [cell, at] : std::exchange(m_cellBeatAt, {}))
        m_state.ledger.removeCell(cell);
    m_otherCells = std::move(beat.otherCells);
    m_state.ledger.setOtherCells(m_otherCells);
    m_otherCellsAt = now;
}

void BeatExchange::receiveCell(const HostId& from, HostBeat& beat, TimePoint now)
{
    const std::uint32_t cell = cellOf(from, beat.cells);
    const std::vector<HostId> leaders = m_state.hosts.leadersOf(cell, now);
    const auto known = m_cellBeatAt.find(cell);
    const bool takesPrecedence = (!leaders.empty() && leaders.front() == from) || known == m_cellBeatAt.end()
        || now - known->second >= leaderPrecedence;
    if (!m_state.hosts.leadsCell(now) || !takesPrecedence)
        return;
    m_state.ledger.setCell(cell, std::move(beat.load));
    m_cellBeatAt[cell] = now;
}

void BeatExchange::receiveLoads(const HostId& from, HostBeat& beat, TimePoint now)
{
    const Distance distance = this->distance(from);
    if (distance == Distance::OtherDataCentre) {
        m_state.ledger.setRemote(beat.dataCentre, std::move(beat.load));
        m_state.hosts.recordRemoteBeat(beat.dataCentre, now);
        m_remoteBeatAt[beat.dataCentre] = now;
        return;
    }
    for (DataCentreLoad& remote : beat.remote) {
        m_state.ledger.setRemote(remote.dataCentre, std::move(remote.load));
        m_state.hosts.recordRemoteBeat(remote.dataCentre, now);
        if (distance == Distance::OtherCell)
            m_remoteRelayAt[remote.dataCentre] = now;
    }
    if (beat.cells != m_state.hosts.cells()) {
        // Hosts that know different numbers of hosts disagree on the cells for a while.
        if (distance == Distance::OwnCell && cellOf(from, beat.cells) == cellOf(m_state.self, beat.cells))
            m_state.ledger.setPeer(from, std::move(beat.load));
        else
            m_state.ledger.removePeer(from);
        return;
    }
    if (distance == Distance::OtherCell) {
        receiveCell(from, beat, now);
        return;
    }
    m_state.ledger.setPeer(from, std::move(beat.load));
    receiveOtherCells(from, beat, now);
}

std::optional<BeatExchange::ConfigurationUpdate> BeatExchange::receive(const HostId& from, HostBeat beat, TimePoint now)
{
    Peer& peer = m_peers[from];
    peer.received = beat.sequence;
    peer.configuration = beat.configuration;
    peer.wantsConfiguration = beat.configurationWanted;
    peer.era = beat.runners.era;
    peer.runnersVersion = beat.runners.version;
    peer.hostsVersion = beat.hosts.version;
    peer.crashDigest = beat.crashDigest;
    m_state.crashes.merge(beat.crashes, now);
    m_state.hosts.recordBeat({ from, beat.dataCentre, beat.address }, beat.leaving, beat.cellLeader, now);
    m_state.hosts.recordStoreReach(from, beat.storeLost);
    receiveLoads(from, beat, now);
    receiveRateLimits(from, beat, now);
    if (m_state.hosts.isLocal(from)) {
        for (const RunnerSuspicion& suspicion : beat.suspicions) {
            m_state.runners.markDeadByPeer(suspicion.runner, now, suspicion.left);
            RelayedSuspicion& relayed = m_relayedSuspicions[suspicion.runner];
            if (relayed.until < now + suspicion.left)
                relayed = { now + suspicion.left, distance(from) };
        }
        receiveLeavingRunners(from, beat);
    }
    // The peer sent this beat after it had received the echoed one, so its configuration was the newest no earlier than
    // the echoed beat was sent, less the stated age of the proof. The time is one of this host's own clock.
    const bool echoed = beat.echo > 0 && beat.echo <= peer.sent && peer.sent - beat.echo < maxSentTimes;
    if (!echoed)
        return std::nullopt;
    const Duration echoedAt = peer.sentAt[beat.echo % maxSentTimes];
    const Duration provenAt = echoedAt - beat.proofAge;
    receiveDirectories(from, beat, echoedAt);
    m_state.configuration.confirm(beat.configuration, provenAt);
    if (beat.configurationText.empty() || beat.configuration <= m_state.configuration.version())
        return std::nullopt;
    return ConfigurationUpdate { std::move(beat.configurationText), provenAt };
}

} // namespace fuchsialb
