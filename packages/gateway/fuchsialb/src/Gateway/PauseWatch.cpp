#include "PauseWatch.h"

#include <cmath>

namespace fuchsialb {

namespace {

    // Shorter runs tell little of the pauses of whole ones.
    constexpr std::int64_t minEvents = 16;
    // Loads change little in this time, and a search takes a good part of a small host's processor.
    constexpr Duration heldSearchInterval = std::chrono::milliseconds(50);

    double milliseconds(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

    std::int64_t rounded(double value) { return static_cast<std::int64_t>(std::lround(value)); }

    std::string_view outcomeName(bool forecastLate, bool wasLate)
    {
        if (forecastLate)
            return wasLate ? "late-as-forecast" : "on-time-unexpectedly";
        return wasLate ? "late-unexpectedly" : "on-time-as-forecast";
    }

} // namespace

bool PauseWatch::isActive() const
{
    return m_matched.service->engine && m_matched.service->pauseObjective > Duration(0);
}

std::optional<Path> PauseWatch::findPath(PathRequest request, PauseAdmission::Terms terms, TimePoint now)
{
    if (m_heldFor && now < m_nextSearchAt)
        return std::nullopt;
    terms.objective = m_matched.route->pauseObjective;
    terms.serviceObjective = m_matched.service->pauseObjective;
    const PauseAdmission admission(m_context.runners, m_context.ledger, m_context.runnerPace);
    PauseAdmission::Decision decision = admission.choose(std::move(request), *m_matched.service->engine, terms, now);
    m_forecast = decision.forecast;
    m_heldFor.reset();
    if (decision.verdict == PauseAdmission::Verdict::Held) {
        m_heldFor = decision.wait;
        m_nextSearchAt = now + heldSearchInterval;
    }
    if (std::exchange(m_verdict, decision.verdict) != decision.verdict)
        report(decision, now);
    return std::move(decision.path);
}

void PauseWatch::report(const PauseAdmission::Decision& decision, TimePoint now)
{
    m_context.metrics.count("pause_forecasts", "verdict", verdictName(decision.verdict));
    if (decision.verdict == PauseAdmission::Verdict::Unknown || decision.verdict == PauseAdmission::Verdict::Usual)
        return;
    LogLine line("pause-forecast");
    line.add("request", m_matched.request.id).add("verdict", verdictName(decision.verdict));
    line.add("pause_ms", rounded(decision.forecast.pause)).add("shared_ms", rounded(decision.forecast.shared));
    line.add("objective_ms", rounded(milliseconds(m_matched.service->pauseObjective)));
    line.add("slow_runners", static_cast<std::int64_t>(m_context.runnerPace.slowRunners(now)));
    line.add("wait_ms", rounded(milliseconds(decision.wait)));
    m_context.log.log(line);
}

void PauseWatch::recordEvents(const Path& path, Duration pause, std::int64_t events, TimePoint now)
{
    if (!isActive() || events == 0)
        return;
    const auto interval = m_intervals.add(pause, events);
    if (!interval)
        return;
    const PathTimes times = modelPathTimes(path, *m_matched.service->engine, m_context.runners, m_context.ledger, 0);
    m_context.runnerPace.recordInterval(path, times.stages, times.hops, *interval, now);
}

void PauseWatch::recordServed(TimePoint now)
{
    if (!isActive() || m_intervals.events() < minEvents)
        return;
    m_context.runnerPace.recordRun(m_intervals.mean(), m_intervals.longest());
    for (const RunnerPace::Change& change : m_context.runnerPace.takeChanges(now)) {
        LogLine line(change.slowdown > 1 ? "runner-slow" : "runner-no-longer-slow");
        constexpr double percent = 100;
        m_context.log.log(
            line.add("runner", change.runner.value()).add("time_percent", rounded(change.slowdown * percent)));
    }
    m_context.metrics.set("slow_runners", static_cast<double>(m_context.runnerPace.slowRunners(now)));
    if (m_verdict == PauseAdmission::Verdict::Unknown)
        return;
    const double objective = milliseconds(m_matched.service->pauseObjective);
    const double error = std::abs(milliseconds(m_intervals.mean()) - m_forecast.interval);
    constexpr double microsecondsPerMillisecond = 1000;
    m_context.metrics.observe("event_interval_error", Duration(rounded(error * microsecondsPerMillisecond)));
    m_context.metrics.count("pause_outcomes", "outcome",
        outcomeName(m_forecast.pause > objective, milliseconds(m_intervals.longest()) > objective));
}

} // namespace fuchsialb
