#pragma once

#include "../Base/Clock.h"
#include "../Base/Random.h"
#include "../Config/Configuration.h"
#include "../Router/Request.h"
#include "Effect.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb {

/// \brief What became of a claim.
enum class ClaimVerdict : unsigned char {
    /// The claim stands; the request may be dispatched.
    Granted,
    /// The key was used with another body.
    KeyReused,
    /// An earlier attempt completed; its status is in the record.
    Completed,
    /// An earlier attempt may have run or may still run.
    Unknown,
    /// The store could not be reached, and no claim stands.
    Unavailable,
};

struct ClaimResult {
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    std::uint32_t httpStatus = 0;
};

/// \brief Load as an endpoint reports it, with a lag.
struct LoadReport {
    EndpointId endpoint;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Duration of the latest step; 0 when idle.
    Duration step { 0 };
};

/// \brief How a run or a call failed, as far as the endpoint client can prove.
enum class FailureProof : unsigned char {
    /// No byte of the call was sent, or the endpoint refused it before running.
    NotStarted,
    MayHaveRun,
};

/// \brief Load that a group advertises to entry daemons.
struct GroupLoad {
    GroupId group;
    /// The group's scheduler, so that daemons of other data centres can reach it.
    HostId scheduler;
    std::string address;
    /// Predicted queue wait of a new request by rank.
    RankTable<Duration> wait;
    std::uint32_t running = 0;
    std::uint32_t slots = 0;

    bool operator==(const GroupLoad&) const = default;
};

/// \brief Queues, admits, dispatches and recovers the requests of one group of endpoints.
///
/// Sans I/O: calls go in, effects come out of `takeEffects`, in order. Every submitted request gets exactly one
/// `Finish` or `ReturnRequest`.
class GroupScheduler {
public:
    /// \param configuration Must hold at least one endpoint of `group`.
    /// \return `NoRoute` when the group's runners do not hold all layers of the model.
    static absl::StatusOr<std::unique_ptr<GroupScheduler>> create(
        GroupId group, const Configuration& configuration, const Clock& clock, Random& random);

    virtual ~GroupScheduler() = default;

    /// Takes a request over, or refuses it at once with a `Finish` of outcome `NotRun`.
    virtual void submit(Request request) = 0;
    /// The caller went away: a queued request is dropped, a running idempotent one is cancelled at the endpoint, a
    /// non-idempotent one that was dispatched runs on so that its claim can be settled.
    virtual void cancel(RequestId request) = 0;
    virtual void onClaim(RequestId request, AttemptId attempt, const ClaimResult& result) = 0;

    /// \param position Index of the token in the answer, 0 for the first.
    virtual void onToken(
        RequestId request, AttemptId attempt, Epoch epoch, std::uint32_t position, std::string_view text)
        = 0;
    virtual void onRunFinished(RequestId request, AttemptId attempt, Epoch epoch, std::string_view finishReason) = 0;
    /// \param stage Index in the route of the stage that failed; the head when the client lost its connection.
    virtual void onRunFailed(
        RequestId request, AttemptId attempt, Epoch epoch, std::uint32_t stage, FailureProof proof, Reason reason)
        = 0;
    virtual void onStateMoved(RequestId request, AttemptId attempt, Epoch epoch, bool succeeded) = 0;

    virtual void onServiceReply(
        RequestId request, AttemptId attempt, std::uint32_t httpStatus, std::string contentType, std::string body)
        = 0;
    virtual void onServiceFailed(RequestId request, AttemptId attempt, FailureProof proof, Reason reason) = 0;

    virtual void onLoadReport(const LoadReport& report) = 0;
    /// Prefixes are known by the hash of their text; events come late and with gaps.
    virtual void onCacheEvent(const EndpointId& endpoint, std::uint64_t prefixHash, bool held) = 0;

    /// Takes a new configuration in force; work in progress on endpoints that left it goes on.
    virtual void configure(const Configuration& configuration) = 0;
    /// Returns all queued work and takes no more; dispatched work goes on. Used for drain and for lost ownership.
    virtual void stopAccepting(Reason reason) = 0;
    /// Drives timeouts, deadlines, preemption and slow start. Called at least every 10 ms.
    virtual void tick() = 0;

    virtual GroupLoad load() const = 0;
    /// \return Whether nothing is queued or in progress.
    virtual bool idle() const = 0;
    /// \return The effects since the last call, in order.
    virtual std::vector<Effect> takeEffects() = 0;
};

} // namespace fuchsialb
