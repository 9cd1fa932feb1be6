#pragma once

#include "../Base/Clock.h"
#include "../Base/Ids.h"
#include "../Base/Outcome.h"
#include "../Base/Reason.h"
#include "../Sched/GroupScheduler.h"

#include <absl/status/statusor.h>

#include <cassert>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace fuchsialb {

/// \brief Identity of a claim: hash of organisation, target and idempotency key.
using ClaimKey = internal::StrongId<struct ClaimKeyTag, Bits128>;

/// \return The claim key of an idempotency key; parts are length-prefixed so that no two triples share an encoding.
ClaimKey claimKey(const OrganisationId& organisation, const TargetId& target, std::string_view idempotencyKey);

/// \return The shard of a claim, 0 to `shards` - 1.
inline std::uint32_t claimShard(const ClaimKey& key, std::uint32_t shards)
{
    assert(shards > 0);
    return static_cast<std::uint32_t>(key.value().low % shards);
}

/// \brief Number that joins a store operation with its answer.
using StoreOperationId = internal::StrongId<struct StoreOperationTag, std::uint64_t>;

struct StoreRead {
    StoreOperationId operation;
    std::string key;
};

/// \brief Writes `value` when the key is at `expected`; version 0 means that the key must not exist.
struct StoreCompareAndSwap {
    StoreOperationId operation;
    std::string key;
    KeyVersion expected;
    std::string value;
};

using StoreOperation = std::variant<StoreRead, StoreCompareAndSwap>;

/// \brief Answer of the platform's store.
struct StoreAnswer {
    enum class Kind : unsigned char {
        /// Read: `version` and `value`; write: took effect, `version` is the new one.
        Ok,
        /// Read only: no such key.
        Missing,
        /// Write only: the key is at `version`.
        Conflict,
        /// Proved not to have taken effect (connection refused).
        Failed,
        /// May have taken effect.
        Lost,
    };

    StoreOperationId operation;
    Kind kind = Kind::Failed;
    KeyVersion version;
    std::string value;
};

/// \brief Result of one claim.
struct ClaimAnswered {
    RequestId request;
    AttemptId attempt;
    ClaimResult result;
};

struct ClaimOptions {
    Duration minBatchInterval { std::chrono::milliseconds(5) };
    Duration maxBatchInterval { std::chrono::milliseconds(250) };
    /// A claim that the store has not confirmed in this time is answered `Unavailable`.
    Duration claimTimeout { std::chrono::seconds(2) };
    /// A segment is sealed when it reaches this size; the store takes values of up to 1 MB.
    Bytes maxSegment { 900'000 };
    Duration maxSegmentAge { std::chrono::minutes(15) };
    /// Shortest time that a claim is remembered; see `maxClockError`.
    Duration retention { std::chrono::hours(24) };
    /// Largest difference between any daemon's wall clock and true time. A segment is dropped `retention` plus twice
    /// this value after the time stamped on its seal, so that no claim is dropped before `retention` has passed.
    Duration maxClockError { std::chrono::minutes(5) };
    /// Wall time in seconds since the Unix epoch, for the age of segments; required.
    std::function<std::int64_t()> unixSeconds;
};

/// \brief Claims idempotency keys of one target in the platform's store, in batches, by compare-and-swap alone.
///
/// Sans I/O: store operations come out of `takeOperations`, answers go into `onAnswer`, results come out of
/// `takeAnswered`. At most one operation for each shard is in flight. See docs/design.md, section 6.
///
/// A shard is the chain `claims/<target>/<shard>/1`, `2`, ...; the newest record of a key in the chain is its state.
/// A segment's successor is created, at expected version 0, only after the segment was sealed. The first segment that
/// is not sealed is therefore the end of the chain. `claims/<target>/<shard>/head` names the oldest segment within
/// retention; an old or missing head makes a new writer read more segments, nothing else.
class ClaimLog {
public:
    /// \param shards Number of shards, at least 1; must be the same on every daemon.
    /// \return `InvalidInput` when an option is out of range or `unixSeconds` is not set.
    static absl::StatusOr<std::unique_ptr<ClaimLog>> create(
        TargetId target, std::uint32_t shards, ClaimOptions options, const Clock& clock);

    virtual ~ClaimLog() = default;

    /// Queues a claim for the next batch. Exactly one `ClaimAnswered` follows.
    virtual void claim(RequestId request, AttemptId attempt, ClaimKey key, std::uint64_t bodyDigest) = 0;
    /// Records how a granted claim ended, in a later batch: `Completed` keeps the status, `NotRun` releases the claim,
    /// `Unknown` leaves it as it is.
    virtual void settle(AttemptId attempt, ClaimKey key, Outcome outcome, std::uint32_t httpStatus) = 0;
    virtual void onAnswer(const StoreAnswer& answer) = 0;
    /// Drives batches, timeouts and sealing. Called at least every 10 ms.
    virtual void tick() = 0;
    virtual std::vector<StoreOperation> takeOperations() = 0;
    virtual std::vector<ClaimAnswered> takeAnswered() = 0;
    /// \return Whether no claim or settlement waits for the store.
    virtual bool idle() const = 0;
};

} // namespace fuchsialb
