#pragma once

#include "../../Base/Ids.h"
#include "../../Base/PromptPartId.h"
#include "../../Base/Units.h"

#include <cstdint>
#include <vector>

namespace fuchsialb {

/// \brief One start of a runner's process.
struct RunnerProcess {
    EndpointId runner;
    /// As in `RunnerEntry`.
    std::int64_t startedAt = 0;

    auto operator<=>(const RunnerProcess&) const = default;
};

/// \brief A part of a prompt under which a runner ended, and which may be the cause.
struct SuspectPart {
    PromptPartId part;
    /// Largest number of shared parts that precede it in a prompt.
    std::uint32_t position = 0;
    /// Bit width of the number of earlier answers to requests with this part, the largest that any host has counted.
    std::uint32_t answerBits = 0;

    bool operator==(const SuspectPart&) const = default;
};

/// \brief A runner's process that ended while it ran requests that had not been answered yet.
struct CrashReport {
    RunnerProcess process;
    TargetId service;
    /// Names the parts that were suspect at first, the same for the same parts.
    std::uint64_t id = 0;
    /// The parts that are still suspect, by their ids. A part is no longer suspect when a later request with it has
    /// been answered.
    std::vector<SuspectPart> suspects;
    /// Time since the process ended.
    Duration age { 0 };

    bool operator==(const CrashReport&) const = default;
};

} // namespace fuchsialb
