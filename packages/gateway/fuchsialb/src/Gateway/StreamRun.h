#pragma once

#include "EventSplitter.h"
#include "GatewayContext.h"

#include <optional>
#include <set>

namespace fuchsialb {

/// \brief One run of a stream: the exchange with the first runner of its path, and what has come of it.
struct StreamRun {
    /// Counted from 1 for each request.
    std::uint32_t number = 0;
    Path path;
    bool isPathReserved = false;
    /// The first runner of the path, as known when the request was sent there.
    RunnerEntry first;
    TimePoint sentAt {};
    bool noticesRecorded = false;
    /// None once the run has ended.
    std::optional<HttpExchangeId> exchange;
    std::optional<HttpResponse> head;
    std::uint64_t events = 0;
    EventSplitter splitter;
    /// The run isn't read from, since the caller reads too slowly.
    bool isPaused = false;
    /// The run sends bytes that are no events, and is being cancelled.
    bool isInvalid = false;
    std::optional<StallDetector> stallDetector;
    /// Whether an event has come since the run began or its path was changed.
    bool hasEventOnPath = false;
    /// Runners asked whether this host reaches any runner.
    std::set<EndpointId> stallControls;
    PathRepair repair;
    /// An order to change the path was sent and is unanswered.
    bool pathChangePending = false;
};

} // namespace fuchsialb
