#pragma once

#include "fuchsialb/Router.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief What a caller sent and was told.
struct ClusterCall {
    Request request;
    int host = 0;
    std::vector<std::string> tokens;
    std::vector<Result> results;
    /// The entry host died, so no answer can be expected.
    bool entryLost = false;
};

/// \brief One execution of a call by a plain service.
struct ClusterExecution {
    RequestId request;
    std::string key;
    std::string endpoint;
    Duration at { 0 };
};

/// \brief One token that engines produced, with the layers that ran for it.
struct ClusterStep {
    RequestId request;
    Epoch epoch;
    std::uint32_t position = 0;
    std::vector<LayerRange> layers;
};

/// \brief What callers and endpoints saw; all that the checker reads.
struct ClusterRecord {
    std::map<RequestId, ClusterCall> calls;
    std::vector<ClusterExecution> executions;
    std::vector<ClusterStep> steps;
    /// Versions in force at each host, in order, over its lives.
    std::map<int, std::vector<std::uint64_t>> versions;
};

struct ClusterCheckOptions {
    std::uint32_t layers = 0;
    /// Whether every call must have its final answer by now.
    bool settled = true;
};

/// \brief Checks a record against the guarantees, without knowing how the routers work.
/// \return One line for each violation.
std::vector<std::string> checkCluster(const ClusterRecord& record, const ClusterCheckOptions& options);

} // namespace fuchsialb
