#include "PathForecast.h"

#include <algorithm>

namespace fuchsialb {

PathTimes modelPathTimes(const Path& path, const EngineProfile& engine, const RunnerDirectory& directory,
    const LoadLedger& ledger, double added)
{
    PathTimes times;
    const double tokens = engine.tokensPerEvent;
    for (const PathStage& stage : path) {
        const RunnerDirectory::Runner* runner = directory.find(stage.runner);
        const AcceleratorProfile* accelerator = runner ? engine.accelerator(runner->entry.accelerator) : nullptr;
        const double requests = std::max(1.0, ledger.at(stage.runner).sequences + added);
        const auto stepTime = [&](double sequences) {
            return accelerator ? tokens * engine.stepTime(*accelerator, stage.layers.count(), sequences) : 0;
        };
        times.stages.push_back(stepTime(requests));
        times.perRequest.push_back(stepTime(requests) - stepTime(requests - 1));
        times.requests.push_back(requests);
        times.hops += tokens * EngineProfile::stageHopMilliseconds;
    }
    return times;
}

PauseForecast forecastPause(const Path& path, const EngineProfile& engine, const RunnerDirectory& directory,
    const LoadLedger& ledger, const RunnerPace& pace, TimePoint now)
{
    const PathTimes times = modelPathTimes(path, engine, directory, ledger, 1);
    PauseForecast forecast;
    forecast.interval = times.hops;
    for (std::size_t i = 0; i < path.size(); ++i) {
        const double ratio = pace.timeRatio(path[i].runner, now);
        forecast.interval += ratio * times.stages[i];
        forecast.shared += ratio * (times.requests[i] - 1) * times.perRequest[i];
    }
    forecast.pause = forecast.interval * pace.longestToMean();
    forecast.shared *= pace.longestToMean();
    return forecast;
}

} // namespace fuchsialb
