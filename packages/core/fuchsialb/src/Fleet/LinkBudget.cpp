#include "LinkBudget.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    // Part of the link's time given to requests; a link that is busier than this makes tokens queue noticeably.
    constexpr double usedShare = 0.6;
    // Time over which an unused share adds up.
    constexpr Duration longestSaving = std::chrono::seconds(1);

} // namespace

bool LinkBudget::allows(TimePoint now, std::size_t hosts)
{
    const double share = usedShare / static_cast<double>(std::max<std::size_t>(1, hosts));
    const std::chrono::duration<double> most = longestSaving * share;
    // The first call starts with a full saving.
    const std::chrono::duration<double> gained
        = m_filledAt == TimePoint() ? most : std::chrono::duration<double>(now - m_filledAt) * share;
    m_left = std::min(m_left + gained, most);
    m_filledAt = now;
    return m_left.count() > 0;
}

} // namespace fuchsialb
