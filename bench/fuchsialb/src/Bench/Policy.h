#pragma once

#include "EngineFakes.h"

#include <memory>
#include <string>

namespace fuchsialb::bench {

/// \brief What a policy tells the callers of its requests.
struct CallerHooks {
    std::function<void(RequestId, std::uint32_t position)> onToken;
    std::function<void(RequestId, const Result&)> onEnded;
};

/// \brief All that a policy works with.
struct PolicyContext {
    const Workload& workload;
    Timeline& timeline;
    Random& random;
    EngineFakes& engines;
    CallerHooks callers;
};

/// \brief Sends requests to the engines and answers their callers.
class Policy {
public:
    virtual ~Policy() = default;

    virtual void submit(const Request& request, std::size_t stream) = 0;
    virtual void tick() = 0;

    virtual void onToken(const EngineRun& run, std::uint32_t position) = 0;
    virtual void onFinished(const EngineRun& run) = 0;
    virtual void onFailed(const EngineRun& run, std::uint32_t stage, FailureProof proof, Reason reason) = 0;
    virtual void onReport(const LoadReport& report) = 0;
};

/// \return Names of all policies, the project's own first.
const std::vector<std::string>& policyNames();
/// \param name One of `policyNames`.
/// \return `NoRoute` when the group does not hold all layers.
absl::StatusOr<std::unique_ptr<Policy>> makePolicy(const std::string& name, PolicyContext context);

} // namespace fuchsialb::bench
