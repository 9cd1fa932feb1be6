#pragma once

#include "../Base/Clock.h"

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
    {
    }

    void recordEvent(TimePoint now) { m_lastEvent = now; }
    TimePoint lastEvent() const { return m_lastEvent; }

    Verdict check(TimePoint now)
    {
        const Duration pause = now - m_lastEvent;
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
    TimePoint m_askedAt {};
};

} // namespace fuchsialb
