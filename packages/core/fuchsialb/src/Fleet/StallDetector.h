#pragma once

#include "../Base/Clock.h"

namespace fuchsialb {

/// \brief Notices a stream that has stopped for far longer than its usual pace.
///
/// A runner on a path that is dead or cut off says nothing: work behind it stalls for seconds, and callers leave after
/// a pause of two. So the first runner is asked what stalls after a short pause, and the stream goes on elsewhere when
/// it names the request or when the pause gets long. A preempted request also pauses; it is not named and is given more
/// time.
class StallDetector {
public:
    enum class Verdict : unsigned char {
        Flowing,
        /// Ask the first runner of the path which stage stalls.
        Ask,
        /// Go on at other runners.
        GiveUp,
    };

    struct Limits {
        /// Pause after which the first runner is asked.
        Duration askAfter { std::chrono::milliseconds(450) };
        /// Pause after which the stream goes on elsewhere, whatever the first runner says.
        Duration giveUpAfter { std::chrono::milliseconds(1300) };
        /// Shortest time between two questions.
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
