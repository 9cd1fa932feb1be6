#pragma once

#include "fuchsialb/Base.h"
#include "fuchsialb/Config.h"

#include <optional>
#include <string>
#include <vector>

namespace fuchsialb::bench {

/// \brief A kind of request that arrives over a span of time.
struct Stream {
    std::string name;
    Rank rank = Rank::Urgent;
    OrganisationId organisation;
    /// Requests/s; 0 when `load` is given instead.
    double rate = 0;
    /// Multiple of the group's hardware bound.
    double load = 0;
    /// Means of the lengths.
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 1;
    /// Lengths are uniform within this fraction of their mean.
    double lengthSpread = 0;
    /// Leading prompt tokens that all requests of the stream share.
    std::uint32_t sharedPrefix = 0;
    /// Arrivals only within [begin, end) of the replay.
    Duration begin { 0 };
    Duration end { 0 };
    /// Repeats the span [begin, end) with this period; 0 for once.
    Duration burstInterval { 0 };
};

/// \brief A change of a runner's health at a moment of the replay.
struct Fault {
    enum class Kind : unsigned char {
        /// Breaks its connections; noticed at once.
        Dies,
        /// Keeps its connections open and yields nothing, load reports included.
        Hangs,
        Returns,
        Slows,
    };
    Duration at { 0 };
    EndpointId runner;
    Kind kind = Kind::Dies;
    /// Multiple of the step time, for `Slows`.
    double factor = 1;
};

/// \brief A stated outcome: a metric and the bound that the target sets for it.
struct StatedOutcome {
    std::string metric;
    std::string target;
    std::optional<double> least;
    std::optional<double> most;
};

/// \brief All that one replay needs.
struct Workload {
    std::string name;
    std::uint64_t seed = 1;
    Duration duration { 0 };
    /// Requests and tokens before this moment are not measured.
    Duration warmUp { 0 };
    /// Time after the last arrival in which running work may end.
    Duration drain { 0 };
    Duration reportInterval { 0 };
    Duration reportLag { 0 };
    Configuration configuration;
    std::vector<Stream> streams;
    std::vector<Fault> faults;
    std::vector<StatedOutcome> outcomes;
};

/// \return The group that all runners of a workload belong to.
inline GroupId replayGroup() { return GroupId("replay"); }
/// \return The model that all requests of a workload ask for.
inline TargetId replayModel() { return TargetId("model"); }

} // namespace fuchsialb::bench
