#pragma once

#include "Membership.h"

#include <cstddef>
#include <map>
#include <vector>

namespace fuchsialb::internal {

/// \brief Membership updates that wait to be piggy-backed, each a bounded number of times.
class UpdateQueue {
public:
    /// Queues an update; it replaces an older one about the same host.
    void push(const Member& update);
    /// \param count Longest result.
    /// \param groupSize Number of members; an update is repeated 3 log2 of it times.
    /// \return The updates that were sent least often.
    std::vector<Member> take(std::size_t count, std::size_t groupSize);

private:
    struct Pending {
        Member update;
        std::uint32_t sent = 0;
    };

    std::map<HostId, Pending> m_pending;
};

} // namespace fuchsialb::internal
