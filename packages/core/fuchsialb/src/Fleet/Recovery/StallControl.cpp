#include "StallControl.h"

#include <algorithm>
#include <tuple>

namespace fuchsialb {

namespace {

    // A runner that answered within this time was alive shortly before the stall began.
    constexpr Duration recentSuccess = std::chrono::seconds(5);

} // namespace

const RunnerDirectory::Runner* selectStallControl(const RunnerDirectory& runners, const Path& path,
    const std::set<EndpointId>& asked, const DataCentreId& dataCentre, TimePoint now)
{
    const PathStage& first = path.front();
    const RunnerDirectory::Runner* suspect = runners.find(first.runner);
    const auto precedence = [&](const RunnerDirectory::Runner& runner) {
        const bool onPath = std::any_of(
            path.begin(), path.end(), [&](const PathStage& stage) { return stage.runner == runner.entry.id; });
        const bool succeeded = runner.succeededAt != TimePoint {};
        const bool sameService = suspect && runner.entry.service == suspect->entry.service;
        return std::tuple(runner.usable(now), !asked.contains(runner.entry.id),
            succeeded && now - runner.succeededAt < recentSuccess, !onPath, runner.entry.dataCentre == dataCentre,
            sameService, runner.succeededAt);
    };
    const RunnerDirectory::Runner* best = nullptr;
    for (const auto& [id, runner] : runners.runners()) {
        if (id == first.runner || runner.entry.address == first.address)
            continue;
        if (!best || precedence(runner) > precedence(*best))
            best = &runner;
    }
    return best;
}

} // namespace fuchsialb
