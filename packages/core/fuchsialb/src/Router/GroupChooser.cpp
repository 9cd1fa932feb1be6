#include "GroupChooser.h"

#include "../Base/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace fuchsialb::internal {

namespace {

    // The advertised load includes what was sent before it; older own forwards would be counted twice.
    constexpr Duration loadPeriod = std::chrono::seconds(1);
    // Assumed occupancy of a slot by one request when the forwards exceed the free slots.
    constexpr Duration assumedService = std::chrono::milliseconds(500);
    // A shared prefix saves about this much prefill, so the preferred group may be this much busier.
    constexpr Duration prefixBonus = std::chrono::milliseconds(100);
    constexpr std::size_t prefixBytes = 256;

} // namespace

GroupChooser::GroupChooser(HostId self, DataCentreId dataCentre, const Clock& clock, Random& random)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_clock(clock)
    , m_random(random)
{
}

void GroupChooser::configure(const Configuration& configuration)
{
    std::map<TargetId, std::set<GroupId>> local;
    std::map<TargetId, std::set<GroupId>> remote;
    m_localGroups.clear();
    m_remoteGroups.clear();
    for (const auto& [id, endpoint] : configuration.endpoints) {
        const bool here = endpoint.dataCentre == m_dataCentre;
        (here ? local : remote)[endpoint.target].insert(endpoint.group);
        if (here)
            m_localGroups.insert(endpoint.group);
        else
            m_remoteGroups.emplace(endpoint.group, endpoint.dataCentre);
    }
    const auto flatten = [](const std::map<TargetId, std::set<GroupId>>& from) {
        std::map<TargetId, std::vector<GroupId>> to;
        for (const auto& [target, groups] : from)
            to.emplace(target, std::vector<GroupId>(groups.begin(), groups.end()));
        return to;
    };
    m_claimShards.clear();
    for (const auto& [id, target] : configuration.targets)
        m_claimShards.emplace(id, target.claimShards);
    m_local = flatten(local);
    m_remote = flatten(remote);
    assignSchedulers();
}

void GroupChooser::onMembers(const Membership& membership)
{
    m_accepting = membership.accepting(m_dataCentre);
    assignSchedulers();
}

void GroupChooser::assignSchedulers()
{
    m_schedulers.clear();
    for (const GroupId& group : m_localGroups) {
        if (const auto hosts = rendezvous(group.value(), m_accepting, 1); !hosts.empty())
            m_schedulers.emplace(group, hosts.front());
    }
}

void GroupChooser::onHostList(const std::vector<ListedHost>& hosts)
{
    m_listed.clear();
    for (const ListedHost& host : hosts) {
        if (!host.leaving && host.dataCentre != m_dataCentre)
            m_listed[host.dataCentre].push_back(host.host);
    }
}

std::optional<HostId> GroupChooser::listedScheduler(const GroupId& group, const std::set<HostId>& excluded) const
{
    const auto dataCentre = m_remoteGroups.find(group);
    if (dataCentre == m_remoteGroups.end())
        return std::nullopt;
    const auto listed = m_listed.find(dataCentre->second);
    if (listed == m_listed.end())
        return std::nullopt;
    // The list lags: a host that returned the request does not own the group, the next by hash may.
    for (const HostId& host : rendezvous(group.value(), listed->second, listed->second.size())) {
        if (!excluded.contains(host))
            return host;
    }
    return std::nullopt;
}

std::optional<HostId> GroupChooser::scheduler(const GroupId& group) const
{
    const auto it = m_schedulers.find(group);
    if (it == m_schedulers.end())
        return std::nullopt;
    return it->second;
}

std::set<GroupId> GroupChooser::owned() const
{
    std::set<GroupId> groups;
    for (const auto& [group, host] : m_schedulers) {
        if (host == m_self)
            groups.insert(group);
    }
    return groups;
}

Duration GroupChooser::ownForwards(const GroupLoad& load)
{
    const auto it = m_recent.find(load.group);
    if (it == m_recent.end() || m_clock.now() - it->second.since >= loadPeriod)
        return Duration(0);
    const std::uint32_t expected = load.running + it->second.forwards;
    if (expected <= load.slots || load.slots == 0)
        return Duration(0);
    return assumedService * (expected - load.slots) / load.slots;
}

