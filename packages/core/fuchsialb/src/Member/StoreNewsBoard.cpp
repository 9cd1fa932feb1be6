#include "StoreNewsBoard.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace fuchsialb::internal {

namespace {

    /// Bounds the memory; far longer than the 3 s after which news is too old for any decision.
    constexpr Duration newsLifetime = std::chrono::hours(1);

} // namespace

bool StoreNewsBoard::take(const StoreNews& news, TimePoint now)
{
    if (news.watcher.value().empty())
        return false;
    const auto known = m_entries.find(news.watcher);
    if (known != m_entries.end()) {
        const StoreNews& before = known->second.news;
        if (std::tie(before.incarnation, before.answers) >= std::tie(news.incarnation, news.answers))
            return false;
    }
    std::erase_if(m_entries, [now](const auto& item) { return item.second.answered + newsLifetime < now; });
    m_entries[news.watcher] = { news, now - news.age };
    return true;
}

StoreNews StoreNewsBoard::of(const HostId& watcher, TimePoint now) const
{
    const auto known = m_entries.find(watcher);
    if (known == m_entries.end())
        return {};
    StoreNews news = known->second.news;
    news.age = now - known->second.answered;
    return news;
}

std::vector<StoreNews> StoreNewsBoard::latest(TimePoint now, std::size_t count) const
{
    std::vector<StoreNews> newest;
    for (const auto& [watcher, entry] : m_entries) {
        newest.push_back(entry.news);
        newest.back().age = now - entry.answered;
    }
    std::stable_sort(
        newest.begin(), newest.end(), [](const StoreNews& a, const StoreNews& b) { return a.age < b.age; });
    if (newest.size() > count)
        newest.resize(count);
    return newest;
}

} // namespace fuchsialb::internal
