#pragma once

#include "Membership.h"

#include <map>
#include <vector>

namespace fuchsialb::internal {

/// \brief Latest advertised load of each group, with its time of arrival.
class LoadBoard {
public:
    /// \param lifetime How long the load is shown.
    /// \param local Whether the group is in this data centre.
    void put(const GroupLoad& load, TimePoint now, Duration lifetime, bool local);
    void expire(TimePoint now);
    const GroupLoad* find(const GroupId& group) const;
    /// \return The loads of groups in this data centre.
    std::vector<GroupLoad> local() const;
    Duration age(const GroupId& group, TimePoint now) const;

private:
    struct Entry {
        GroupLoad load;
        TimePoint arrived;
        Duration lifetime { 0 };
        bool local = true;
    };

    std::map<GroupId, Entry> m_entries;
};

} // namespace fuchsialb::internal
