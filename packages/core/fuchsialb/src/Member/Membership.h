#pragma once

#include "../Base/Clock.h"
#include "../Base/Ids.h"
#include "../Base/Random.h"
#include "../Sched/GroupScheduler.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace fuchsialb {

enum class MemberState : unsigned char {
    Alive,
    Suspect,
    /// Alive, but takes no new work.
    Leaving,
    Dead,
};

/// \brief What one daemon knows of another.
struct Member {
    HostId host;
    DataCentreId dataCentre;
    /// "IP:port" of the peer transport.
    std::string address;
    MemberState state = MemberState::Alive;
    Incarnation incarnation;
    ConfigurationVersion configuration;

    bool operator==(const Member&) const = default;
};

/// \brief The latest answer of the platform's store that a member knows of.
///
/// A receiver takes it once, when (incarnation, answers) rises for that watcher. Passing on ages alone would let news
/// that circulates grow younger by the transit time of each hop.
struct StoreNews {
    /// The member that the store answered; empty when none is known.
    HostId watcher;
    Incarnation incarnation;
    /// Answers that the watcher has had in this incarnation.
    std::uint64_t answers = 0;
    Duration age { 0 };

    bool operator==(const StoreNews&) const = default;
};

/// \brief Probe of the failure detector; `members` are piggy-backed updates.
struct Probe {
    std::uint64_t sequence = 0;
    /// Set when the sender probes on behalf of another member.
    HostId onBehalfOf;
    /// The member to probe: the receiver, or a third one for an indirect probe. Empty when no reply is wanted.
    HostId subject;
    /// Asks for all members that the receiver knows instead of the recent updates.
    bool fullState = false;
    /// How often loads, news and remote `members` are passed on within the data centre: 2 by the receiver to one relay
    /// in each row, 1 by the receiver to its row.
    std::uint32_t hops = 0;
    /// At most 4, newest first.
    std::vector<StoreNews> storeNews;
    ConfigurationVersion configuration;
    std::vector<Member> members;
    /// Loads of groups in the sender's data centre.
    std::vector<GroupLoad> loads;
    /// Loads of groups in other data centres, passed on by a bridge.
    std::vector<GroupLoad> remoteLoads;

    bool operator==(const Probe&) const = default;
};

struct ProbeReply {
    std::uint64_t sequence = 0;
    HostId subject;
    /// At most 4, newest first.
    std::vector<StoreNews> storeNews;
    ConfigurationVersion configuration;
    std::vector<Member> members;
    std::vector<GroupLoad> loads;

    bool operator==(const ProbeReply&) const = default;
};

using MemberMessage = std::variant<Probe, ProbeReply>;

/// \brief A message and the member it goes to.
struct MemberSend {
    HostId to;
    std::string address;
    MemberMessage message;
};

struct MembershipOptions {
    Duration probePeriod { std::chrono::seconds(1) };
    Duration probeTimeout { std::chrono::milliseconds(400) };
    std::uint32_t indirectProbes = 3;
    Duration suspicion { std::chrono::seconds(4) };
    std::uint32_t maxUpdatesPerMessage = 8;
    Duration loadPeriod { std::chrono::seconds(1) };
    /// How long a relay collects loads before it passes them on.
    Duration relayDelay { std::chrono::seconds(1) };
    /// The same when news of the store is among them, which must stay under 3 s old.
    Duration newsDelay { std::chrono::milliseconds(500) };
    Duration bridgePeriod { std::chrono::seconds(2) };
    /// Period of group loads and bridges of other data centres.
    Duration remotePeriod { std::chrono::seconds(30) };
    /// Outlives the gossip about a dead member by far; a data centre loses about 10 hosts an hour.
    Duration rememberDead { std::chrono::hours(1) };
};

/// \brief An entry of the platform's lagging host list; a hint, never proof.
struct ListedHost {
    HostId host;
    DataCentreId dataCentre;
    std::string address;
    bool leaving = false;

    bool operator==(const ListedHost&) const = default;
};

/// \brief SWIM-like failure detector inside a data centre, with sparse links between data centres.
class Membership {
public:
    static absl::StatusOr<std::unique_ptr<Membership>> create(
        Member self, MembershipOptions options, const Clock& clock, Random& random);

    virtual ~Membership() = default;

    virtual void onMessage(const HostId& from, const MemberMessage& message) = 0;
    virtual void onHostList(const std::vector<ListedHost>& hosts) = 0;
    /// Announces that this host takes no new work.
    virtual void leave() = 0;
    virtual void setConfiguration(ConfigurationVersion version) = 0;
    /// Sets the loads of the groups that this host schedules, to be advertised.
    virtual void setLoads(std::vector<GroupLoad> loads) = 0;
    /// Sets how many answers of the store this host has had; a higher number than before is passed on as news.
    virtual void setStoreAnswers(std::uint64_t answers) = 0;
    /// Drives probes and suspicion. Called at least every 50 ms.
    virtual void tick() = 0;

    virtual const Member& self() const = 0;
    /// \return All known members but the dead, ordered by host id, this one included.
    virtual const std::vector<Member>& members() const = 0;
    /// \return Ids of members of `dataCentre` that take new work (alive or suspect), ordered.
    virtual std::vector<HostId> accepting(const DataCentreId& dataCentre) const = 0;
    /// \return The latest advertised load of a group, or null when there is none or it has expired.
    virtual const GroupLoad* load(const GroupId& group) const = 0;
    /// \return Time since the load of a group arrived, or `Duration::max()` when there is none.
    virtual Duration loadAge(const GroupId& group) const = 0;
    /// \return The latest news of the store by each watcher, this host included, with its age now; newest first.
    virtual std::vector<StoreNews> storeNews() const = 0;
    /// \return A number that changes whenever `members` or `accepting` changes.
    virtual std::uint64_t revision() const = 0;
    virtual std::vector<MemberSend> takeSends() = 0;
};

/// \return The `count` hosts with the highest rendezvous weight for `key`, best first.
std::vector<HostId> rendezvous(std::string_view key, const std::vector<HostId>& hosts, std::size_t count);

} // namespace fuchsialb
