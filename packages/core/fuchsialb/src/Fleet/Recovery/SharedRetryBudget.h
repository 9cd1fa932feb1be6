#pragma once

#include "../../Base/Clock.h"

#include <deque>

namespace fuchsialb {

/// \brief Limits retries at another runner within a sliding window, over all hosts together.
///
/// Each host may use an equal share of the fixed allowance plus a ratio of its own requests.
class SharedRetryBudget {
public:
    struct Limits {
        /// Retries per request.
        double ratio = 0.1;
        Duration window { std::chrono::seconds(10) };
        /// Retries per window in addition to the ratio, over all hosts.
        double allowance = 0;
    };

    explicit SharedRetryBudget(const Limits& limits)
        : m_limits(limits)
    {
    }

    void recordRequest(TimePoint now);
    /// \brief Takes one retry from the budget, if there is one left.
    /// \param hosts Number of hosts that share the allowance, at least 1.
    /// \return Whether the retry is allowed.
    bool tryTake(TimePoint now, std::size_t hosts);
    /// \brief Takes one for a request that didn't fail, if enough is left for those that do.
    /// \param hosts As in `tryTake`.
    bool tryTakeSpare(TimePoint now, std::size_t hosts);
    /// Puts back the retry taken last, which was not sent.
    void giveBack();

    struct Usage {
        /// Retries of this host within the window.
        double taken = 0;
        double allowed = 0;
    };
    Usage usage(TimePoint now, std::size_t hosts);

private:
    void expire(TimePoint now);
    double allowedRetries(std::size_t hosts) const;
    /// Takes one unless more than `share` of the budget would then be in use.
    bool tryTakeWithin(double share, TimePoint now, std::size_t hosts);

    Limits m_limits;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

} // namespace fuchsialb
