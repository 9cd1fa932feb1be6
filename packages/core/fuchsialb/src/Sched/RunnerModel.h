#pragma once

#include "../Base/Clock.h"
#include "../Config/Configuration.h"
#include "GroupScheduler.h"

#include <optional>

namespace fuchsialb {

/// \brief What the scheduler knows of one endpoint: its cost model, own work in progress, reported load and health.
class RunnerModel {
public:
    /// \param slowStart Whether the endpoint joins a group that is already at work.
    RunnerModel(
        const Endpoint& endpoint, const AcceleratorKind& kind, const LinkClass& link, bool slowStart, TimePoint now);

    void update(const Endpoint& endpoint, const AcceleratorKind& kind, const LinkClass& link, TimePoint now);
    /// The endpoint left the configuration: no new work, work in progress goes on.
    void remove() { m_removed = true; }
    bool removed() const { return m_removed; }

    const Endpoint& endpoint() const { return m_endpoint; }
    const LinkClass& link() const { return m_link; }

    /// \return Whether it may get new work at all.
    bool available() const { return !m_removed && m_endpoint.state == EndpointState::Active && !m_suspended; }
    bool suspended() const { return m_suspended; }
    /// \return Concurrency limit now: 0 when unavailable, reduced during slow start and for a slow endpoint.
    std::uint32_t limit(TimePoint now) const;
    bool hasRoom(TimePoint now) const { return m_inProgress < limit(now); }

    void acquire();
    void release();
    std::uint32_t inProgress() const { return m_inProgress; }
    /// \return Sequences or calls in progress: own ones and those that reports show beyond them.
    double load() const { return m_inProgress + m_foreignLoad; }

    /// \return Seconds of a step with `sequences` in the batch, by the cost model and the measured slowness.
    double stepSeconds(double sequences) const;
    /// \return Seconds of a step when one more sequence joins.
    double nextStepSeconds() const { return stepSeconds(load() + 1); }
    double prefillSeconds(double tokens) const;

    void onReport(const LoadReport& report, TimePoint now);
    std::optional<TimePoint> reportedAt() const { return m_reportedAt; }
    /// \return Latest step time over the predicted one; none when idle or never reported.
    std::optional<double> stepRatio() const { return m_stepRatio; }
    /// \param relative Step ratio over the median of the kind.
    void judgeSlowness(double relative, TimePoint now);
    double slowness() const { return m_slowness; }

    /// \param silent The runner yielded nothing; reports that are still under way do not show that it is back.
    void onFailure(TimePoint now, bool silent);
    void onSuccess() { m_failures = 0; }
    /// A token of any run passed through the runner.
    void onToken(TimePoint now) { m_tokenAt = now; }
    /// \return When the last token passed through, the epoch of the clock when none did.
    TimePoint tokenAt() const { return m_tokenAt; }
    /// Ends a suspension when its time is over and the endpoint has reported again.
    void refresh(TimePoint now);

private:
    Endpoint m_endpoint;
    AcceleratorKind m_kind;
    LinkClass m_link;
    bool m_removed = false;
    std::uint32_t m_inProgress = 0;
    /// Most own work in progress since the last report, which the next report may still show.
    std::uint32_t m_peakInProgress = 0;
    double m_foreignLoad = 0;
    std::optional<TimePoint> m_reportedAt;
    TimePoint m_tokenAt {};
    bool m_silent = false;
    std::optional<double> m_stepRatio;
    double m_slowness = 1;
    std::optional<TimePoint> m_slowSince;
    std::optional<TimePoint> m_idleSince;
    bool m_suspended = false;
    TimePoint m_failedAt {};
    std::uint32_t m_failures = 0;
    std::optional<TimePoint> m_returnedAt;
};

} // namespace fuchsialb
