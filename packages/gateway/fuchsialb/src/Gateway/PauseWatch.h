#pragma once

#include "Call.h"

namespace fuchsialb {

/// \brief Applies forecasts of the pauses of one stream: chooses its paths by them, compares them with what its caller
/// sees, and learns the pace of runners from its events.
///
/// Has no effect unless a route to the service states a pause objective and the service has an engine.
class PauseWatch {
public:
    PauseWatch(GatewayContext& context, const MatchedRequest& matched)
        : m_context(context)
        , m_matched(matched)
    {
    }

    bool isActive() const;
    /// \return What is known of the pace of runners; null unless active.
    const RunnerPace* pace() const { return isActive() ? &m_context.runnerPace : nullptr; }
    /// \return The path to use; none if the request is held or no path has capacity. Only when active.
    std::optional<Path> findPath(PathRequest request, PauseAdmission::Terms terms, TimePoint now);
    /// \return Time after which the request is likely to be admitted, if the last search held it.
    std::optional<Duration> heldFor() const { return m_heldFor; }
    void startRun() { m_intervals = {}; }
    /// \param pause Time since the event before.
    /// \param events Number of events that arrived together.
    void recordEvents(const Path& path, Duration pause, std::int64_t events, TimePoint now);
    /// Compares the forecast with the intervals of a run that has ended well.
    void recordServed(TimePoint now);

private:
    void report(const PauseAdmission::Decision& decision, TimePoint now);

    GatewayContext& m_context;
    const MatchedRequest& m_matched;
    EventIntervals m_intervals;
    PauseForecast m_forecast;
    PauseAdmission::Verdict m_verdict = PauseAdmission::Verdict::Unknown;
    std::optional<Duration> m_heldFor;
    /// A held request isn't looked at again before.
    TimePoint m_nextSearchAt {};
};

} // namespace fuchsialb
