#include "WatchDuty.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <utility>

namespace fuchsialb::internal {

namespace {

    constexpr std::string_view watchWord = "watch";
    /// Time for a take-over to show before the next, larger group of members tries.
    constexpr Duration stagger = std::chrono::milliseconds(500);

} // namespace

WatchDuty::WatchDuty(HostId self, DataCentreId dataCentre, const SpreadOptions& options, TimePoint now)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_watchers(options.watchers)
    , m_extraWatchers(options.extraWatchers)
    , m_takeOverAfter(options.takeOverAfter)
    , m_mayTakeOver(options.fault != SpreadFault::NeverTakeOver)
    , m_heard(now)
{
}

void WatchDuty::setMembers(const std::vector<Member>& members)
{
    std::vector<HostId> staying;
    std::vector<HostId> leaving;
    for (const Member& member : members) {
        if (member.dataCentre == m_dataCentre)
            (member.state == MemberState::Leaving ? leaving : staying).push_back(member.host);
    }
    // A leaving host may have the only path to the store, so it comes last but still may take over.
    const std::size_t candidates = m_watchers + m_extraWatchers;
    m_order = rendezvous(watchWord, staying, candidates);
    for (HostId& host : rendezvous(watchWord, leaving, candidates - m_order.size()))
        m_order.push_back(std::move(host));
    const auto position = std::find(m_order.begin(), m_order.end(), m_self);
    m_listed = position != m_order.end();
    m_order.erase(position, m_order.end());
}

void WatchDuty::setNews(const std::vector<StoreNews>& news, TimePoint now)
{
    for (const StoreNews& item : news) {
        const bool before = std::find(m_order.begin(), m_order.end(), item.watcher) != m_order.end();
        if (before && item.age != Duration::max())
            m_heard = std::max(m_heard, now - item.age);
    }
}

bool WatchDuty::due(TimePoint now) const
{
    if (!m_listed)
        return false;
    const std::size_t rank = m_order.size();
    if (rank < m_watchers)
        return true;
    if (!m_mayTakeOver)
        return false;
    // Ranks 0-based after the regular watchers: {0}, {1, 2}, {3..6}, {7..}.
    const auto group = static_cast<int>(std::bit_width(rank - m_watchers + 1)) - 1;
    return now - m_heard > m_takeOverAfter + stagger * group;
}

} // namespace fuchsialb::internal
