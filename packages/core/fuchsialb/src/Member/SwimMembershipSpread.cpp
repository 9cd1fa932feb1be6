#include "SwimMembership.h"

#include "../Base/Hash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fuchsialb::internal {

namespace {

    constexpr std::string_view bridgeWord = "bridge";
    constexpr std::string_view configurationKey = "configuration";
    constexpr std::size_t bridgeCount = 2;
    /// The rows get the news of all watchers, so that probes need only the newest.
    constexpr std::size_t newsPerProbe = 1;

} // namespace

void SwimMembership::refreshGrid()
{
    if (m_gridRevision == revision())
        return;
    m_gridRevision = revision();
    std::vector<HostId> usable;
    for (const Member& member : members()) {
        if (member.dataCentre == m_self.dataCentre && member.state != MemberState::Suspect)
            usable.push_back(member.host);
    }
    m_grid.setMembers(localMembers(), usable);
}

void SwimMembership::takeNews(const std::vector<StoreNews>& news, bool passOn)
{
    for (const StoreNews& item : news) {
        if (m_news.take(item, m_clock.now()) && passOn)
            m_relay.news.insert(item.watcher);
    }
}

std::vector<StoreNews> SwimMembership::newsToSend() const { return m_news.latest(m_clock.now(), newsPerProbe); }

std::vector<StoreNews> SwimMembership::storeNews() const
{
    return m_news.latest(m_clock.now(), std::numeric_limits<std::size_t>::max());
}

RelayItems SwimMembership::itemsOf(const Probe& probe, const DataCentreId& local)
{
    RelayItems items;
    for (const GroupLoad& load : probe.loads)
        items.loads[load.group] = load;
    for (const GroupLoad& load : probe.remoteLoads)
        items.remoteLoads[load.group] = load;
    for (const Member& member : probe.members) {
        if (member.dataCentre != local)
            items.members[member.host] = member;
    }
    return items;
}

void SwimMembership::relay(const Probe& probe)
{
    RelayItems items = itemsOf(probe, m_self.dataCentre);
    if (probe.hops > 1) {
        toRelays(items);
        return;
    }
    // A changed state of another data centre's bridge, such as leaving, doesn't wait for the loads.
    const bool urgent = std::any_of(items.members.begin(), items.members.end(),
        [](const auto& item) { return item.second.state != MemberState::Alive; });
    for (auto& [group, load] : items.loads)
        m_relay.loads[group] = std::move(load);
    for (auto& [group, load] : items.remoteLoads)
        m_relay.remoteLoads[group] = std::move(load);
    for (auto& [host, member] : items.members)
        m_relay.members[host] = std::move(member);
    if (m_relay.empty())
        return;
    const TimePoint now = m_clock.now();
    const Duration delay = m_relay.news.empty() ? m_options.relayDelay : m_options.newsDelay;
    const TimePoint due = urgent ? now : now + delay;
    m_relayDue = m_relayDue ? std::min(*m_relayDue, due) : due;
}

void SwimMembership::flushRelay(TimePoint now)
{
    if (!m_relayDue || now < *m_relayDue)
        return;
    m_relayDue.reset();
    const RelayItems items = std::exchange(m_relay, {});
    for (const HostId& host : m_grid.row(m_self.host)) {
        if (host != m_self.host)
            sendItems(host, items, 0);
    }
}

void SwimMembership::sendItems(const HostId& to, const RelayItems& items, std::uint32_t hops)
{
    Probe message;
    message.hops = hops;
    for (const HostId& watcher : items.news)
        message.storeNews.push_back(m_news.of(watcher, m_clock.now()));
    message.configuration = m_self.configuration;
    for (const auto& [host, member] : items.members)
        message.members.push_back(member);
    for (const auto& [group, load] : items.loads)
        message.loads.push_back(load);
    for (const auto& [group, load] : items.remoteLoads)
        message.remoteLoads.push_back(load);
    send(to, std::move(message));
}

void SwimMembership::toRelays(const RelayItems& items)
{
    // One relay in each row for all items of this host: a message each, whatever the number of groups.
    for (const HostId& host : m_grid.relays(m_self.host.value())) {
        if (host != m_self.host) {
            sendItems(host, items, 1);
            continue;
        }
        Probe own;
        own.hops = 1;
        for (const auto& [id, member] : items.members)
            own.members.push_back(member);
        for (const auto& [group, load] : items.loads)
            own.loads.push_back(load);
        for (const auto& [group, load] : items.remoteLoads)
            own.remoteLoads.push_back(load);
        m_relay.news.insert(items.news.begin(), items.news.end());
        relay(own);
    }
}

void SwimMembership::toDistributors(const RelayItems& items)
{
    const std::vector<HostId> local = accepting(m_self.dataCentre);
    std::map<HostId, RelayItems> batches;
    for (const auto& [group, load] : items.remoteLoads) {
        for (const HostId& host : rendezvous(group.value(), local, 1))
            batches[host].remoteLoads[group] = load;
    }
    for (const auto& [id, member] : items.members) {
        for (const HostId& host : rendezvous(id.value(), local, 1))
            batches[host].members[id] = member;
    }
    for (const auto& [host, batch] : batches) {
        if (host == m_self.host)
            toRelays(batch);
        else
            sendItems(host, batch, 2);
    }
}

