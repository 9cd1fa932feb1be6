#pragma once

#include "../../Base/Clock.h"

#include <algorithm>
#include <deque>
#include <optional>

namespace fuchsialb {

/// \brief The latest durations of the requests for one service, as a bound on those to come.
class RecentDurations {
public:
    void record(Duration duration)
    {
        m_durations.push_back(duration);
        if (m_durations.size() > maxDurations)
            m_durations.pop_front();
    }

    /// \return The longest one; none while too few are known.
    std::optional<Duration> longest() const
    {
        if (m_durations.size() < minDurations)
            return std::nullopt;
        return *std::max_element(m_durations.begin(), m_durations.end());
    }

private:
    static constexpr std::size_t maxDurations = 200;
    // With fewer, a long request among a hundred is most likely not among them.
    static constexpr std::size_t minDurations = 30;

    std::deque<Duration> m_durations;
};

} // namespace fuchsialb
