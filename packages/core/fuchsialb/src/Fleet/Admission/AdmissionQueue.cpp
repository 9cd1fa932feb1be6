#include "AdmissionQueue.h"

#include <algorithm>
#include <array>

namespace fuchsialb {

namespace {

    constexpr std::array<double, 3> cacheLimits { 1.0, 0.94, 0.86 };
    // After waiting longer than this part of its latency objective, a request would miss the objective anyway; it is
    // refused with a retry delay instead.
    constexpr int maxWaitDivisor = 2;
    constexpr Duration minRetryDelay = std::chrono::milliseconds(500);

} // namespace

double AdmissionPolicy::cacheLimit(std::uint32_t urgency)
{
    return cacheLimits[std::min<std::size_t>(urgency, cacheLimits.size() - 1)];
}

Duration AdmissionPolicy::maxWait(Duration objective) { return objective / maxWaitDivisor; }

Duration AdmissionPolicy::retryAfter(Duration meanDuration, Duration timeLeft, double jitter)
{
    const auto delay = Duration(static_cast<Duration::rep>(static_cast<double>(meanDuration.count()) * (0.5 + jitter)));
    constexpr int timeLeftDivisor = 3;
    return std::max(std::min(delay, timeLeft / timeLeftDivisor), std::min(minRetryDelay, timeLeft / timeLeftDivisor));
}

void AdmissionQueue::push(Key key, const Entry& entry)
{
    const Position position { entry.urgency, !entry.isRetry, m_nextArrival++ };
    m_queue.emplace(position, std::pair(key, entry.expiresAt));
    m_positions.emplace(key, position);
}

void AdmissionQueue::remove(Key key)
{
    const auto found = m_positions.find(key);
    if (found == m_positions.end())
        return;
    m_queue.erase(found->second);
    m_positions.erase(found);
}

std::vector<AdmissionQueue::Key> AdmissionQueue::order() const
{
    std::vector<Key> keys;
    keys.reserve(m_queue.size());
    for (const auto& [position, waiting] : m_queue)
        keys.push_back(waiting.first);
    return keys;
}

std::vector<AdmissionQueue::Key> AdmissionQueue::takeExpired(TimePoint now)
{
    std::vector<Key> expired;
    for (const auto& [position, waiting] : m_queue) {
        if (now >= waiting.second)
            expired.push_back(waiting.first);
    }
    for (const Key key : expired)
        remove(key);
    return expired;
}

bool AdmissionQueue::hasWaiting(std::uint32_t urgency) const
{
    return !m_queue.empty() && m_queue.begin()->first.urgency <= urgency;
}

} // namespace fuchsialb
