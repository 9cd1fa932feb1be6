#pragma once

#include "../Router/Request.h"

#include <string>
#include <variant>
#include <vector>

namespace fuchsialb {

/// \brief One stage of a route: a runner and the layers that it runs.
struct RouteStage {
    EndpointId endpoint;
    std::string address;
    LayerRange layers;

    bool operator==(const RouteStage&) const = default;
};

/// \brief Asks for a claim of the request's idempotency key before dispatch. Answered by `GroupScheduler::onClaim`.
struct ClaimNeeded {
    RequestId request;
    AttemptId attempt;
};

/// \brief Reports the end of a dispatched non-idempotent request, for its claim record.
struct ClaimSettled {
    RequestId request;
    AttemptId attempt;
    /// `Completed`: it ran; `NotRun`: proved not to have run, the claim may be released; `Unknown`: leave it claimed.
    Outcome outcome = Outcome::Unknown;
    std::uint32_t httpStatus = 0;
};

/// \brief Posts a run to the head runner of `route`.
struct StartRun {
    RequestId request;
    AttemptId attempt;
    Epoch epoch;
    Rank rank = Rank::Recording;
    TargetId model;
    std::vector<RouteStage> route;
    std::string prompt;
    /// Tokens that the caller already has; the run goes on behind them.
    std::vector<std::string> generated;
    std::uint32_t maxTokens = 0;
    std::string traceParent;
};

/// \brief Cancels the run of an epoch and all older ones on every stage.
struct CancelRun {
    RequestId request;
    AttemptId attempt;
    Epoch epoch;
    std::vector<RouteStage> route;
};

/// \brief Orders `to` to import the KV cache of a request from `from`. Answered by `GroupScheduler::onStateMoved`.
struct ImportState {
    RequestId request;
    AttemptId attempt;
    Epoch epoch;
    RouteStage from;
    RouteStage to;
    std::uint32_t positions = 0;
};

/// \brief Orders `upstream` to send its retained boundary outputs to `to`, which rebuilds its KV cache from them.
/// Answered by `GroupScheduler::onStateMoved`.
struct ReplayState {
    RequestId request;
    AttemptId attempt;
    Epoch epoch;
    RouteStage upstream;
    RouteStage to;
    std::uint32_t positions = 0;
};

/// \brief Calls a plain service once.
struct CallService {
    RequestId request;
    AttemptId attempt;
    EndpointId endpoint;
    std::string address;
    /// Longest time to wait for the answer.
    Duration timeout { 0 };
};

/// \brief A token for the caller, in order and without gaps.
struct DeliverToken {
    RequestId request;
    /// 0 for the first generated token.
    std::uint32_t position = 0;
    std::string text;
};

/// \brief The one final answer of a request.
struct Finish {
    RequestId request;
    Result result;
};

/// \brief Gives a request that was not started back to its entry daemon.
struct ReturnRequest {
    RequestId request;
    Reason reason = Reason::OwnershipMoved;
};

/// \brief A decision and why it was taken, for spans, logs and `explain`.
struct Decision {
    RequestId request;
    Reason reason = Reason::Ok;
    /// Key=value pairs, already escaped.
    std::string detail;
};

using Effect = std::variant<ClaimNeeded, ClaimSettled, StartRun, CancelRun, ImportState, ReplayState, CallService,
    DeliverToken, Finish, ReturnRequest, Decision>;

} // namespace fuchsialb
