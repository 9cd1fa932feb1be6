#pragma once

#include "../../Base/Clock.h"
#include "../Admission/LoadLedger.h"

#include <map>
#include <optional>
#include <vector>

namespace fuchsialb {

/// \brief Learns how much slower than the cost model the runners of a service are, from the intervals between the
/// events of this host's streams.
///
/// An interval tells only the sum over the stages of a path. Each one corrects the estimates of all its stages by
/// normalised least mean squares: the error is shared out by the square of their modelled times. Streams on other paths
/// correct what a sound stage was blamed for. Estimates that get no evidence fade towards the median, so that ever more
/// streams try a runner that was avoided. What a runner reports of itself takes precedence.
class RunnerPace {
public:
    /// \param stageMilliseconds Modelled time of each stage of the path for one event.
    /// \param hopMilliseconds Part of the interval that doesn't depend on the runners.
    /// \param interval Mean interval between some events.
    void recordInterval(const Path& path, const std::vector<double>& stageMilliseconds, double hopMilliseconds,
        Duration interval, TimePoint now);
    /// Records a runner's own report; 1 is its usual pace, more is slower.
    void recordReport(const EndpointId& runner, double pace, TimePoint now);
    /// Records the intervals of a whole run, of which callers see the longest.
    void recordRun(Duration mean, Duration longest);

    /// \return Whether enough intervals were seen lately to forecast others.
    bool isCalibrated(TimePoint now) const;
    /// \return Actual time of a runner relative to the model; the median of all runners if nothing is known of it.
    double timeRatio(const EndpointId& runner, TimePoint now) const;
    /// \return Time of a runner relative to the other ones; 1 unless it is clearly slower.
    double slowdown(const EndpointId& runner, TimePoint now) const;
    /// \return The longest interval of a run relative to its mean, at least 1; the median of the runs recorded.
    double longestToMean() const { return m_longestToMean; }
    std::size_t slowRunners(TimePoint now) const;

    struct Change {
        EndpointId runner;
        /// 1 if the runner is no longer slower than others.
        double slowdown = 1;
    };

    /// \return The runners that have become slower than others, or no longer are, since the last call.
    /// Forgets runners without evidence.
    std::vector<Change> takeChanges(TimePoint now);

private:
    struct Estimate {
        double timeRatio = 1;
        /// Whether the ratio comes from intervals.
        bool isLearnt = false;
        TimePoint learntAt {};
        double reportedPace = 1;
        std::optional<TimePoint> reportedAt {};
        /// Its events have shown it to be clearly slower than others, and not yet that it no longer is.
        bool isSlow = false;
        /// As last returned by `takeChanges`.
        bool wasSlow = false;
    };

    double medianRatio(TimePoint now) const;
    /// \return The estimate, faded with its age.
    double learntRatio(const Estimate& estimate, TimePoint now) const;
    /// \return The pace that the runner has reported lately.
    static std::optional<double> reportedPace(const Estimate& estimate, TimePoint now);

    std::map<EndpointId, Estimate> m_estimates;
    std::size_t m_intervals = 0;
    TimePoint m_lastIntervalAt {};
    double m_longestToMean = 1;
    mutable double m_median = 1;
    mutable std::optional<TimePoint> m_medianAt;
};

} // namespace fuchsialb
