// The half of ClaimShard that takes the answers of the store.

#include "ClaimHead.h"
#include "ClaimShard.h"

#include "../Base/Hash.h"

#include <algorithm>

namespace fuchsialb::internal {

namespace {

    constexpr double smoothing = 0.2;
    // Bounds the shift; the interval is capped at the maximal batch interval long before.
    constexpr std::uint32_t maxBackOffShift = 10;

    Duration backOffInterval(const ClaimOptions& options, std::uint32_t attempts)
    {
        const Duration grown = options.minBatchInterval * (1 << std::min(attempts, maxBackOffShift));
        return std::min(grown, options.maxBatchInterval);
    }

} // namespace

void ClaimShard::onAnswer(const StoreAnswer& answer)
{
    if (!m_inFlight || m_inFlight->id != answer.operation)
        return;
    const InFlight operation = *std::exchange(m_inFlight, std::nullopt);
    const bool isReached = answer.kind != StoreAnswer::Kind::Failed && answer.kind != StoreAnswer::Kind::Lost;
    if (isReached)
        measure(operation.since);
    switch (operation.kind) {
    case OperationKind::ReadHead:
        onHead(answer);
        break;
    case OperationKind::ReadSegment:
        onSegment(operation, answer);
        break;
    case OperationKind::WriteSegment:
        onSegmentWritten(operation, answer);
        break;
    case OperationKind::WriteHead:
        onHeadWritten(answer);
        break;
    }
    advance();
}

void ClaimShard::measure(TimePoint issued)
{
    const auto latency = static_cast<double>((m_clock.now() - issued).count());
    m_latency += smoothing * (latency - m_latency);
    m_failures = 0;
}

void ClaimShard::backOff() { m_pausedUntil = m_clock.now() + backOffInterval(m_options, m_failures++); }

void ClaimShard::onHead(const StoreAnswer& answer)
{
    if (answer.kind != StoreAnswer::Kind::Ok && answer.kind != StoreAnswer::Kind::Missing)
        return backOff();
    m_headRead = true;
    m_headVersion = answer.version;
    if (answer.kind == StoreAnswer::Kind::Ok)
        m_headOldest = decodeClaimHead(answer.value).value_or(1);
    m_chain.reset(m_headOldest);
}

void ClaimShard::onHeadWritten(const StoreAnswer& answer)
{
    // After a lost answer the next write of the head conflicts and learns the version.
    if (answer.kind == StoreAnswer::Kind::Ok || answer.kind == StoreAnswer::Kind::Conflict)
        m_headVersion = answer.version;
}

void ClaimShard::onSegment(const InFlight& operation, const StoreAnswer& answer)
{
    if (answer.kind == StoreAnswer::Kind::Missing)
        return onMissing(operation);
    if (answer.kind != StoreAnswer::Kind::Ok)
        return backOff();
    absl::StatusOr<ClaimSegment> segment = ClaimSegment::decode(answer.value);
    // Nothing may be claimed while a segment can't be read.
    if (!segment.ok())
        return backOff();
    const KeyVersion known = m_chain.version();
    const bool isEnd = !segment->sealed() || m_fault == ClaimFault::WriteIntoSealed;
    if (!isEnd && m_fault == ClaimFault::SkipOlderSegments && !m_chainRead)
        m_chain.reset(m_chain.number() + 1);
    else if (!m_chain.install(*std::move(segment), answer.version))
        return backOff();
    m_freshAsOf = operation.since;
    resolve();
    m_chainRead = isEnd;
    m_stale = false;
    m_contended = m_chain.version() != known;
    m_readAt = m_clock.now();
}

void ClaimShard::onMissing(const InFlight& operation)
{
    // The segment existed before: the store went back to older data.
    if (m_chain.version() != KeyVersion())
        return backOff();
    const bool isHeadWrong = !m_chainRead && m_chain.number() > 1 && m_chain.oldest() == m_chain.number();
    if (isHeadWrong && m_fault != ClaimFault::SkipOlderSegments) {
        m_headOldest = 1;
        return m_chain.reset(1);
    }
    m_chainRead = true;
    m_stale = false;
    m_contended = false;
    m_readAt = m_clock.now();
    m_freshAsOf = operation.since;
}

void ClaimShard::onSegmentWritten(const InFlight& operation, const StoreAnswer& answer)
{
    switch (answer.kind) {
    case StoreAnswer::Kind::Ok:
        m_conflicts = 0;
        // A version that went back or stood still can't confirm anything.
        m_stale = !confirm(operation, answer.version);
        return;
    case StoreAnswer::Kind::Conflict:
        return onConflict(answer);
    case StoreAnswer::Kind::Lost:
        return onLost(operation);
    case StoreAnswer::Kind::Failed:
    case StoreAnswer::Kind::Missing:
        // The read before the next write keeps the claims of an outage out of writes, and so out of `m_abandoned`.
        m_stale = true;
        return backOff();
    }
}

void ClaimShard::onConflict(const StoreAnswer& answer)
{
    if (m_fault == ClaimFault::NoReadOnConflict) {
        ClaimSegment open = m_chain.open();
        m_chain.install(std::move(open), answer.version);
        return;
    }
    m_stale = true;
    m_contended = true;
    // The write was no use: it does not count against the rate.
    m_rateTime -= m_options.maxBatchInterval;
    // Writers that conflict must not meet again in lockstep: the pause depends on the attempt that waits.
    const Bits128 seed = m_claims.empty() ? Bits128 {} : m_claims.front().attempt.value();
    const auto longest = static_cast<std::uint64_t>(backOffInterval(m_options, m_conflicts++).count());
    const std::uint64_t draw = hash64(m_prefix, seed.low ^ m_conflicts);
    m_pausedUntil = m_clock.now() + Duration(static_cast<Duration::rep>(draw % std::max<std::uint64_t>(longest, 1)));
}

void ClaimShard::onLost(const InFlight& operation)
{
    m_stale = true;
    if (m_fault == ClaimFault::LostIsSuccess) {
        m_stale = false;
        confirm(operation, KeyVersion(m_chain.version().value() + 1));
    } else if (m_fault == ClaimFault::LostIsFailure) {
        m_unresolved.reset();
        for (Claim& claim : std::exchange(m_claims, {})) {
            claim.written = false;
            this->answer(claim, { ClaimVerdict::Unavailable });
        }
    }
}

bool ClaimShard::confirm(const InFlight& operation, KeyVersion version)
{
    if (!m_chain.confirm(*operation.batch, version))
        return false;
    m_freshAsOf = operation.since;
    resolve();
    return true;
}

// Compares what waits with the state of the chain that the store has just confirmed.
void ClaimShard::resolve()
{
    const bool isResolved
        = m_unresolved && (m_chain.number() > m_unresolved->number || m_chain.version() > m_unresolved->version);
    if (isResolved)
        m_unresolved.reset();
    std::deque<Claim> left;
    for (Claim& claim : m_claims) {
        if (isStanding(claim.attempt, claim.key)) {
            answer(claim, { ClaimVerdict::Granted });
            continue;
        }
        claim.written = claim.written && !isResolved;
        left.push_back(claim);
    }
    m_claims.swap(left);
    std::erase_if(m_settlements, [this](const auto& entry) {
        const ClaimRecord* record = m_chain.find(entry.second.key);
        return !record || record->attempt != entry.first || record->state == entry.second.state;
    });
    resolveAbandoned();
}

// An abandoned attempt whose record stands is released, for its key may be claimed by other writers then.
void ClaimShard::resolveAbandoned()
{
    for (auto entry = m_abandoned.begin(); entry != m_abandoned.end();) {
        const auto& [attempt, key] = *entry;
        if (isStanding(attempt, key)) {
            queueSettlement(attempt, { key, ClaimState::Released });
            if (m_fault == ClaimFault::GrantAbandoned)
                m_out.answered.push_back({ RequestId(), attempt, { ClaimVerdict::Granted } });
            ++entry;
        } else if (m_unresolved) {
            ++entry;
        } else {
            entry = m_abandoned.erase(entry);
        }
    }
}

} // namespace fuchsialb::internal
