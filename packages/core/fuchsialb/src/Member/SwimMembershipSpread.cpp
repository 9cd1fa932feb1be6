#include "SwimMembership.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fuchsialb::internal {

namespace {

    constexpr std::string_view bridgeWord = "bridge";
    constexpr std::string_view newsKey = "store-news";
    constexpr std::string_view configurationKey = "configuration";
    constexpr std::size_t bridgeCount = 2;
    /// News of both regular watchers.
    constexpr std::size_t newsPerProbe = 2;

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

void SwimMembership::relay(const Probe& probe)
{
    for (const GroupLoad& load : probe.loads)
        m_relay.loads[load.group] = load;
    for (const GroupLoad& load : probe.remoteLoads)
        m_relay.remoteLoads[load.group] = load;
    for (const Member& member : probe.members) {
        if (member.dataCentre != m_self.dataCentre)
            m_relay.members[member.host] = member;
    }
    if (!m_relayDue && !m_relay.empty())
        m_relayDue = m_clock.now() + m_options.relayDelay;
    // A change of state of another data centre's bridge, such as leaving, doesn't wait for the loads.
    if (!m_relay.members.empty())
        m_relayDue = m_clock.now();
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
    std::map<HostId, RelayItems> batches;
    for (const auto& [group, load] : items.loads) {
        for (const HostId& host : m_grid.relays(group.value()))
            batches[host].loads[group] = load;
    }
    for (const auto& [group, load] : items.remoteLoads) {
        for (const HostId& host : m_grid.relays(group.value()))
            batches[host].remoteLoads[group] = load;
    }
    for (const auto& [id, member] : items.members) {
        for (const HostId& host : m_grid.relays(configurationKey))
            batches[host].members[id] = member;
    }
    for (const HostId& watcher : items.news) {
        for (const HostId& host : m_grid.relays(newsKey))
            batches[host].news.insert(watcher);
    }
    for (const auto& [host, batch] : batches) {
        if (host != m_self.host) {
            sendItems(host, batch, 1);
            continue;
        }
        Probe own;
        m_relay.news.insert(batch.news.begin(), batch.news.end());
        for (const auto& [id, member] : batch.members)
            own.members.push_back(member);
        for (const auto& [group, load] : batch.loads)
            own.loads.push_back(load);
        for (const auto& [group, load] : batch.remoteLoads)
            own.remoteLoads.push_back(load);
        relay(own);
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

void SwimMembership::exchangeWithBridges(TimePoint now)
{
    if (now < m_nextBridge)
        return;
    m_nextBridge = now + m_options.bridgePeriod;
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
    std::size_t index = static_cast<std::size_t>(position - own.begin());
    for (const auto& [dataCentre, remote] : m_bridgeLinks.nextRound(known, now)) {
        Probe probe;
        probe.sequence = ++m_sequence;
        probe.subject = remote.host;
        probe.storeNews = newsToSend();
        probe.configuration = m_self.configuration;
        probe.members = own;
        // The bridges share the other data centres, so that each gets the loads from one of them.
        TimePoint& sent = m_loadsSent[dataCentre];
        if (index++ % own.size() == 0 && (sent == TimePoint() || now - sent >= m_options.remotePeriod)) {
            sent = now;
            probe.loads = m_loads.local();
        }
        sendTo(remote.host, remote.address, std::move(probe));
    }
}

void SwimMembership::spreadRemote(TimePoint now)
{
    if (!m_remoteChanged && now < m_nextRemote)
        return;
    RelayItems items;
    items.members = m_remote.members;
    if (now >= m_nextRemote) {
        m_nextRemote = now + m_options.remotePeriod;
        items = std::exchange(m_remote, {});
    }
    m_remoteChanged = false;
    if (!items.empty())
        toRelays(items);
}

} // namespace fuchsialb::internal
