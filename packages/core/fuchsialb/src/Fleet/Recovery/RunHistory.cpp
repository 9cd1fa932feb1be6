#include "RunHistory.h"

#include <algorithm>

namespace fuchsialb {

void RunHistory::recordRun(const RunnerEntry& runner)
{
    m_last = runner.id;
    const auto [found, inserted] = m_runners.try_emplace(runner.id);
    // An earlier run at the same id has ended if the process started again since. An outdated registry may name an
    // earlier start, which says nothing.
    m_lastIsNew = inserted || runner.startedAt > found->second.startedAt;
    if (m_lastIsNew)
        found->second = { runner.address, runner.startedAt };
}

void RunHistory::discardLast()
{
    if (m_lastIsNew)
        m_runners.erase(m_last);
    m_lastIsNew = false;
}

bool RunHistory::mayUseAnotherRunner(const RunnerDirectory& directory) const
{
    const auto counted = std::count_if(m_runners.begin(), m_runners.end(),
        [&](const auto& run) { return !hasEnded(run.first, run.second, directory); });
    return static_cast<std::size_t>(counted) < m_maxRunners;
}

std::set<EndpointId> RunHistory::runners() const
{
    std::set<EndpointId> list;
    for (const auto& [runner, process] : m_runners)
        list.insert(runner);
    return list;
}

bool RunHistory::hasEnded(const EndpointId& runner, const Process& process, const RunnerDirectory& directory)
{
    return std::any_of(directory.runners().begin(), directory.runners().end(), [&](const auto& item) {
        const RunnerEntry& entry = item.second.entry;
        const bool samePlace = entry.id == runner || entry.address == process.address;
        return samePlace && entry.startedAt > process.startedAt;
    });
}

} // namespace fuchsialb
