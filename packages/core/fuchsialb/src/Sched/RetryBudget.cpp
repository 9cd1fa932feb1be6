#include "RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace fuchsialb {

namespace {

    constexpr double retriesPerRequest = 0.1;
    constexpr double recentSeconds = 10.0;
    /// Without a floor a group with few requests could never retry.
    constexpr double floorPerSecond = 0.5;
    constexpr double floorBurst = 3.0;

} // namespace

void RetryBudget::refill(TimePoint now)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - m_refilledAt).count());
    m_recentRequests *= std::exp(-seconds / recentSeconds);
    const double most = std::max(floorBurst, retriesPerRequest * m_recentRequests);
    m_available = std::min(most, m_available + floorPerSecond * seconds);
    m_refilledAt = now;
}

void RetryBudget::onRequest(TimePoint now)
{
    refill(now);
    m_recentRequests += 1;
    m_available += retriesPerRequest;
}

bool RetryBudget::take(TimePoint now)
{
    refill(now);
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

} // namespace fuchsialb
