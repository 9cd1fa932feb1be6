#pragma once

#include "../../Base/Units.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace fuchsialb {

/// \brief Intervals between the events of one run, as its caller sees them.
class EventIntervals {
public:
    /// Longer pauses are those of a runner that has stopped or of a lost link, not of a slow one.
    static constexpr Duration maxInterval = std::chrono::milliseconds(400);

    /// \param pause Time since the event before.
    /// \param events Number of events that arrived together, at least 1.
    /// \return The mean interval of the last events, each time that enough of them are known.
    std::optional<Duration> add(Duration pause, std::int64_t events)
    {
        // Several events make the mean robust against one pass that read a long prompt.
        constexpr std::int64_t windowEvents = 4;
        if (pause > maxInterval)
            return std::nullopt;
        m_longest = std::max(m_longest, pause);
        m_time += pause;
        m_events += events;
        m_windowTime += pause;
        m_windowEvents += events;
        if (m_windowEvents < windowEvents)
            return std::nullopt;
        const Duration mean = m_windowTime / m_windowEvents;
        m_windowTime = Duration(0);
        m_windowEvents = 0;
        return mean;
    }

    std::int64_t events() const { return m_events; }
    /// \return The mean interval; 0 before the second event.
    Duration mean() const { return m_events == 0 ? Duration(0) : m_time / m_events; }
    Duration longest() const { return m_longest; }

private:
    Duration m_time { 0 };
    Duration m_longest { 0 };
    std::int64_t m_events = 0;
    Duration m_windowTime { 0 };
    std::int64_t m_windowEvents = 0;
};

} // namespace fuchsialb
