#pragma once

#include "../../Base/Clock.h"
#include "../Admission/LoadLedger.h"

#include <cstddef>
#include <vector>

namespace fuchsialb {

/// \brief What a stream of this host shows of the runners on its path: an event passes all of them.
struct StreamObservation {
    const Path* path = nullptr;
    /// Last event; the start of the run or the last change of the path if that is later.
    TimePoint lastEvent {};
    /// Whether an event has passed the runners of this path.
    bool hasEventOnPath = false;
    /// Pause after which the next event is overdue; 0 while the stream has too few events to tell.
    Duration dueAfter { 0 };
};

/// \brief A runner whose end or silence explains why streams have stopped.
struct SilentStage {
    EndpointId runner;
    /// Streams of this host that have stopped and whose paths include the runner.
    std::size_t streams = 0;
    /// Time since the last event of any stream of this host through the runner.
    Duration silence { 0 };
    /// Whether no other runner can explain one of the streams.
    bool isCertain = true;

    bool operator==(const SilentStage&) const = default;
};

/// \brief Finds the runners that have fallen silent from which streams of a host have stopped and which flow (Boolean
/// network tomography).
///
/// Events of a stream come at regular intervals, so one that is overdue is noticed within about one and a half of them,
/// long before a runner reports what blocks it. A runner may be silent if no stream through it has had an event for so
/// long that this is improbable of a runner at work. One that alone can explain a stream is certain. The others are the
/// fewest that explain the remaining streams, found greedily (the SCOMP algorithm of group testing: Aldridge,
/// Baldassini and Johnson, 2014); a little later, further events clear most of those that are at work.
///
/// Nothing is found while no stream flows, since then this host or its link may be at fault, nor if the streams name
/// more runners than end together, as when a data centre is cut off.
class SilentStages {
public:
    /// Streams of a runner that must be overdue; one alone may wait for a lost packet or for its cache.
    static constexpr std::size_t minStreams = 2;
    /// Runners that may be found at once.
    static constexpr std::size_t maxRunners = 8;
    /// Runners that are taken at most of those that can't be told apart.
    static constexpr std::size_t maxTied = 2;

    /// \return Whether the next event of the stream should have come.
    static bool isOverdue(const StreamObservation& stream, TimePoint now);
    /// \return The runners, certain ones first.
    static std::vector<SilentStage> find(const std::vector<StreamObservation>& streams, TimePoint now);
};

} // namespace fuchsialb
