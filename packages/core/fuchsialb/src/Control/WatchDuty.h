#pragma once

#include "ConfigurationSpread.h"

#include <vector>

namespace fuchsialb::internal {

/// \brief Decides whether this host watches the head of the configuration.
///
/// The first members by rendezvous for `watch` always do. The next ones take over when no member before them has given
/// news for `takeOverAfter`, in doubling groups 500 ms apart, so that any of 10 members with a path to the store is
/// found within 5 s. They stop when a member before them gives news again.
class WatchDuty {
public:
    WatchDuty(HostId self, DataCentreId dataCentre, const SpreadOptions& options, TimePoint now);

    void setMembers(const std::vector<Member>& members);
    void setNews(const std::vector<StoreNews>& news, TimePoint now);
    /// \return Whether this host should watch now.
    bool due(TimePoint now) const;

private:
    HostId m_self;
    DataCentreId m_dataCentre;
    std::uint32_t m_watchers;
    std::uint32_t m_extraWatchers;
    Duration m_takeOverAfter;
    bool m_mayTakeOver;
    /// Members by rendezvous up to this host; empty when it is too far behind.
    std::vector<HostId> m_order;
    bool m_listed = false;
    /// Latest news by a member before this host.
    TimePoint m_heard;
};

} // namespace fuchsialb::internal
