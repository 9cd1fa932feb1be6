#pragma once

#include "Units.h"

#include <cstdint>
#include <memory>

namespace fuchsialb {

/// \brief Memory that others decide on, over all who hold some of it.
///
/// A limit for each holder doesn't bound their sum. Once the sum has reached the limit, a holder is refused more if it
/// already holds a sixteenth or more of what is left up to twice the limit, so that those who hold little go on and the
/// sum stays below twice the limit.
///
/// Not thread-safe.
class MemoryBudget {
public:
    explicit MemoryBudget(Bytes limit)
        : m_limit(limit)
    {
    }

    Bytes used() const { return m_used; }
    /// \return How often a holder was refused more.
    std::uint64_t refusals() const { return m_refusals; }

private:
    friend class MemoryShare;

    bool mayTake(Bytes held, Bytes more) const;

    Bytes m_limit;
    Bytes m_used { 0 };
    std::uint64_t m_refusals = 0;
};

/// \brief What one holder has taken of a budget; returned at its end.
class MemoryShare {
public:
    /// \param budget Must not be null.
    explicit MemoryShare(std::shared_ptr<MemoryBudget> budget);
    ~MemoryShare();
    MemoryShare(const MemoryShare&) = delete;
    MemoryShare& operator=(const MemoryShare&) = delete;

    /// \return Whether the budget has allowed it; otherwise the share is as before.
    bool tryTake(Bytes more);
    /// Changes what the share holds; less is always allowed.
    bool tryResize(Bytes held);
    Bytes held() const { return m_held; }

private:
    std::shared_ptr<MemoryBudget> m_budget;
    Bytes m_held { 0 };
};

} // namespace fuchsialb
