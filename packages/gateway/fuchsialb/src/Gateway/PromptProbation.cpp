#include "PromptProbation.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    // A runner may end shortly after it has begun to write.
    constexpr std::uint32_t answeredEvents = 3;
    // A healthy request that was twice at a runner ended by another one is less likely than one that ended both.
    constexpr std::ptrdiff_t maxEndedRunners = 2;
    // A healthy request may lose a stage of its path by chance.
    constexpr std::size_t maxLostPaths = 1;

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

void PromptProbation::startRun(const RunnerEntry& first, const Path& path)
{
    m_first = first;
    m_events = 0;
    recordPathChange(path);
}

void PromptProbation::recordPathChange(const Path& path)
{
    ++m_paths;
    if (m_isAnswered)
        return;
    for (const PathStage& stage : path) {
        if (const RunnerDirectory::Runner* runner = m_context.runners.find(stage.runner))
            m_stages.insert_or_assign(stage.runner, runner->entry);
    }
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
    m_stages.clear();
    m_lostStages.clear();
    m_context.crashEvidence.recordAnswer(m_service, m_parts, m_firstEventAt, now);
}

void PromptProbation::recordBroken()
{
    if (m_isAnswered)
        return;
    m_broken.insert({ m_first.id, m_first.startedAt });
    m_crashWatch.examine(m_first, m_service, m_parts);
}

void PromptProbation::recordLostStage(const EndpointId& stage)
{
    const auto found = m_stages.find(stage);
    if (m_isAnswered || found == m_stages.end())
        return;
    const RunnerEntry& entry = found->second;
    if (m_lostStages.emplace(RunnerProcess { entry.id, entry.startedAt }, m_paths).second)
        m_crashWatch.examine(entry, m_service, m_parts);
}

bool PromptProbation::mayHaveEnded(const RunnerProcess& process) const
{
    return m_crashWatch.finding(process) == CrashWatch::Finding::Asked
        || m_context.crashEvidence.isSuspect(process, m_service, m_parts);
}

bool PromptProbation::isSuspect() const
{
    return !m_isAnswered && std::any_of(m_broken.begin(), m_broken.end(), [&](const RunnerProcess& process) {
        return mayHaveEnded(process);
    });
}

bool PromptProbation::mayEndFurtherStages() const
{
    if (m_isAnswered)
        return false;
    std::set<std::uint32_t> paths;
    for (const auto& [process, path] : m_lostStages) {
        if (mayHaveEnded(process))
            paths.insert(path);
    }
    return paths.size() > (m_isTrial ? 0 : maxLostPaths);
}

bool PromptProbation::hasEndedTooMany() const
{
    return !m_isAnswered && std::count_if(m_broken.begin(), m_broken.end(), [&](const RunnerProcess& process) {
        return m_crashWatch.finding(process) == CrashWatch::Finding::Ended;
    }) >= maxEndedRunners;
}

bool PromptProbation::hasEndedRunner() const
{
    const auto isEnded
        = [&](const RunnerProcess& process) { return m_crashWatch.finding(process) == CrashWatch::Finding::Ended; };
    return std::any_of(m_broken.begin(), m_broken.end(), isEnded)
        || std::any_of(m_lostStages.begin(), m_lostStages.end(), [&](const auto& lost) { return isEnded(lost.first); });
}

bool PromptProbation::isQuarantined() const
{
    // A trial that has ended a runner has its outcome.
    const bool mayRun = m_isAnswered || (m_isTrial && !hasEndedRunner());
    return !mayRun && m_context.crashEvidence.quarantine(m_service, m_parts) != nullptr;
}

} // namespace fuchsialb
