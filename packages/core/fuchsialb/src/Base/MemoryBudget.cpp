#include "MemoryBudget.h"

#include <algorithm>
#include <utility>

namespace fuchsialb {

bool MemoryBudget::mayTake(Bytes held, Bytes more) const
{
    // A holder with less than this share of what is left isn't the one that exhausts the budget.
    constexpr std::int64_t smallShare = 16;
    const std::int64_t used = m_used.value() + more.value();
    if (used <= m_limit.value())
        return true;
    const std::int64_t left = std::max<std::int64_t>(0, 2 * m_limit.value() - used);
    return held.value() < left / smallShare;
}

MemoryShare::MemoryShare(std::shared_ptr<MemoryBudget> budget)
    : m_budget(std::move(budget))
{
}

MemoryShare::~MemoryShare() { m_budget->m_used -= m_held; }

bool MemoryShare::tryTake(Bytes more) { return tryResize(m_held + more); }

bool MemoryShare::tryResize(Bytes held)
{
    if (held > m_held && !m_budget->mayTake(m_held, held - m_held)) {
        ++m_budget->m_refusals;
        return false;
    }
    m_budget->m_used += held - m_held;
    m_held = held;
    return true;
}

} // namespace fuchsialb