void SwimMembership::advertise(TimePoint now)
{
    if (now < m_nextAdvertisement)
        return;
    m_nextAdvertisement = std::max(m_nextAdvertisement + m_options.loadPeriod, now);
    RelayItems items;
    for (const GroupLoad& load : m_ownLoads)
        items.loads[load.group] = load;
    if (!items.empty())
        toRelays(items);
}

void SwimMembership::advertiseNews(TimePoint now)
{
    if (!m_ownNews || now < m_nextNews)
        return;
    m_ownNews = false;
    m_nextNews = now + m_options.loadPeriod / 2;
    RelayItems items;
    items.news.insert(m_self.host);
    toRelays(items);
}

void SwimMembership::announceConfiguration()
{
    refreshGrid();
    std::set<HostId> receivers;
    for (const HostId& host : m_grid.row(m_self.host))
        receivers.insert(host);
    for (const HostId& host : m_grid.relays(configurationKey))
        receivers.insert(host);
    receivers.erase(m_self.host);
    for (const HostId& host : receivers)
        sendItems(host, {}, 0);
    // The other data centres learn of it with the next tick.
    m_nextBridge = m_clock.now();
    m_bridgesUrgent = true;
}

std::vector<Member> SwimMembership::bridges() const
{
    std::vector<HostId> local = accepting(m_self.dataCentre);
    std::vector<Member> chosen;
    for (const HostId& host : rendezvous(bridgeWord, local, bridgeCount)) {
        const MemberTable::Entry* known = m_table.find(host);
        chosen.push_back(known ? known->member : m_self);
    }
    return chosen;
}

bool SwimMembership::isBridge() const
{
    const std::vector<Member> chosen = bridges();
    return std::any_of(chosen.begin(), chosen.end(), [&](const Member& member) { return member.host == m_self.host; });
}

bool SwimMembership::isLocal(const HostId& host) const
{
    const MemberTable::Entry* known = m_table.find(host);
    return known && known->member.dataCentre == m_self.dataCentre;
}

std::vector<GroupLoad> SwimMembership::loadsFor(const DataCentreId& dataCentre)
{
    const std::vector<Member> own = bridges();
    const auto position
        = std::find_if(own.begin(), own.end(), [&](const Member& member) { return member.host == m_self.host; });
    if (position == own.end())
        return {};
    // The bridges share the other data centres, so that each gets the loads from one of them.
    const auto share = static_cast<std::size_t>(position - own.begin());
    const TimePoint now = m_clock.now();
    const auto sent = m_loadsSent.find(dataCentre);
    const bool due = sent == m_loadsSent.end() || now - sent->second >= m_options.remotePeriod;
    if (!due || hash64(dataCentre.value()) % own.size() != share)
        return {};
    m_loadsSent[dataCentre] = now;
    return m_loads.local();
}

void SwimMembership::exchangeWithBridges(TimePoint now)
{
    if (now < m_nextBridge)
        return;
    m_nextBridge = now + m_options.bridgePeriod;
    const bool urgent = std::exchange(m_bridgesUrgent, false);
    const std::vector<Member> own = bridges();
    const auto position
        = std::find_if(own.begin(), own.end(), [&](const Member& member) { return member.host == m_self.host; });
    if (position == own.end())
        return;
    std::map<DataCentreId, std::vector<RemoteHost>> known;
    for (const auto& [host, entry] : m_table.entries()) {
        if (entry.member.dataCentre != m_self.dataCentre)
            known[entry.member.dataCentre].push_back({ host, entry.member.address });
    }
    for (const auto& [dataCentre, remote] : m_bridgeLinks.nextRound(known, now)) {
        // Of two data centres the one with the lower id starts the exchange, while it does.
        const bool theirTurn = dataCentre < m_self.dataCentre && m_bridgeLinks.asked(dataCentre, now);
        if (theirTurn && !urgent)
            continue;
        Probe probe;
        probe.sequence = ++m_sequence;
        probe.subject = remote.host;
        probe.storeNews = newsToSend();
        probe.configuration = m_self.configuration;
        probe.members = own;
        probe.loads = loadsFor(dataCentre);
        sendTo(remote.host, remote.address, std::move(probe));
    }
}

void SwimMembership::spreadRemote(TimePoint now)
{
    if (!m_remoteChanged.empty()) {
        RelayItems changed;
        changed.members = std::exchange(m_remoteChanged, {});
        toRelays(changed);
    }
    if (now < m_nextRemote)
        return;
    m_nextRemote = now + m_options.remotePeriod;
    toDistributors(std::exchange(m_remote, {}));
}

} // namespace fuchsialb::internal
