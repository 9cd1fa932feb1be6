#include "RunnerModel.h"

#include <algorithm>
#include <cassert>

namespace fuchsialb {

namespace {

    /// Weight of a new report: reports lag by about a second, a single one may show a burst that is already over.
    constexpr double reportSmoothing = 0.3;
    constexpr double slowThreshold = 3.0;
    constexpr double recoveredThreshold = 1.5;
    constexpr Duration slowAfter = std::chrono::seconds(2);
    constexpr Duration slowStartStep = std::chrono::milliseconds(250);
    constexpr Duration firstSuspension = std::chrono::milliseconds(250);
    /// Reports up to this old still arrive from a runner that hangs.
    constexpr Duration mostReportLag = std::chrono::milliseconds(1500);
    constexpr std::uint32_t mostSuspensionDoublings = 4;
    /// An endpoint that reports no load is tried again after this time anyway.
    constexpr Duration longestSilentSuspension = std::chrono::seconds(10);

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

RunnerModel::RunnerModel(
    const Endpoint& endpoint, const AcceleratorKind& kind, const LinkClass& link, bool slowStart, TimePoint now)
    : m_endpoint(endpoint)
    , m_kind(kind)
    , m_link(link)
{
    if (slowStart)
        m_returnedAt = now;
}

void RunnerModel::update(const Endpoint& endpoint, const AcceleratorKind& kind, const LinkClass& link, TimePoint now)
{
    const bool returns = m_removed || m_endpoint.state == EndpointState::Leaving;
    if (returns && endpoint.state == EndpointState::Active)
        m_returnedAt = now;
    m_removed = false;
    m_endpoint = endpoint;
    m_kind = kind;
    m_link = link;
}

std::uint32_t RunnerModel::limit(TimePoint now) const
{
    if (!available())
        return 0;
    std::uint32_t limit = m_endpoint.maxConcurrency;
    if (m_slowness > 1)
        limit = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(limit / m_slowness));
    if (!m_returnedAt)
        return limit;
    const auto doublings = (now - *m_returnedAt) / slowStartStep;
    return doublings >= 31 ? limit : std::min(limit, std::uint32_t { 1 } << doublings);
}

void RunnerModel::acquire()
{
    ++m_inProgress;
    m_peakInProgress = std::max(m_peakInProgress, m_inProgress);
}

void RunnerModel::release()
{
    assert(m_inProgress > 0);
    --m_inProgress;
}

double RunnerModel::stepSeconds(double sequences) const
{
    const double layer = seconds(m_kind.layerBase) + seconds(m_kind.layerPerSequence) * sequences;
    return layer * m_endpoint.layers.count() / std::max(1U, m_endpoint.accelerators) * m_slowness;
}

double RunnerModel::prefillSeconds(double tokens) const
{
    const double layer = std::chrono::duration<double>(m_kind.layerPerPromptToken).count();
    return tokens * layer * m_endpoint.layers.count() / std::max(1U, m_endpoint.accelerators) * m_slowness;
}

void RunnerModel::onReport(const LoadReport& report, TimePoint now)
{
    const double reported = static_cast<double>(report.running) + report.waiting;
    const double foreign = std::max(0.0, reported - m_peakInProgress);
    m_peakInProgress = m_inProgress;
    m_foreignLoad += (foreign - m_foreignLoad) * reportSmoothing;
    m_reportedAt = now;
    m_stepRatio.reset();
    if (report.step > Duration(0)) {
        const double predicted = stepSeconds(std::max(1U, report.running)) / m_slowness;
        if (predicted > 0)
            m_stepRatio = seconds(report.step) / predicted;
        m_idleSince.reset();
    } else if (!m_idleSince) {
        m_idleSince = now;
    }
}

void RunnerModel::judgeSlowness(double relative, TimePoint now)
{
    if (!m_stepRatio) {
        // An idle endpoint shows no step time; without new work it could never show that it has recovered.
        if (m_slowness > 1 && m_idleSince && now - *m_idleSince >= slowAfter) {
            m_slowness = std::max(1.0, m_slowness / 2);
            m_idleSince = now;
        }
        return;
    }
    if (relative <= recoveredThreshold)
        m_slowness = 1;
    if (relative <= slowThreshold) {
        m_slowSince.reset();
        return;
    }
    if (!m_slowSince)
        m_slowSince = now;
    if (now - *m_slowSince >= slowAfter)
        m_slowness = relative;
}

void RunnerModel::onFailure(TimePoint now, bool silent)
{
    m_suspended = true;
    m_silent = silent;
    m_failedAt = now;
    m_failures = std::min(m_failures + 1, mostSuspensionDoublings + 1);
}

void RunnerModel::refresh(TimePoint now)
{
    const Duration suspension = firstSuspension * (1U << (m_failures > 0 ? m_failures - 1 : 0));
    if (!m_suspended || now - m_failedAt < suspension)
        return;
    const bool reports = m_reportedAt.has_value();
    const Duration underWay = m_silent ? mostReportLag : Duration(0);
    if (reports && *m_reportedAt <= m_failedAt + underWay && now - m_failedAt < longestSilentSuspension)
        return;
    m_suspended = false;
    m_returnedAt = now;
}

} // namespace fuchsialb
