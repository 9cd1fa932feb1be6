#include "SwimMembership.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace fuchsialb {

absl::StatusOr<std::unique_ptr<Membership>> Membership::create(
    Member self, MembershipOptions options, const Clock& clock, Random& random)
{
    if (self.host.value().empty() || self.dataCentre.value().empty() || self.address.empty())
        return error(Reason::InvalidInput, "a member needs a host id, a data centre and an address");
    if (self.incarnation.value() == 0)
        return error(Reason::InvalidInput, "the incarnation of a member starts at 1");
    if (options.probeTimeout <= Duration(0) || options.probeTimeout >= options.probePeriod)
        return error(Reason::InvalidInput, "the probe timeout must be over 0 and under the probe period");
    return std::make_unique<internal::SwimMembership>(std::move(self), options, clock, random);
}

namespace internal {

    namespace {

        /// Probes made for others in one period; bounds the work when a rack is lost.
        constexpr std::size_t maxOnBehalf = 8;

    } // namespace

    SwimMembership::SwimMembership(Member self, MembershipOptions options, const Clock& clock, Random& random)
        : m_self(std::move(self))
        , m_options(options)
        , m_clock(clock)
        , m_random(random)
        , m_table(m_self.host, m_self.dataCentre, options)
        , m_bridgeLinks(options.bridgePeriod)
    {
        const TimePoint now = clock.now();
        // Members that start together spread their periodic work over the period.
        const auto within = [&](Duration period) {
            return now + Duration(m_random.below(static_cast<std::uint64_t>(period.count())));
        };
        m_lastTick = now;
        m_nextProbe = within(options.probePeriod);
        m_nextAdvertisement = within(options.loadPeriod);
        m_nextCandidate = now;
        m_nextSynchronisation = within(options.remotePeriod * 10);
        m_nextBridge = within(options.bridgePeriod);
        m_nextRemote = within(options.remotePeriod);
    }

    void SwimMembership::onMessage(const HostId& from, const MemberMessage& message)
    {
        if (from == m_self.host)
            return;
        if (const auto* probe = std::get_if<Probe>(&message))
            onProbe(from, *probe);
        else
            onReply(from, std::get<ProbeReply>(message));
    }

    void SwimMembership::onProbe(const HostId& from, const Probe& probe)
    {
        takeNews(probe.storeNews, probe.hops > 0);
        absorb(from, probe);
        if (probe.subject == m_self.host)
            reply(from, probe);
        else if (!probe.subject.value().empty())
            probeOnBehalf(from, probe);
        if (probe.hops > 0)
            relay(probe);
    }

    void SwimMembership::onReply(const HostId& from, const ProbeReply& reply)
    {
        takeNews(reply.storeNews, false);
        absorb(from, reply);
        if (reply.subject == from)
            m_table.answered(from);
        if (reply.members.size() > m_options.maxUpdatesPerMessage && m_joinReplies > 0)
            --m_joinReplies;
        if (m_outstanding && m_outstanding->sequence == reply.sequence) {
            m_table.answered(m_outstanding->subject);
            m_outstanding.reset();
        }
        if (m_announcement && m_announcement->sequence == reply.sequence)
            m_announcement->waiting.erase(from);
        const auto onBehalf = m_onBehalf.find(reply.sequence);
        if (onBehalf != m_onBehalf.end()) {
            const HostId requester = onBehalf->second.requester;
            const std::uint64_t sequence = onBehalf->second.sequence;
            m_onBehalf.erase(onBehalf);
            send(requester,
                ProbeReply { sequence, reply.subject, newsToSend(), m_self.configuration, piggyback(requester), {} });
        }
    }

    template <typename Message> void SwimMembership::absorb(const HostId& from, const Message& message)
    {
        const TimePoint now = m_clock.now();
        // A summary of another data centre lists its bridges; one that isn't from a bridge keeps the search for one on.
        const bool fromRemote
            = !isLocal(from) && !message.members.empty() && message.members.front().dataCentre != m_self.dataCentre;
        for (const Member& update : message.members) {
            absorbMember(update, fromRemote);
            if (fromRemote && update.host == from)
                m_bridgeLinks.heard(update.dataCentre, now);
        }
        m_table.raiseConfiguration(from, message.configuration);
        for (const GroupLoad& load : message.loads) {
            const bool own = std::any_of(m_ownLoads.begin(), m_ownLoads.end(),
                [&](const GroupLoad& ownLoad) { return ownLoad.group == load.group; });
            if (own)
                continue;
            if (fromRemote)
                m_remote.remoteLoads[load.group] = load;
            m_loads.put(load, now, fromRemote ? m_options.remotePeriod * 3 : m_options.loadPeriod * 5, !fromRemote);
        }
        if constexpr (std::is_same_v<Message, Probe>) {
            for (const GroupLoad& load : message.remoteLoads)
                m_loads.put(load, now, m_options.remotePeriod * 3, false);
        }
    }

