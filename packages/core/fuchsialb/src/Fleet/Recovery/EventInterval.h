#pragma once

#include "../../Base/Clock.h"

#include <algorithm>

namespace fuchsialb {

/// \brief Time between the events of a service's streams, learnt from all streams of this host: mean and 99th
/// percentile.
///
/// The percentile is tracked by steps (frugal streaming quantile: Ma, Muthukrishnan and Sandler, 2013). Where events
/// come at regular intervals, one that is overdue shows at once that a runner has stopped; where runners hold up their
/// streams now and then, it shows nothing.
class EventInterval {
public:
    void record(Duration interval)
    {
        if (m_mean == Duration::zero()) {
            m_mean = interval;
            m_percentile = 2 * interval;
            return;
        }
        m_mean += (std::min(interval, 2 * m_mean) - m_mean) / meanSmoothing;
        const Duration step = m_mean / stepDivisor;
        m_percentile += interval > m_percentile ? step : -step / percentileOdds;
        m_percentile = std::max(m_percentile, m_mean);
    }

    /// \return 0 before the first interval.
    Duration mean() const { return m_mean; }
    /// \return The pause after which the next event of a stream is overdue; 0 before the first interval.
    Duration dueAfter() const { return m_percentile + m_mean / 4; }
    /// \param objective Longest pause that callers accept.
    /// \return Whether a stream that leaves a silent runner when its event is overdue may meet the objective: the new
    ///     stages take up to one and a half intervals for the tokens so far, and the next event another one.
    bool allowsRecovery(Duration objective) const
    {
        return m_mean > Duration::zero() && m_percentile + 5 * m_mean / 2 <= objective;
    }

private:
    static constexpr int meanSmoothing = 32;
    static constexpr int stepDivisor = 10;
    /// Steps down for each step up at the 99th percentile.
    static constexpr int percentileOdds = 99;

    Duration m_mean { 0 };
    Duration m_percentile { 0 };
};

} // namespace fuchsialb
