#pragma once

#include "../Base/Clock.h"

#include <deque>

namespace fuchsialb {

/// \brief Limits how often requests are sent to a second runner, over a sliding window and over all hosts together.
///
/// Each host takes an equal share of the fixed allowance, and the ratio of its own requests.
class SharedRetryBudget {
public:
    struct Limits {
        /// Repeats for each request.
        double ratio = 0.1;
        Duration window { std::chrono::seconds(10) };
        /// Repeats in a window beyond the ratio, over all hosts.
        double allowance = 0;
    };

    explicit SharedRetryBudget(const Limits& limits)
        : m_limits(limits)
    {
    }

    void recordRequest(TimePoint now);
    /// \param hosts Number of hosts that share the allowance, at least 1.
    /// \return Whether a repeat may be made now; it is then counted.
    bool tryTake(TimePoint now, std::size_t hosts);

private:
    void expire(TimePoint now);

    Limits m_limits;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_repeats;
};

} // namespace fuchsialb
