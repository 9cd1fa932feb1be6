#pragma once

#include "Membership.h"

#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace fuchsialb::internal {

/// \brief Group loads, news of the store and members of other data centres on their way through the data centre.
struct RelayItems {
    std::map<GroupId, GroupLoad> loads;
    std::map<GroupId, GroupLoad> remoteLoads;
    std::map<HostId, Member> members;
    /// Watchers whose news is passed on.
    std::set<HostId> news;

    bool empty() const { return loads.empty() && remoteLoads.empty() && members.empty() && news.empty(); }
};

/// \brief The two-step path by which one member reaches all n members of its data centre.
///
/// Members are dealt into about sqrt(n) rows. A sender hands its items to one relay in each row, chosen by rendezvous
/// on the sender's id; the relay collects items and passes them to its row. With n = 155 and 40 groups a scheduler
/// sends 13 messages a second and a relay 12 for each flush, where sending to each member directly would cost one
/// scheduler 154 * 120 B = 18 KB/s. A dead relay keeps one row without part of the items until it is suspected.
class RelayGrid {
public:
    /// Takes the current members of the data centre, ordered, the own one included.
    /// \param usable Members that may serve as relays, ordered.
    void setMembers(std::vector<HostId> members, const std::vector<HostId>& usable);
    /// \return One relay for each row, the own host among them if it is chosen.
    std::vector<HostId> relays(std::string_view key) const;
    /// \return The members of the row of `host`.
    const std::vector<HostId>& row(const HostId& host) const;

private:
    std::vector<std::vector<HostId>> m_rows;
    std::vector<std::vector<HostId>> m_usable;
    std::map<HostId, std::size_t> m_rowOf;
};

} // namespace fuchsialb::internal
