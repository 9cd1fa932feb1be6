#pragma once

#include "Membership.h"

#include <map>
#include <optional>
#include <utility>

namespace fuchsialb::internal {

/// \brief The newest news from the store, taken once for each answer of each watcher.
class StoreNewsBoard {
public:
    /// \return Whether the news was not known before.
    bool take(const StoreNews& news, TimePoint now);
    /// \return The newest news with its age at `now`; without a watcher when there is none.
    StoreNews latest(TimePoint now) const;
    /// \return `Duration::max()` when there is no news.
    Duration age(TimePoint now) const;

private:
    std::map<HostId, std::pair<Incarnation, std::uint64_t>> m_seen;
    StoreNews m_latest;
    TimePoint m_answered;
};

} // namespace fuchsialb::internal
