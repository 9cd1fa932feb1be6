#pragma once

#include "../Router/Request.h"
#include "Effect.h"
#include "ModelRun.h"

namespace fuchsialb::internal {

/// \brief A request of a group's scheduler, from its admission to its final answer.
struct ScheduledRequest {
    enum class State : unsigned char {
        Queued,
        /// Taken out of the queue; waits for the verdict on its claim.
        Claiming,
        /// Holds a slot.
        Running,
    };

    Request request;
    State state = State::Queued;
    TimePoint arrivedAt {};
    /// When the caller gives up; the maximum when it states no deadline.
    TimePoint deadline = TimePoint::max();
    /// Latest start that still meets the deadline or the target of the rank.
    TimePoint startBy = TimePoint::max();
    double weight = 1.0;
    /// Order of admission.
    std::uint64_t order = 0;

    /// Cost that the organisation was charged when the request left the queue.
    double estimate = 0;
    /// Cost that the rank was charged so far; runs ahead of `used` at the start.
    double rankCharged = 0;
    /// Cost that was caused since the last start.
    double used = 0;

    /// Attempt of the claim and of the first dispatch.
    AttemptId claimAttempt;
    /// A claim stands and is not settled yet.
    bool claimed = false;
    /// The store was unavailable: only endpoints that refuse a repeated key themselves may be used.
    bool deduplicatedOnly = false;
    /// An earlier dispatch may have run.
    bool mayHaveRun = false;
    std::uint32_t retries = 0;

    /// Attempt of the latest dispatch.
    AttemptId attempt;
    TimePoint startedAt {};
    /// Model only.
    ModelRun run;
    /// Plain service only.
    EndpointId endpoint;

    bool started() const { return state == State::Running || mayHaveRun; }
};

} // namespace fuchsialb::internal
