#include "AdmissionQueue.h"

#include <algorithm>
#include <array>

namespace fuchsialb {

namespace {

    constexpr std::array<double, 3> cacheLimits { 1.0, 0.94, 0.86 };
    // A caller that waits longer than this for room misses its objective anyway; it is told when to come back instead.
    constexpr int patienceDivisor = 2;
    constexpr Duration shortestReturn = std::chrono::milliseconds(500);

} // namespace

double AdmissionPolicy::cacheLimit(std::uint32_t urgency)
{
    return cacheLimits[std::min<std::size_t>(urgency, cacheLimits.size() - 1)];
}

Duration AdmissionPolicy::maxWait(Duration objective) { return objective / patienceDivisor; }

Duration AdmissionPolicy::retryAfter(Duration meanDuration, Duration left, double draw)
{
    const auto spread = Duration(static_cast<Duration::rep>(static_cast<double>(meanDuration.count()) * (0.5 + draw)));
    constexpr int honouredPart = 3;
    return std::max(std::min(spread, left / honouredPart), std::min(shortestReturn, left / honouredPart));
}

void AdmissionQueue::push(Key key, const Waiting& waiting)
{
    const Place place { waiting.urgency, !waiting.returning, m_arrivals++ };
    m_places.emplace(place, std::pair(key, waiting.giveUpAt));
    m_byKey.emplace(key, place);
}

void AdmissionQueue::remove(Key key)
{
    const auto found = m_byKey.find(key);
    if (found == m_byKey.end())
        return;
    m_places.erase(found->second);
    m_byKey.erase(found);
}

std::vector<AdmissionQueue::Key> AdmissionQueue::order() const
{
    std::vector<Key> keys;
    keys.reserve(m_places.size());
    for (const auto& [place, waiting] : m_places)
        keys.push_back(waiting.first);
    return keys;
}

std::vector<AdmissionQueue::Key> AdmissionQueue::takeExpired(TimePoint now)
{
    std::vector<Key> expired;
    for (const auto& [place, waiting] : m_places) {
        if (now >= waiting.second)
            expired.push_back(waiting.first);
    }
    for (const Key key : expired)
        remove(key);
    return expired;
}

bool AdmissionQueue::hasWaiting(std::uint32_t urgency) const
{
    return !m_places.empty() && m_places.begin()->first.urgency <= urgency;
}

} // namespace fuchsialb
