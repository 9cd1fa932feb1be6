#pragma once

#include "../Base/Clock.h"
#include "../Base/Random.h"
#include "../Claims/ClaimLog.h"
#include "../Member/Membership.h"
#include "Request.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fuchsialb::internal {

/// \brief Where a request goes: a group and the daemon that schedules it.
struct Choice {
    GroupId group;
    HostId scheduler;
};

/// \brief Picks the group of a request by power of two choices on advertised waits.
///
/// Advertised waits are up to a second old. The chooser adds what this daemon itself sent since, so that a burst does
/// not go one way, and prefers the group that a hash of the prompt's beginning names, so that requests with a shared
/// prefix meet the same caches.
class GroupChooser {
public:
    GroupChooser(HostId self, DataCentreId dataCentre, const Clock& clock, Random& random);

    void configure(const Configuration& configuration);
    void onMembers(const Membership& membership);
    /// Names the hosts of other data centres until their loads have been heard, which takes up to 30 s after a start.
    void onHostList(const std::vector<ListedHost>& hosts);

    /// \param excluded Schedulers that returned or lost this request.
    /// \return None when no group of the target has a scheduler.
    std::optional<Choice> choose(
        const Request& request, const Membership& membership, const std::set<HostId>& excluded);

    /// \return The scheduler of a group in this data centre by rendezvous hashing, or none.
    std::optional<HostId> scheduler(const GroupId& group) const;
    /// \return Groups of this data centre that this daemon schedules.
    std::set<GroupId> owned() const;
    /// \return The shortest advertised wait of the target's local groups, for Retry-After.
    Duration shortestWait(const TargetId& target, Rank rank, const Membership& membership) const;

private:
    struct Candidate {
        Choice choice;
        Duration wait { 0 };
    };

    struct Recent {
        TimePoint since {};
        std::uint32_t forwards = 0;
    };

    std::optional<Candidate> candidate(
        const GroupId& group, const Request& request, const Membership& membership, const std::set<HostId>& excluded);
    std::optional<Candidate> better(const std::vector<GroupId>& groups, const Request& request,
        const Membership& membership, const std::set<HostId>& excluded);
    std::optional<Candidate> claimOwner(
        const Request& request, const Membership& membership, const std::set<HostId>& excluded);
    std::optional<HostId> listedScheduler(const GroupId& group, const std::set<HostId>& excluded) const;
    Duration ownForwards(const GroupLoad& load);
    void assignSchedulers();

    HostId m_self;
    DataCentreId m_dataCentre;
    const Clock& m_clock;
    Random& m_random;
    std::map<TargetId, std::vector<GroupId>> m_local;
    std::map<TargetId, std::vector<GroupId>> m_remote;
    std::map<TargetId, std::uint32_t> m_claimShards;
    std::set<GroupId> m_localGroups;
    std::map<GroupId, DataCentreId> m_remoteGroups;
    std::map<DataCentreId, std::vector<HostId>> m_listed;
    std::vector<HostId> m_accepting;
    std::map<GroupId, HostId> m_schedulers;
    std::map<GroupId, Recent> m_recent;
};

} // namespace fuchsialb::internal
