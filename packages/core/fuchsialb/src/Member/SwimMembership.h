#pragma once

#include "BridgeLinks.h"
#include "LoadBoard.h"
#include "MemberTable.h"
#include "RelayGrid.h"
#include "StoreNewsBoard.h"
#include "UpdateQueue.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fuchsialb::internal {

/// \brief The implementation of `Membership`.
///
/// Control traffic of one daemon, sent and received, at 155 members, 40 own of 417 groups and 11 data centres, with
/// 75 B for an envelope, 55 B for a member and 36 B for a load:
/// - probes: 2 probes and 2 replies a second of about 160 B: 0.6 KB/s;
/// - own loads of a scheduler: 13 relays * 130 B: 1.7 KB/s; as a relay: 40 / 12.4 loads a second in, one
///   flush of 12 row members * 200 B out and as many in: 5 KB/s;
/// - remote loads: 377 each 30 s, in and as a relay out, 0.5 KB/s each;
/// - a bridge: 10 exchanges each second, half of them sent, of 2 * 250 B: 2.5 KB/s; half of the remote loads each 30 s
///   to one distributor each: 0.5 KB/s.
/// Sending the remote loads from the bridge to all 13 relays would cost it 377 / 2 * 36 * 13 / 30 = 2.9 KB/s.
/// MemberMeasureTest measures it.
class SwimMembership final : public Membership {
public:
    SwimMembership(Member self, MembershipOptions options, const Clock& clock, Random& random);

    void onMessage(const HostId& from, const MemberMessage& message) override;
    void onHostList(const std::vector<ListedHost>& hosts) override;
    void leave() override;
    void setConfiguration(ConfigurationVersion version) override;
    void setLoads(std::vector<GroupLoad> loads) override;
    void setStoreAnswers(std::uint64_t answers) override;
    void tick() override;

    const Member& self() const override { return m_self; }
    const std::vector<Member>& members() const override;
    std::vector<HostId> accepting(const DataCentreId& dataCentre) const override;
    const GroupLoad* load(const GroupId& group) const override { return m_loads.find(group); }
    Duration loadAge(const GroupId& group) const override { return m_loads.age(group, m_clock.now()); }
    std::vector<StoreNews> storeNews() const override;
    std::uint64_t revision() const override { return m_table.revision() + m_selfRevision; }
    std::vector<MemberSend> takeSends() override;

private:
    /// A direct probe that waits for its reply.
    struct Outstanding {
        std::uint64_t sequence = 0;
        HostId subject;
        TimePoint indirectAt;
        TimePoint failsAt;
        bool indirect = false;
    };
    /// A probe made for another member.
    struct OnBehalf {
        HostId requester;
        std::uint64_t sequence = 0;
        TimePoint until;
    };
    /// Tells every member about this one, until each has replied or the rounds are over.
    struct Announcement {
        std::uint64_t sequence = 0;
        std::map<HostId, std::string> waiting;
        TimePoint next;
        std::uint32_t rounds = 0;
    };

    // SwimMembership.cpp: messages.
    void onProbe(const HostId& from, const Probe& probe);
    void onReply(const HostId& from, const ProbeReply& reply);
    template <typename Message> void absorb(const HostId& from, const Message& message);
    void absorbMember(const Member& update, bool fromRemote);
    void onSelfUpdate(const Member& update);
    void reply(const HostId& from, const Probe& probe);
    void probeOnBehalf(const HostId& from, const Probe& probe);
    void send(const HostId& to, MemberMessage message);
    void sendTo(const HostId& to, std::string address, MemberMessage message);
    Probe newProbe(const HostId& subject);
    std::vector<Member> piggyback(const HostId& to);
    std::vector<Member> fullState() const;
    void spread(const Member& update);
    void selfChanged();

    // SwimMembershipTick.cpp: periodic work.
    void notePause(TimePoint now);
    void expire(TimePoint now);
    void checkOutstanding(TimePoint now);
    void startProbe(TimePoint now);
    void probeIndirectly(const Outstanding& probe);
    std::optional<HostId> nextSubject();
    void contactCandidate(TimePoint now);
    void synchronise(TimePoint now);
    void announce();
    void continueAnnouncement(TimePoint now);

    // SwimMembershipSpread.cpp: loads, news of the store and other data centres.
    void takeNews(const std::vector<StoreNews>& news, bool passOn);
    void relay(const Probe& probe);
    std::vector<StoreNews> newsToSend() const;
    void refreshGrid();
    void advertise(TimePoint now);
    void advertiseNews(TimePoint now);
    void flushRelay(TimePoint now);
    void toRelays(const RelayItems& items);
    void toDistributors(const RelayItems& items);
    static RelayItems itemsOf(const Probe& probe, const DataCentreId& local);
    void sendItems(const HostId& to, const RelayItems& items, std::uint32_t hops);
    void announceConfiguration();
    void exchangeWithBridges(TimePoint now);
    void spreadRemote(TimePoint now);
    /// \return The loads of this data centre when this bridge owes them to `dataCentre`.
    std::vector<GroupLoad> loadsFor(const DataCentreId& dataCentre);
    std::vector<Member> bridges() const;
    bool isBridge() const;
    /// \return Whether `host` is a known member of this data centre.
    bool isLocal(const HostId& host) const;

    std::vector<HostId> localMembers() const;

    Member m_self;
    MembershipOptions m_options;
    const Clock& m_clock;
    Random& m_random;
    MemberTable m_table;
    UpdateQueue m_updates;
    LoadBoard m_loads;
    StoreNewsBoard m_news;
    RelayGrid m_grid;
    BridgeLinks m_bridgeLinks;

    std::uint64_t m_sequence = 0;
    std::uint64_t m_selfRevision = 0;
    TimePoint m_lastTick;
    std::optional<Outstanding> m_outstanding;
    std::map<std::uint64_t, OnBehalf> m_onBehalf;
    std::vector<HostId> m_order;
    TimePoint m_nextProbe;
    std::optional<Announcement> m_announcement;

    std::map<HostId, ListedHost> m_listed;
    bool m_hostListSeen = false;
    HostId m_lastCandidate;
    TimePoint m_nextCandidate;
    TimePoint m_nextSynchronisation;
    /// Replies with full state that a joining member still asks for.
    std::uint32_t m_joinReplies = 2;

    std::vector<GroupLoad> m_ownLoads;
    std::uint64_t m_storeAnswers = 0;
    bool m_ownNews = false;
    TimePoint m_nextNews;
    TimePoint m_nextAdvertisement;
    RelayItems m_relay;
    std::optional<TimePoint> m_relayDue;
    std::uint64_t m_gridRevision = 0;

    TimePoint m_nextExpiry;
    TimePoint m_nextBridge;
    bool m_bridgesUrgent = false;
    TimePoint m_nextRemote;
    RelayItems m_remote;
    std::map<HostId, Member> m_remoteChanged;
    std::map<DataCentreId, TimePoint> m_loadsSent;

    mutable std::vector<Member> m_view;
    mutable std::uint64_t m_viewRevision = 0;
    std::vector<MemberSend> m_sends;
};

} // namespace fuchsialb::internal
