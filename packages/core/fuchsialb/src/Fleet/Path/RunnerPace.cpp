#include "RunnerPace.h"

#include <algorithm>
#include <utility>

namespace fuchsialb {

namespace {

    // Share of an interval's error that its stages are corrected by at once.
    constexpr double learningRate = 0.3;
    // Bounds the effect of one interval, for example one in which a stage read a long prompt.
    constexpr double maxRelativeError = 1;
    constexpr double minTimeRatio = 0.02;
    constexpr double maxTimeRatio = 50;
    constexpr std::size_t minIntervals = 32;
    // Streams tell of a runner several times a second. Later their estimate loses weight, until it counts no more.
    constexpr Duration freshTime = std::chrono::seconds(2);
    constexpr Duration evidenceTime = std::chrono::seconds(8);
    // A report describes the runner some hundred milliseconds ago.
    constexpr Duration reportTime = std::chrono::seconds(3);
    constexpr Duration medianPeriod = std::chrono::milliseconds(200);
    // Errors of the cost model and of the loads that other hosts reported late are smaller.
    constexpr double minSlowdown = 1.5;
    // Lower, so that streams don't return to several slow runners at once while the estimates fade.
    constexpr double minContinuedSlowdown = 1.25;
    constexpr double minReportedSlowdown = 1.1;
    // Runs move the estimate by this much up or down, so that it follows their median: a few runs that stood still for
    // another reason don't count for more.
    constexpr double longestToMeanStep = 0.02;
    constexpr double maxLongestToMean = 3;

    double milliseconds(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

} // namespace

void RunnerPace::recordInterval(const Path& path, const std::vector<double>& stageMilliseconds, double hopMilliseconds,
    Duration interval, TimePoint now)
{
    double modelled = 0;
    double squares = 0;
    for (const double stage : stageMilliseconds) {
        modelled += stage;
        squares += stage * stage;
    }
    const double observed = std::max(0.0, milliseconds(interval) - hopMilliseconds);
    if (squares <= 0)
        return;
    if (now - m_lastIntervalAt > evidenceTime)
        m_intervals = 0;
    // Without earlier evidence, the model is wrong by the same factor everywhere.
    if (m_intervals == 0) {
        m_estimates.clear();
        m_median = std::clamp(observed / modelled, minTimeRatio, maxTimeRatio);
        m_medianAt = now;
    }
    ++m_intervals;
    m_lastIntervalAt = now;
    double predicted = 0;
    for (std::size_t i = 0; i < path.size(); ++i) {
        Estimate& estimate = m_estimates[path[i].runner];
        estimate.timeRatio = learntRatio(estimate, now);
        estimate.isLearnt = true;
        estimate.learntAt = now;
        predicted += estimate.timeRatio * stageMilliseconds[i];
    }
    const double bound = maxRelativeError * predicted;
    const double correction = learningRate * std::clamp(observed - predicted, -bound, bound) / squares;
    for (std::size_t i = 0; i < path.size(); ++i) {
        Estimate& estimate = m_estimates[path[i].runner];
        estimate.timeRatio
            = std::clamp(estimate.timeRatio + correction * stageMilliseconds[i], minTimeRatio, maxTimeRatio);
        const double relative = estimate.timeRatio / medianRatio(now);
        estimate.isSlow = relative >= (estimate.isSlow ? minContinuedSlowdown : minSlowdown);
    }
}

void RunnerPace::recordReport(const EndpointId& runner, double pace, TimePoint now)
{
    Estimate& estimate = m_estimates[runner];
    estimate.reportedPace = std::clamp(pace, 1.0, maxTimeRatio);
    estimate.reportedAt = now;
}

void RunnerPace::recordRun(Duration mean, Duration longest)
{
    if (mean <= Duration(0))
        return;
    const bool isHigher = milliseconds(longest) > m_longestToMean * milliseconds(mean);
    m_longestToMean
        = std::clamp(m_longestToMean + (isHigher ? longestToMeanStep : -longestToMeanStep), 1.0, maxLongestToMean);
}

bool RunnerPace::isCalibrated(TimePoint now) const
{
    return m_intervals >= minIntervals && now - m_lastIntervalAt <= evidenceTime;
}

double RunnerPace::medianRatio(TimePoint now) const
{
    if (m_medianAt && now - *m_medianAt < medianPeriod)
        return m_median;
    std::vector<double> ratios;
    for (const auto& [runner, estimate] : m_estimates) {
        if (estimate.isLearnt && now - estimate.learntAt <= freshTime)
            ratios.push_back(estimate.timeRatio);
    }
    m_medianAt = now;
    if (ratios.empty())
        return m_median;
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    m_median = *middle;
    return m_median;
}

double RunnerPace::learntRatio(const Estimate& estimate, TimePoint now) const
{
    const double median = medianRatio(now);
    if (!estimate.isLearnt)
        return median;
    const double age = milliseconds(std::max(Duration(0), now - estimate.learntAt - freshTime));
    const double weight = std::max(0.0, 1 - age / milliseconds(evidenceTime - freshTime));
    return median + weight * (estimate.timeRatio - median);
}

std::optional<double> RunnerPace::reportedPace(const Estimate& estimate, TimePoint now)
{
    if (!estimate.reportedAt || now - *estimate.reportedAt > reportTime)
        return std::nullopt;
    return estimate.reportedPace < minReportedSlowdown ? 1 : estimate.reportedPace;
}

double RunnerPace::timeRatio(const EndpointId& runner, TimePoint now) const
{
    const auto found = m_estimates.find(runner);
    if (found == m_estimates.end())
        return medianRatio(now);
    if (const auto pace = reportedPace(found->second, now))
        return medianRatio(now) * *pace;
    return learntRatio(found->second, now);
}

double RunnerPace::slowdown(const EndpointId& runner, TimePoint now) const
{
    const auto found = m_estimates.find(runner);
    if (found == m_estimates.end())
        return 1;
    if (const auto pace = reportedPace(found->second, now))
        return *pace;
    if (!found->second.isSlow || !isCalibrated(now))
        return 1;
    const double relative = learntRatio(found->second, now) / medianRatio(now);
    return relative < minContinuedSlowdown ? 1 : relative;
}

std::size_t RunnerPace::slowRunners(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_estimates.begin(), m_estimates.end(),
        [&](const auto& estimate) { return slowdown(estimate.first, now) > 1; }));
}

std::vector<RunnerPace::Change> RunnerPace::takeChanges(TimePoint now)
{
    std::vector<Change> changes;
    for (auto& [runner, estimate] : m_estimates) {
        const double slowdown = this->slowdown(runner, now);
        if ((slowdown > 1) != std::exchange(estimate.wasSlow, slowdown > 1))
            changes.push_back({ runner, slowdown });
    }
    std::erase_if(m_estimates, [&](const auto& estimate) {
        const bool isOutdated = !estimate.second.isLearnt || now - estimate.second.learntAt > evidenceTime;
        return isOutdated && !reportedPace(estimate.second, now);
    });
    return changes;
}

} // namespace fuchsialb
