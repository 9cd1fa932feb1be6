#include "PromptProbation.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    // A runner may end shortly after it has begun to write.
    constexpr std::uint32_t answeredEvents = 3;
    // A healthy request that was twice at a runner ended by another one is less likely than one that ended both.
    constexpr std::ptrdiff_t maxEndedRunners = 2;

} // namespace

PromptProbation::PromptProbation(GatewayContext& context, CrashWatch& crashWatch, const TargetId& service,
    const std::vector<PromptPartId>& parts, bool isTrial)
    : m_context(context)
    , m_crashWatch(crashWatch)
    , m_service(service)
    , m_parts(parts)
    , m_isTrial(isTrial)
{
}

void PromptProbation::startRun(const RunnerEntry& first)
{
    m_first = first;
    m_events = 0;
}

void PromptProbation::recordEvent(TimePoint now)
{
    if (m_isAnswered)
        return;
    if (m_events++ == 0)
        m_firstEventAt = now;
    if (m_events >= answeredEvents)
        recordAnswer(now);
}

void PromptProbation::recordComplete(TimePoint now)
{
    if (!m_isAnswered && m_events > 0)
        recordAnswer(now);
}

void PromptProbation::recordAnswer(TimePoint now)
{
    m_isAnswered = true;
    m_context.crashEvidence.recordAnswer(m_service, m_parts, m_firstEventAt, now);
}

void PromptProbation::recordBroken()
{
    if (m_isAnswered)
        return;
    m_broken.insert({ m_first.id, m_first.startedAt });
    m_crashWatch.examine(m_first, m_service, m_parts);
}

bool PromptProbation::isSuspect() const
{
    if (m_isAnswered)
        return false;
    return std::any_of(m_broken.begin(), m_broken.end(), [&](const RunnerProcess& process) {
        return m_crashWatch.finding(process) == CrashWatch::Finding::Asked
            || m_context.crashEvidence.isSuspect(process, m_service, m_parts);
    });
}

bool PromptProbation::hasEndedTooMany() const
{
    return !m_isAnswered && std::count_if(m_broken.begin(), m_broken.end(), [&](const RunnerProcess& process) {
        return m_crashWatch.finding(process) == CrashWatch::Finding::Ended;
    }) >= maxEndedRunners;
}

bool PromptProbation::isQuarantined() const
{
    return !m_isAnswered && !m_isTrial && m_context.crashEvidence.quarantine(m_service, m_parts) != nullptr;
}

} // namespace fuchsialb
