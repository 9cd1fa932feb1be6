#pragma once

#include "../../Base/Clock.h"

#include <utility>

namespace fuchsialb {

/// \brief Detects a stream whose events have stopped for far longer than its usual interval.
///
/// A dead or unreachable runner reports nothing: requests whose path includes it stall for seconds, and callers
/// disconnect after a pause of two seconds. After a short pause the first runner of the path is therefore asked which
/// requests stall. The stream moves to other runners when the first runner names its request or when the pause gets
/// long. A preempted request also pauses, but isn't named and so gets more time.
class StallDetector {
public:
    enum class Verdict : unsigned char {
        Flowing,
        /// Ask the first runner of the path which stage of it stalls.
        Ask,
        /// Resume the stream at other runners.
        GiveUp,
    };

    struct Limits {
        /// Pause after which the first runner is asked.
        Duration askAfter { std::chrono::milliseconds(450) };
        /// Pause after which the stream is resumed at other runners, whatever the first runner answers.
        Duration giveUpAfter { std::chrono::milliseconds(1300) };
        /// Shortest time between two inquiries.
        Duration askEvery { std::chrono::milliseconds(300) };
    };

    StallDetector(const Limits& limits, TimePoint start)
        : m_limits(limits)
        , m_lastEvent(start)
        , m_pauseStart(start)
    {
    }

    void recordEvent(TimePoint now)
    {
        m_lastEvent = now;
        m_pauseStart = now;
        m_hostPauseSeen = false;
    }
    TimePoint lastEvent() const { return m_lastEvent; }
    TimePoint pauseStart() const { return m_pauseStart; }
    /// \brief Starts the pause anew after this host was held up, since events may wait unread.
    ///
    /// Once for each pause, so that a host that is held up again and again still notices a dead runner.
    void recordHostPause(TimePoint now)
    {
        if (!std::exchange(m_hostPauseSeen, true))
            m_pauseStart = now;
    }

    Verdict check(TimePoint now)
    {
        const Duration pause = now - m_pauseStart;
        if (pause >= m_limits.giveUpAfter)
            return Verdict::GiveUp;
        if (pause < m_limits.askAfter || now - m_askedAt < m_limits.askEvery)
            return Verdict::Flowing;
        m_askedAt = now;
        return Verdict::Ask;
    }

private:
    Limits m_limits;
    TimePoint m_lastEvent;
    /// Start of the pause that counts; later than the last event if this host was held up since.
    TimePoint m_pauseStart;
    bool m_hostPauseSeen = false;
    TimePoint m_askedAt {};
};

} // namespace fuchsialb
