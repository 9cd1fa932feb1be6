#pragma once

#include "ClaimChain.h"
#include "ClaimFault.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsialb::internal {

/// \brief Output of all shards of a `ClaimLog`.
struct ClaimOutbox {
    std::vector<StoreOperation> operations;
    std::vector<ClaimAnswered> answered;
    /// Number of operations issued so far.
    std::uint64_t issued = 0;
};

/// \brief Claims and settlements of one shard, and the one store operation that is in flight for it.
///
/// Every claim and settlement stays queued until a state of the chain confirmed by the store shows its record. Writes
/// are built from the latest confirmed state each time, so a write that failed, conflicted or lost its answer needs no
/// handling of its own beyond reading that state.
class ClaimShard {
public:
    /// \param prefix Key prefix of the shard, with a final slash.
    /// \param index, shards The shard's operation ids are congruent to `index` modulo `shards`.
    ClaimShard(std::string prefix, std::uint32_t index, std::uint32_t shards, const ClaimOptions& options,
        const Clock& clock, ClaimFault fault, ClaimOutbox& out);

    void claim(RequestId request, AttemptId attempt, const ClaimKey& key, std::uint64_t bodyDigest);
    void settle(const AttemptId& attempt, const ClaimKey& key, Outcome outcome, std::uint16_t httpStatus);
    void onAnswer(const StoreAnswer& answer);
    void tick();
    bool idle() const { return m_claims.empty() && m_settlements.empty(); }

private:
    enum class OperationKind : unsigned char { ReadHead, ReadSegment, WriteSegment, WriteHead };

    struct InFlight {
        StoreOperationId id;
        OperationKind kind = OperationKind::ReadHead;
        TimePoint since;
        /// Changes of a segment write.
        std::optional<ClaimBatch> batch;
    };

    struct Claim {
        RequestId request;
        AttemptId attempt;
        ClaimKey key;
        std::uint64_t bodyDigest = 0;
        TimePoint since;
        /// Part of a write that may still take effect.
        bool written = false;
    };

    struct Settlement {
        ClaimKey key;
        ClaimState state = ClaimState::Released;
        std::uint16_t httpStatus = 0;
    };

    struct Judgement {
        /// Empty when the key may be claimed.
        std::optional<ClaimResult> answer;
        /// The answer rests on a record that another writer may have changed since it was read.
        bool needsFresh = false;
    };

    struct SegmentVersion {
        std::uint64_t number = 0;
        KeyVersion version;
    };

    void advance();
    void giveUpOperation();
    void expireClaims();
    void answerDecided();
    Judgement judge(const Claim& claim) const;
    void answer(const Claim& claim, const ClaimResult& result);
    void queueSettlement(const AttemptId& attempt, const Settlement& settlement);
    bool isStanding(const AttemptId& attempt, const ClaimKey& key) const;

    StoreOperationId issue(OperationKind kind, std::optional<ClaimBatch> batch = std::nullopt);
    void read(OperationKind kind, const std::string& key);
    void writeBatch();
    bool addSettlements(ClaimBatch& batch) const;
    bool addClaims(ClaimBatch& batch);
    void write(ClaimBatch batch);
    void writeHead();

    void onHead(const StoreAnswer& answer);
    void onSegment(const InFlight& operation, const StoreAnswer& answer);
    void onMissing(const InFlight& operation);
    void onSegmentWritten(const InFlight& operation, const StoreAnswer& answer);
    bool confirm(const InFlight& operation, KeyVersion version);
    void onLost(const InFlight& operation);
    void onConflict(const StoreAnswer& answer);
    void onHeadWritten(const StoreAnswer& answer);
    void resolve();
    void resolveAbandoned();
    void measure(TimePoint issued);
    void backOff();
    TimePoint batchDue() const;
    std::string segmentKey() const;
    /// \return Number of records that a segment takes.
    std::size_t capacity() const;
    /// \return The shortest time between writes, which grows with the latency of the store.
    Duration latencyInterval() const;

    std::string m_prefix;
    std::uint32_t m_index;
    std::uint32_t m_shards;
    const ClaimOptions& m_options;
    const Clock& m_clock;
    ClaimFault m_fault;
    ClaimOutbox& m_out;

    ClaimChain m_chain;
    bool m_headRead = false;
    /// The end of the chain was reached.
    bool m_chainRead = false;
    /// The segment at the end must be read before the next write.
    bool m_stale = false;
    /// Issue time of the latest operation that confirmed the state of the chain.
    TimePoint m_freshAsOf;
    KeyVersion m_headVersion;
    std::uint64_t m_headOldest = 1;
    bool m_headWriteDue = false;

    std::optional<InFlight> m_inFlight;
    /// Expected version of a write that may still take effect.
    std::optional<SegmentVersion> m_unresolved;

    std::deque<Claim> m_claims;
    std::map<AttemptId, Settlement> m_settlements;
    /// Claims granted to this writer and not settled.
    std::map<ClaimKey, AttemptId> m_granted;
    /// Attempts answered `Unavailable` whose record may stand. They are never dispatched.
    std::map<AttemptId, ClaimKey> m_abandoned;

    TimePoint m_pausedUntil;
    TimePoint m_lastWrite;
    /// When the write after the next `writeBurst` ones is within the steady rate of one in `maxBatchInterval`.
    TimePoint m_rateTime;
    /// When the oldest settlement was queued.
    TimePoint m_settlingSince;
    /// Other writers use the shard: the segment is read again right before a write.
    bool m_contended = false;
    /// When the latest read of the segment at the end was answered.
    TimePoint m_readAt;
    std::uint32_t m_failures = 0;
    std::uint32_t m_conflicts = 0;
    /// Smoothed time of a store operation, in microseconds.
    double m_latency = 0;
};

} // namespace fuchsialb::internal
