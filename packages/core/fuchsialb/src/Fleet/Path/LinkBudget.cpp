#include "LinkBudget.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    // Fraction of the link's time available to requests; on a busier link, tokens queue noticeably.
    constexpr double linkShare = 0.6;
    // Period over which unused link time accumulates.
    constexpr Duration burstPeriod = std::chrono::seconds(1);

} // namespace

bool LinkBudget::allows(TimePoint now, std::size_t hosts)
{
    const double hostShare = linkShare / static_cast<double>(std::max<std::size_t>(1, hosts));
    const std::chrono::duration<double> capacity = burstPeriod * hostShare;
    // The bucket is full at the first call.
    const std::chrono::duration<double> refill
        = m_refilledAt == TimePoint() ? capacity : std::chrono::duration<double>(now - m_refilledAt) * hostShare;
    m_available = std::min(m_available + refill, capacity);
    m_refilledAt = now;
    return m_available.count() > 0;
}

} // namespace fuchsialb
