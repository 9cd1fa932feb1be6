#pragma once

#include "../../Base/Clock.h"

#include <algorithm>

namespace fuchsialb {

/// \brief What a host that shuts down still does, by the time since it was told to.
class ShutdownSchedule {
public:
    /// \param grace Time after which the process is killed.
    explicit ShutdownSchedule(Duration grace)
        : m_grace(grace)
    {
    }

    /// \return Whether a request is taken: it is early enough that callers may not know of the shutdown yet, and the
    ///     request is expected to finish in time. Another host serves those that aren't.
    /// \param expectedDuration Longest time that the request is expected to take.
    bool accepts(Duration elapsed, Duration expectedDuration) const
    {
        return elapsed < acceptTime && elapsed + expectedDuration <= answerTime();
    }

    /// \return Time at which the requests that are still open are answered, so that no connection ends without an
    ///     answer.
    Duration answerTime() const { return exitTime() - writeTime; }

    /// \return Time at which the process exits if the answers have been written by then.
    Duration exitTime() const { return std::max(writeTime, m_grace - exitMargin); }

    /// \return Whether a process that has answered its open requests exits. A process that is held up answers late, and
    ///     its answers still have to be written.
    /// \param sinceAnswers Time since they were answered.
    /// \param isWritten No answer waits to be written.
    bool exitsAfterAnswers(Duration elapsed, Duration sinceAnswers, bool isWritten) const
    {
        const bool isLast = elapsed >= m_grace - killMargin;
        return sinceAnswers > Duration::zero() && (isLast || (isWritten && sinceAnswers >= writeTime));
    }

    /// \return Whether a process without open requests may exit. New connections keep arriving for a while after the
    ///     readiness probe starts to fail.
    static bool mayExit(Duration elapsed) { return elapsed >= minDuration; }

private:
    static constexpr Duration acceptTime = std::chrono::milliseconds(2500);
    static constexpr Duration minDuration = std::chrono::milliseconds(3000);
    // The process must exit before the grace time ends, also if it is held up a little.
    static constexpr Duration exitMargin = std::chrono::milliseconds(400);
    // An exit in the last moment is as good as a kill.
    static constexpr Duration killMargin = std::chrono::milliseconds(50);
    // For writing the last answers.
    static constexpr Duration writeTime = std::chrono::milliseconds(100);

    Duration m_grace;
};

} // namespace fuchsialb
