#pragma once

#include "../../Base/Clock.h"

#include <cstdint>

namespace fuchsialb {

/// \brief Whether the store answers the calls of this host, which beats tell the other hosts: while it turns a host
/// away, another one has to read it for them.
class StoreReach {
public:
    void recordSuccess() { m_failures = 0; }
    void recordFailure(Duration now)
    {
        ++m_failures;
        m_failedAt = now;
    }
    /// \return Whether several calls have failed, the last one a short while ago, and none has succeeded since. A host
    ///     that has no more calls to make is taken to reach the store again.
    bool isLost(Duration now) const
    {
        // The store may cut a single watch at any time.
        constexpr std::uint32_t minFailures = 2;
        // Longer than the interval between the retries of a host that needs the store.
        constexpr Duration memory = std::chrono::seconds(4);
        return m_failures >= minFailures && now - m_failedAt < memory;
    }

private:
    std::uint32_t m_failures = 0;
    Duration m_failedAt { 0 };
};

} // namespace fuchsialb