std::optional<GroupChooser::Candidate> GroupChooser::candidate(
    const GroupId& group, const Request& request, const Membership& membership, const std::set<HostId>& excluded)
{
    const GroupLoad* load = membership.load(group);
    HostId host;
    if (m_localGroups.contains(group)) {
        const auto own = scheduler(group);
        if (!own)
            return std::nullopt;
        host = *own;
    } else if (load && !load->scheduler.value().empty()) {
        host = load->scheduler;
    } else if (const auto listed = listedScheduler(group, excluded)) {
        host = *listed;
    } else {
        return std::nullopt;
    }
    if (excluded.contains(host))
        return std::nullopt;
    Candidate found { { group, host }, Duration(0) };
    if (load)
        found.wait = load->wait[request.rank] + ownForwards(*load);
    return found;
}

std::optional<GroupChooser::Candidate> GroupChooser::better(const std::vector<GroupId>& groups, const Request& request,
    const Membership& membership, const std::set<HostId>& excluded)
{
    if (groups.empty())
        return std::nullopt;
    const std::size_t first = m_random.below(groups.size());
    std::size_t second = first;
    if (request.kind == TargetKind::Model)
        second = hash64(request.prompt.substr(0, prefixBytes)) % groups.size();
    if (second == first)
        second = (first + 1) % groups.size();
    auto a = candidate(groups[first], request, membership, excluded);
    auto b = candidate(groups[second], request, membership, excluded);
    if (b && request.kind == TargetKind::Model)
        b->wait -= std::min(b->wait, prefixBonus);
    if (a && b)
        return b->wait <= a->wait ? b : a;
    if (a || b)
        return a ? a : b;
    for (const GroupId& group : groups) {
        if (auto any = candidate(group, request, membership, excluded))
            return any;
    }
    return std::nullopt;
}

std::optional<GroupChooser::Candidate> GroupChooser::claimOwner(
    const Request& request, const Membership& membership, const std::set<HostId>& excluded)
{
    const ClaimKey key = claimKey(request.organisation, request.target, request.idempotencyKey);
    const std::string shard = fmt::format("{}", claimShard(key, m_claimShards.at(request.target)));
    std::vector<std::pair<std::uint64_t, GroupId>> ranked;
    for (const auto* groups : { &m_local, &m_remote }) {
        const auto found = groups->find(request.target);
        if (found == groups->end())
            continue;
        for (const GroupId& group : found->second)
            ranked.emplace_back(hash64(group.value(), hash64(shard)), group);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    for (const auto& [weight, group] : ranked) {
        if (auto found = candidate(group, request, membership, excluded))
            return found;
    }
    return std::nullopt;
}

std::optional<Choice> GroupChooser::choose(
    const Request& request, const Membership& membership, const std::set<HostId>& excluded)
{
    std::optional<Candidate> best;
    if (!request.idempotent)
        best = claimOwner(request, membership, excluded);
    if (const auto local = m_local.find(request.target); !best && local != m_local.end())
        best = better(local->second, request, membership, excluded);
    const bool late = best && request.idempotent && request.timeLeft && best->wait > *request.timeLeft;
    if (!best || late) {
        if (const auto remote = m_remote.find(request.target); remote != m_remote.end()) {
            auto other = better(remote->second, request, membership, excluded);
            if (other && (!best || other->wait < best->wait))
                best = other;
        }
    }
    if (!best)
        return std::nullopt;
    Recent& recent = m_recent[best->choice.group];
    if (m_clock.now() - recent.since >= loadPeriod)
        recent = { m_clock.now(), 0 };
    ++recent.forwards;
    return best->choice;
}

Duration GroupChooser::shortestWait(const TargetId& target, Rank rank, const Membership& membership) const
{
    std::optional<Duration> shortest;
    if (const auto local = m_local.find(target); local != m_local.end()) {
        for (const GroupId& group : local->second) {
            const GroupLoad* load = membership.load(group);
            if (load && (!shortest || load->wait[rank] < *shortest))
                shortest = load->wait[rank];
        }
    }
    return shortest.value_or(Duration(0));
}

} // namespace fuchsialb::internal