    void SwimMembership::absorbMember(const Member& update, bool fromRemote)
    {
        if (update.host == m_self.host) {
            onSelfUpdate(update);
            return;
        }
        if (update.dataCentre == m_self.dataCentre) {
            if (m_table.merge(update, m_clock.now()))
                m_updates.push(update);
            return;
        }
        if (update.state != MemberState::Alive && !m_table.find(update.host))
            return;
        const bool isNew = m_table.merge(update, m_clock.now());
        if (fromRemote) {
            m_remote.members[update.host] = update;
            if (isNew)
                m_remoteChanged[update.host] = update;
        }
    }

    void SwimMembership::onSelfUpdate(const Member& update)
    {
        if (update.incarnation < m_self.incarnation)
            return;
        const bool refutes = update.state == MemberState::Suspect || update.state == MemberState::Dead
            || update.incarnation > m_self.incarnation;
        if (refutes) {
            m_self.incarnation = Incarnation(update.incarnation.value() + 1);
            selfChanged();
            if (update.state == MemberState::Dead)
                announce();
        } else if (update.state == MemberState::Leaving) {
            leave();
        }
    }

    void SwimMembership::selfChanged()
    {
        ++m_selfRevision;
        m_updates.push(m_self);
    }

    void SwimMembership::reply(const HostId& from, const Probe& probe)
    {
        ProbeReply answer { probe.sequence, m_self.host, newsToSend(), m_self.configuration, {}, {} };
        const bool remote = std::any_of(probe.members.begin(), probe.members.end(),
            [&](const Member& member) { return member.host == from && member.dataCentre != m_self.dataCentre; });
        if (remote) {
            const DataCentreId& theirs = probe.members.front().dataCentre;
            answer.members = bridges();
            answer.loads = loadsFor(theirs);
            m_bridgeLinks.noteAsked(theirs, m_clock.now());
        } else
            answer.members = probe.fullState ? fullState() : piggyback(from);
        const auto sender = std::find_if(
            probe.members.begin(), probe.members.end(), [&](const Member& member) { return member.host == from; });
        if (sender != probe.members.end())
            sendTo(from, sender->address, std::move(answer));
        else
            send(from, std::move(answer));
    }

    void SwimMembership::probeOnBehalf(const HostId& from, const Probe& probe)
    {
        if (m_onBehalf.size() >= maxOnBehalf)
            return;
        Probe indirect = newProbe(probe.subject);
        indirect.onBehalfOf = from;
        m_onBehalf[indirect.sequence] = { from, probe.sequence, m_clock.now() + m_options.probePeriod };
        send(probe.subject, std::move(indirect));
    }

    Probe SwimMembership::newProbe(const HostId& subject)
    {
        Probe probe;
        probe.sequence = ++m_sequence;
        probe.subject = subject;
        probe.storeNews = newsToSend();
        probe.configuration = m_self.configuration;
        probe.members = piggyback(subject);
        return probe;
    }

    std::vector<Member> SwimMembership::piggyback(const HostId& to)
    {
        std::vector<Member> updates { m_self };
        // A suspect or dead host learns of it at once, so that it can refute.
        const MemberTable::Entry* known = m_table.find(to);
        if (known && known->member.state == MemberState::Suspect)
            updates.push_back(known->member);
        if (const Member* dead = m_table.dead(to))
            updates.push_back(*dead);
        for (Member& update : m_updates.take(m_options.maxUpdatesPerMessage, m_table.entries().size())) {
            if (update.host != m_self.host)
                updates.push_back(std::move(update));
        }
        return updates;
    }

    std::vector<Member> SwimMembership::fullState() const
    {
        std::vector<Member> state { m_self };
        // Members of other data centres are refreshed by the bridges alone, so that they expire when those hear no
        // more.
        for (const auto& [host, entry] : m_table.entries()) {
            if (entry.member.dataCentre == m_self.dataCentre)
                state.push_back(entry.member);
        }
        return state;
    }

