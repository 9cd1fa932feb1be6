#pragma once

#include "../../Base/Clock.h"

#include <optional>

namespace fuchsialb {

/// \brief Notices that this host was held up: its process was stopped or got no processor time.
///
/// The silence of others in that time proves nothing, since their messages may wait unread.
class HostPauseDetector {
public:
    /// \param maxGap Longest time between two ticks of a host that isn't held up.
    explicit HostPauseDetector(Duration maxGap)
        : m_maxGap(maxGap)
    {
    }

    /// Called periodically.
    /// \return Time since the last tick if the host was held up.
    std::optional<Duration> tick(TimePoint now)
    {
        const bool wasOverdue = overdue(now);
        const Duration gap = m_lastTick ? now - *m_lastTick : Duration::zero();
        m_lastTick = now;
        if (wasOverdue)
            m_lastPauseEnd = now;
        return wasOverdue ? std::optional(gap) : std::nullopt;
    }

    /// \return Whether the host has been held up and hasn't ticked since.
    bool overdue(TimePoint now) const { return m_lastTick && now - *m_lastTick > m_maxGap; }

    /// \return Whether the host is held up, or was within `time` before `now`.
    bool heldUpWithin(Duration time, TimePoint now) const
    {
        return overdue(now) || (m_lastPauseEnd && now - *m_lastPauseEnd < time);
    }

private:
    Duration m_maxGap;
    std::optional<TimePoint> m_lastTick;
    std::optional<TimePoint> m_lastPauseEnd;
};

} // namespace fuchsialb
