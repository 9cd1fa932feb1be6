#include "PathRepair.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    const PathStage* stageAt(const Path& path, std::string_view address)
    {
        const auto found
            = std::find_if(path.begin(), path.end(), [&](const PathStage& stage) { return stage.address == address; });
        return found == path.end() ? nullptr : &*found;
    }

} // namespace

void PathRepair::add(const EndpointId& stage, bool dead)
{
    Stage& known = m_stages[stage];
    known.leaves = known.leaves || !dead;
    known.dead = known.dead || dead;
}

std::set<EndpointId> PathRepair::stages() const
{
    std::set<EndpointId> list;
    for (const auto& [stage, state] : m_stages)
        list.insert(stage);
    return list;
}

std::set<EndpointId> PathRepair::deadStages() const
{
    std::set<EndpointId> list;
    for (const auto& [stage, state] : m_stages) {
        if (state.dead)
            list.insert(stage);
    }
    return list;
}

void PathRepair::recordDone(const std::set<EndpointId>& replaced)
{
    for (const EndpointId& stage : replaced)
        m_stages.erase(stage);
}

PathRepair::Refusal PathRepair::recordRefusal(const Path& previous, const Path& ordered, std::string_view faultAddress)
{
    const PathStage* kept = stageAt(previous, faultAddress);
    // The first runner holds the request and can't be replaced.
    if (kept && kept != &previous.front() && !m_stages.contains(kept->runner)) {
        add(kept->runner, false);
        return Refusal::ReplaceMore;
    }
    if (!kept && stageAt(ordered, faultAddress))
        return Refusal::AvoidNewStage;
    std::erase_if(m_stages, [](const auto& stage) { return !stage.second.dead; });
    return Refusal::GiveUp;
}

void PathRepair::discardDead()
{
    for (auto& [id, stage] : m_stages)
        stage.dead = false;
    std::erase_if(m_stages, [](const auto& stage) { return !stage.second.leaves; });
}

} // namespace fuchsialb