    void SwimMembership::spread(const Member& update) { m_updates.push(update); }

    void SwimMembership::send(const HostId& to, MemberMessage message)
    {
        std::string address;
        if (const MemberTable::Entry* known = m_table.find(to))
            address = known->member.address;
        else if (const Member* dead = m_table.dead(to))
            address = dead->address;
        else if (const auto listed = m_listed.find(to); listed != m_listed.end())
            address = listed->second.address;
        sendTo(to, std::move(address), std::move(message));
    }

    void SwimMembership::sendTo(const HostId& to, std::string address, MemberMessage message)
    {
        if (!address.empty())
            m_sends.push_back({ to, std::move(address), std::move(message) });
    }

    void SwimMembership::onHostList(const std::vector<ListedHost>& hosts)
    {
        std::map<HostId, ListedHost> listed;
        for (const ListedHost& host : hosts)
            listed[host.host] = host;
        for (const auto& [id, host] : listed) {
            // The list lags: only a change to leaving counts, so that a restarted host isn't marked by its former life.
            const auto before = m_listed.find(id);
            if (!m_hostListSeen || !host.leaving || (before != m_listed.end() && before->second.leaving))
                continue;
            if (id == m_self.host)
                leave();
            else if (const MemberTable::Entry* known = m_table.find(id)) {
                Member update = known->member;
                update.state = MemberState::Leaving;
                if (m_table.merge(update, m_clock.now()))
                    spread(update);
            }
        }
        // A host that was listed and no longer is confirms a suspicion; an answering host is never removed.
        for (const auto& [id, host] : m_listed) {
            const MemberTable::Entry* known = m_table.find(id);
            if (listed.contains(id) || !known || known->member.state != MemberState::Suspect)
                continue;
            Member update = known->member;
            update.state = MemberState::Dead;
            if (m_table.merge(update, m_clock.now()))
                spread(update);
        }
        m_listed = std::move(listed);
        m_bridgeLinks.setListed(hosts, m_self.dataCentre);
        if (!m_hostListSeen) {
            m_hostListSeen = true;
            announce();
        }
    }

    void SwimMembership::leave()
    {
        if (m_self.state == MemberState::Leaving)
            return;
        m_self.state = MemberState::Leaving;
        selfChanged();
        announce();
    }

    void SwimMembership::setConfiguration(ConfigurationVersion version)
    {
        if (version <= m_self.configuration)
            return;
        m_self.configuration = version;
        ++m_selfRevision;
        announceConfiguration();
    }

    void SwimMembership::setLoads(std::vector<GroupLoad> loads)
    {
        m_ownLoads = std::move(loads);
        for (const GroupLoad& load : m_ownLoads)
            m_loads.put(load, m_clock.now(), m_options.loadPeriod * 5, true);
    }

    void SwimMembership::setStoreAnswers(std::uint64_t answers)
    {
        if (answers <= m_storeAnswers)
            return;
        m_storeAnswers = answers;
        m_news.take({ m_self.host, m_self.incarnation, answers, Duration(0) }, m_clock.now());
        m_ownNews = true;
    }

    const std::vector<Member>& SwimMembership::members() const
    {
        if (m_viewRevision == revision() && !m_view.empty())
            return m_view;
        m_view.clear();
        m_view.push_back(m_self);
        for (const auto& [host, entry] : m_table.entries())
            m_view.push_back(entry.member);
        std::sort(m_view.begin(), m_view.end(), [](const Member& a, const Member& b) { return a.host < b.host; });
        m_viewRevision = revision();
        return m_view;
    }

    std::vector<HostId> SwimMembership::accepting(const DataCentreId& dataCentre) const
    {
        std::vector<HostId> hosts;
        for (const Member& member : members()) {
            if (member.dataCentre == dataCentre && member.state != MemberState::Leaving)
                hosts.push_back(member.host);
        }
        return hosts;
    }

    std::vector<HostId> SwimMembership::localMembers() const
    {
        std::vector<HostId> hosts;
        for (const Member& member : members()) {
            if (member.dataCentre == m_self.dataCentre)
                hosts.push_back(member.host);
        }
        return hosts;
    }

    std::vector<MemberSend> SwimMembership::takeSends() { return std::exchange(m_sends, {}); }

} // namespace internal

} // namespace fuchsialb
