#pragma once

#include "Membership.h"

#include <map>
#include <vector>

namespace fuchsialb::internal {

/// \brief The newest news of the store by each watcher, taken once for each answer.
class StoreNewsBoard {
public:
    /// \return Whether the news was not known before.
    bool take(const StoreNews& news, TimePoint now);
    /// \return The news by `watcher` with its age at `now`.
    StoreNews of(const HostId& watcher, TimePoint now) const;
    /// \return The newest news of up to `count` watchers, newest first, with their age at `now`.
    std::vector<StoreNews> latest(TimePoint now, std::size_t count) const;

private:
    struct Entry {
        StoreNews news;
        TimePoint answered;
    };

    std::map<HostId, Entry> m_entries;
};

} // namespace fuchsialb::internal
