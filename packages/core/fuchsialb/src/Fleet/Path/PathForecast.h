#pragma once

#include "../Directory/EngineProfile.h"
#include "../Directory/RunnerDirectory.h"
#include "RunnerPace.h"

#include <vector>

namespace fuchsialb {

/// \brief Interval between two events of a stream, as the cost model has it. Times are in milliseconds.
struct PathTimes {
    /// Time of each stage for the tokens of one event.
    std::vector<double> stages;
    /// Part of each stage that one more request would add, for each request that passes the stage.
    std::vector<double> perRequest;
    /// Requests that pass each stage.
    std::vector<double> requests;
    /// Time of the hops between the stages.
    double hops = 0;
};

/// \param added Requests to count besides those of the ledger.
/// \return The times of a path; 0 for stages whose runners are unknown.
PathTimes modelPathTimes(const Path& path, const EngineProfile& engine, const RunnerDirectory& directory,
    const LoadLedger& ledger, double added);

/// \brief Forecast of the longest pause of a stream on a path, with the stream on it. Times are in milliseconds.
struct PauseForecast {
    /// Mean interval between events.
    double interval = 0;
    /// Longest pause between two events.
    double pause = 0;
    /// Part of the longest pause that is due to the other requests at the stages. A step takes the same time for each
    /// request, so this is also the sum of what the stream adds to the pauses of these requests.
    double shared = 0;
};

PauseForecast forecastPause(const Path& path, const EngineProfile& engine, const RunnerDirectory& directory,
    const LoadLedger& ledger, const RunnerPace& pace, TimePoint now);

} // namespace fuchsialb
