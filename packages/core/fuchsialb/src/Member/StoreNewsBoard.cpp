#include "StoreNewsBoard.h"

namespace fuchsialb::internal {

bool StoreNewsBoard::take(const StoreNews& news, TimePoint now)
{
    if (news.watcher.value().empty())
        return false;
    const auto position = std::pair(news.incarnation, news.answers);
    const auto known = m_seen.find(news.watcher);
    if (known != m_seen.end() && known->second >= position)
        return false;
    m_seen[news.watcher] = position;
    const TimePoint answered = now - news.age;
    if (m_latest.watcher.value().empty() || answered >= m_answered) {
        m_latest = news;
        m_answered = answered;
    }
    return true;
}

StoreNews StoreNewsBoard::latest(TimePoint now) const
{
    StoreNews news = m_latest;
    if (!news.watcher.value().empty())
        news.age = now - m_answered;
    return news;
}

Duration StoreNewsBoard::age(TimePoint now) const
{
    return m_latest.watcher.value().empty() ? Duration::max() : now - m_answered;
}

} // namespace fuchsialb::internal
