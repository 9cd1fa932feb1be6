#include "Admission.h"

#include <algorithm>
#include <cmath>

namespace fuchsialb {

namespace {

    constexpr Duration window = std::chrono::milliseconds(100);
    constexpr double rateTimeConstantSeconds = 1.0;
    constexpr double capacityTimeConstantSeconds = 2.0;
    /// A rank's own rate is trusted once it has had a backlog for this long.
    constexpr Duration trustedBacklog = std::chrono::seconds(1);
    /// Bounds a measured rate from below, so that a short stall does not reject everything.
    constexpr double leastFraction = 0.5;
    constexpr double leastCapacity = 1e-3;
    constexpr Duration leastRetryAfter = std::chrono::milliseconds(100);
    constexpr Duration mostRetryAfter = std::chrono::seconds(60);
    constexpr double mostJitter = 0.25;

} // namespace

Admission::Admission(const RankTable<double>& guaranteed, double capacity)
    : m_guaranteed(guaranteed)
    , m_capacity(std::max(capacity, leastCapacity))
{
}

void Admission::scaleCapacity(double factor) { m_capacity = std::max(m_capacity * factor, leastCapacity); }

void Admission::observe(TimePoint now, bool saturated, const RankTable<bool>& backlogged)
{
    for (Rank rank : allRanks) {
        auto& since = m_backloggedSince[rank];
        since = backlogged[rank] ? since.value_or(now) : std::optional<TimePoint> {};
        m_longBacklogged[rank] = since && now - *since >= trustedBacklog;
    }
    if (!m_windowStart) {
        m_windowStart = now;
        m_saturatedWindow = saturated;
    }
    m_saturatedWindow = m_saturatedWindow && saturated;
    if (now - *m_windowStart < window)
        return;
    const double seconds = std::chrono::duration<double>(now - *m_windowStart).count();
    double total = 0;
    for (Rank rank : allRanks) {
        const double rate = m_served[rank] / seconds;
        m_rate[rank] += (rate - m_rate[rank]) * (1 - std::exp(-seconds / rateTimeConstantSeconds));
        total += rate;
        m_served[rank] = 0;
    }
    if (m_saturatedWindow && total > 0)
        m_capacity += (total - m_capacity) * (1 - std::exp(-seconds / capacityTimeConstantSeconds));
    m_capacity = std::max(m_capacity, leastCapacity);
    m_windowStart = now;
    m_saturatedWindow = saturated;
}

double Admission::rate(Rank rank) const
{
    // What the others keep: more urgent ranks all that they use, less urgent ones no more than their guarantee.
    double available = m_capacity;
    for (Rank other : allRanks) {
        if (other == rank)
            continue;
        const double kept = m_guaranteed[other] * m_capacity;
        available -= other < rank ? m_rate[other] : std::min(m_rate[other], kept);
    }
    const double expected = std::max({ available, m_guaranteed[rank] * m_capacity, leastCapacity });
    return m_longBacklogged[rank] ? std::max(m_rate[rank], leastFraction * expected) : expected;
}

Duration Admission::wait(Rank rank, double costAhead) const
{
    const double seconds = std::clamp(costAhead / rate(rank), 0.0, 1e6);
    return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

Duration Admission::retryAfter(Duration wait, Random& random)
{
    const Duration base = std::clamp(wait, leastRetryAfter, mostRetryAfter);
    return base + Duration(static_cast<Duration::rep>(static_cast<double>(base.count()) * mostJitter * random.unit()));
}

} // namespace fuchsialb
