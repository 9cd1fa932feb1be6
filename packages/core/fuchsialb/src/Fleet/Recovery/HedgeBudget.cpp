#include "HedgeBudget.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fuchsialb {

void HedgeBudget::recordRequest(TimePoint now)
{
    const auto elapsed = std::chrono::duration<double>(now - m_updatedAt);
    m_requests = 1 + m_requests * std::exp(-elapsed / m_window);
    m_updatedAt = now;
    m_credit = std::min(m_credit + m_ratio, std::max(1.0, m_ratio * m_requests));
}

void HedgeBudget::take()
{
    assert(hasOne());
    m_credit -= 1;
}

} // namespace fuchsialb
