#pragma once

#include "../../Base/Clock.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace fuchsialb {

/// \brief Whether a stream meets the objectives of its callers and, if not, what held it up.
///
/// The caller of a stream sees the time to its first event and the longest pause between two events. What happens
/// during a pause is noted as its reason; the reason of the longest pause is kept.
class StreamTimeliness {
public:
    /// \param pauseObjective Longest pause that callers accept; 0 if none is stated.
    StreamTimeliness(TimePoint receivedAt, Duration firstEventObjective, Duration pauseObjective)
        : m_receivedAt(receivedAt)
        , m_firstEventObjective(firstEventObjective)
        , m_pauseObjective(pauseObjective)
        , m_lastEvent(receivedAt)
    {
    }

    /// Records what the stream waits for; the first reason of a pause is its cause, the others follow from it.
    /// \param runner The runner at fault; empty if none is known.
    void recordReason(std::string_view reason, std::string_view runner = {})
    {
        if (!m_reason.empty())
            return;
        m_reason = reason;
        m_runner = runner;
    }

    void recordEvent(TimePoint now)
    {
        const Duration pause = now - m_lastEvent;
        const bool isFirst = !std::exchange(m_hasEvent, true);
        if (isFirst)
            m_firstEvent = pause;
        else
            m_longestPause = std::max(m_longestPause, pause);
        if (isFirst ? isFirstEventLate() : (pause == m_longestPause && hasLongPause())) {
            m_lateReason = m_reason.empty() ? "unexplained" : m_reason;
            m_lateRunner = m_runner;
            m_lateAt = now - m_receivedAt;
        }
        m_lastEvent = now;
        m_reason.clear();
        m_runner.clear();
    }

    bool hasEvent() const { return m_hasEvent; }
    Duration firstEvent() const { return m_firstEvent; }
    Duration longestPause() const { return m_longestPause; }
    bool isFirstEventLate() const { return m_hasEvent && m_firstEvent > m_firstEventObjective; }
    bool hasLongPause() const { return m_pauseObjective > Duration::zero() && m_longestPause > m_pauseObjective; }
    bool isLate() const { return isFirstEventLate() || hasLongPause(); }
    /// \return What held up the event that was late; "unexplained" if nothing was noted.
    const std::string& lateReason() const { return m_lateReason; }
    const std::string& lateRunner() const { return m_lateRunner; }
    /// \return When the late event arrived, since the request.
    Duration lateAt() const { return m_lateAt; }

private:
    TimePoint m_receivedAt;
    Duration m_firstEventObjective;
    Duration m_pauseObjective;
    TimePoint m_lastEvent;
    bool m_hasEvent = false;
    Duration m_firstEvent { 0 };
    Duration m_longestPause { 0 };
    std::string m_reason;
    std::string m_runner;
    std::string m_lateReason;
    std::string m_lateRunner;
    Duration m_lateAt { 0 };
};

} // namespace fuchsialb
