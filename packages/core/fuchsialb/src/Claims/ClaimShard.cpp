#include "ClaimShard.h"

#include "ClaimHead.h"

#include <absl/container/flat_hash_set.h>
#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace fuchsialb::internal {

namespace {

    // A store that takes a quarter of the interval is loaded; the interval then grows with its latency.
    constexpr double intervalPerLatency = 4;
    // Writes that may exceed the steady rate after a quiet time, so that a claim of an idle shard need not wait.
    constexpr int writeBurst = 4;

    std::int64_t wholeSeconds(Duration duration) { return std::chrono::ceil<std::chrono::seconds>(duration).count(); }

} // namespace

ClaimShard::ClaimShard(std::string prefix, std::uint32_t index, std::uint32_t shards, const ClaimOptions& options,
    const Clock& clock, ClaimFault fault, ClaimOutbox& out)
    : m_prefix(std::move(prefix))
    , m_index(index)
    , m_shards(shards)
    , m_options(options)
    , m_clock(clock)
    , m_fault(fault)
    , m_out(out)
{
    if (m_fault == ClaimFault::WriteIntoSealed)
        m_chain.setIgnoringSeals();
}

void ClaimShard::claim(RequestId request, AttemptId attempt, const ClaimKey& key, std::uint64_t bodyDigest)
{
    m_claims.push_back({ request, attempt, key, bodyDigest, m_clock.now() });
}

void ClaimShard::settle(const AttemptId& attempt, const ClaimKey& key, Outcome outcome, std::uint16_t httpStatus)
{
    const auto granted = m_granted.find(key);
    if (granted == m_granted.end() || granted->second != attempt)
        return;
    m_granted.erase(granted);
    if (outcome == Outcome::Completed)
        queueSettlement(attempt, { key, ClaimState::Completed, httpStatus });
    else if (outcome == Outcome::NotRun || m_fault == ClaimFault::ReleaseUnknown)
        queueSettlement(attempt, { key, ClaimState::Released });
}

void ClaimShard::queueSettlement(const AttemptId& attempt, const Settlement& settlement)
{
    if (m_settlements.empty())
        m_settlingSince = m_clock.now();
    m_settlements.emplace(attempt, settlement);
}

void ClaimShard::tick()
{
    giveUpOperation();
    expireClaims();
    advance();
}

// An operation that is never answered must not block its shard. Its late answer is ignored.
void ClaimShard::giveUpOperation()
{
    if (m_inFlight && m_clock.now() - m_inFlight->since >= m_options.claimTimeout)
        onAnswer({ m_inFlight->id, StoreAnswer::Kind::Lost, {}, {} });
}

void ClaimShard::expireClaims()
{
    while (!m_claims.empty() && m_clock.now() - m_claims.front().since >= m_options.claimTimeout) {
        const Claim claim = m_claims.front();
        m_claims.pop_front();
        const Judgement judgement = judge(claim);
        // A known earlier attempt must not be reported as "not run", even when its record is not up to date.
        if (m_chainRead && judgement.answer) {
            answer(claim, *judgement.answer);
            continue;
        }
        answer(claim, { ClaimVerdict::Unavailable });
    }
}

void ClaimShard::advance()
{
    answerDecided();
    if (m_inFlight || (idle() && !m_headWriteDue) || m_clock.now() < m_pausedUntil)
        return;
    if (!m_headRead)
        return read(OperationKind::ReadHead, m_prefix + "head");
    if (!m_chainRead || m_stale)
        return read(OperationKind::ReadSegment, segmentKey());
    if (!idle() && m_clock.now() >= batchDue()) {
        if (m_contended && m_clock.now() - m_readAt >= m_options.minBatchInterval)
            return read(OperationKind::ReadSegment, segmentKey());
        writeBatch();
    }
    if (!m_inFlight && m_headWriteDue)
        writeHead();
}

// Answers the claims that need no write, and asks for a read when one of them needs a fresh state.
void ClaimShard::answerDecided()
{
    if (!m_chainRead)
        return;
    std::deque<Claim> left;
    for (const Claim& claim : m_claims) {
        const Judgement judgement = judge(claim);
        const bool stale = judgement.needsFresh && m_freshAsOf < claim.since;
        if (judgement.answer && !stale) {
            answer(claim, *judgement.answer);
            continue;
        }
        m_stale |= judgement.answer.has_value();
        left.push_back(claim);
    }
    m_claims.swap(left);
}

ClaimShard::Judgement ClaimShard::judge(const Claim& claim) const
{
    const ClaimRecord* record = m_chain.find(claim.key);
    const auto granted = m_granted.find(claim.key);
    const ClaimResult unknown { ClaimVerdict::Unknown };
    if (!record)
        return granted == m_granted.end() ? Judgement {} : Judgement { unknown };
    if (record->attempt == claim.attempt || m_abandoned.contains(record->attempt))
        return {};
    ClaimState state = record->state;
    std::uint32_t status = record->httpStatus;
    const auto settlement = m_settlements.find(record->attempt);
    if (settlement != m_settlements.end()) {
        state = settlement->second.state;
        status = settlement->second.httpStatus;
    }
    const bool isOurs
        = settlement != m_settlements.end() || (granted != m_granted.end() && granted->second == record->attempt);
    if (state == ClaimState::Released || (m_fault == ClaimFault::ClaimOverForeign && !isOurs))
        return {};
    if (record->bodyDigest != claim.bodyDigest)
        return { ClaimResult { ClaimVerdict::KeyReused }, state == ClaimState::Claimed && !isOurs };
    if (state == ClaimState::Completed)
        return { ClaimResult { ClaimVerdict::Completed, status } };
    return { unknown, !isOurs };
}

void ClaimShard::answer(const Claim& claim, const ClaimResult& result)
{
    if (result.verdict == ClaimVerdict::Granted)
        m_granted[claim.key] = claim.attempt;
    else if (claim.written)
        m_abandoned.emplace(claim.attempt, claim.key);
    m_out.answered.push_back({ claim.request, claim.attempt, result });
}

bool ClaimShard::isStanding(const AttemptId& attempt, const ClaimKey& key) const
{
    const ClaimRecord* record = m_chain.find(key);
    return record && record->attempt == attempt && record->state == ClaimState::Claimed;
}

StoreOperationId ClaimShard::issue(OperationKind kind, std::optional<ClaimBatch> batch)
{
    assert(!m_inFlight);
    const StoreOperationId id(m_out.issued++ * m_shards + m_index);
    m_inFlight = InFlight { id, kind, m_clock.now(), std::move(batch) };
    return id;
}

void ClaimShard::read(OperationKind kind, const std::string& key)
{
    m_out.operations.emplace_back(StoreRead { issue(kind), key });
}

void ClaimShard::writeBatch()
{
    const std::int64_t now = m_options.unixSeconds();
    m_chain.dropSealedUntil(now - wholeSeconds(m_options.retention) - 2 * wholeSeconds(m_options.maxClockError));
    m_headWriteDue = m_chain.oldest() > m_headOldest;
    ClaimBatch batch(m_chain.open());
    if (m_chain.version() == KeyVersion())
        batch.setCreatedAt(std::max(now, m_chain.lastSeal()));
    bool fits = addSettlements(batch);
    fits = addClaims(batch) && fits;
    const bool isOld = now - batch.createdAt() >= wholeSeconds(m_options.maxSegmentAge);
    if (!fits || isOld || (batch.size() >= capacity() && batch.isLarger()))
        batch.seal(std::max({ now, m_chain.lastSeal(), batch.createdAt() }));
    if (!batch.isEmpty())
        write(std::move(batch));
}

// Returns false when a record did not fit.
bool ClaimShard::addSettlements(ClaimBatch& batch) const
{
    for (const auto& [attempt, settlement] : m_settlements) {
        const ClaimRecord* found = m_chain.find(settlement.key);
        if (!found || found->attempt != attempt)
            continue;
        if (!batch.contains(settlement.key) && batch.size() >= capacity())
            return false;
        ClaimRecord record = *found;
        record.state = settlement.state;
        record.httpStatus = settlement.httpStatus;
        batch.put(record);
    }
    return true;
}

// Returns false when a record did not fit. A second claim of a key waits until the first one is decided.
bool ClaimShard::addClaims(ClaimBatch& batch)
{
    absl::flat_hash_set<ClaimKey> added;
    for (Claim& claim : m_claims) {
        if (added.contains(claim.key) || judge(claim).answer)
            continue;
        if (!batch.contains(claim.key) && batch.size() >= capacity())
            return false;
        batch.put({ claim.key, claim.bodyDigest, claim.attempt });
        added.insert(claim.key);
        claim.written = true;
    }
    return true;
}

void ClaimShard::write(ClaimBatch batch)
{
    std::string value = batch.encode();
    const StoreOperationId id = issue(OperationKind::WriteSegment, std::move(batch));
    m_out.operations.emplace_back(StoreCompareAndSwap { id, segmentKey(), m_chain.version(), std::move(value) });
    m_unresolved = SegmentVersion { m_chain.number(), m_chain.version() };
    m_lastWrite = m_clock.now();
    m_rateTime = std::max(m_rateTime, m_lastWrite) + m_options.maxBatchInterval;
    if (m_fault != ClaimFault::GrantBeforeWrite)
        return;
    for (const Claim& claim : std::exchange(m_claims, {}))
        answer(claim, { judge(claim).answer ? ClaimVerdict::Unknown : ClaimVerdict::Granted });
}

void ClaimShard::writeHead()
{
    m_headWriteDue = false;
    m_headOldest = m_chain.oldest();
    const StoreOperationId id = issue(OperationKind::WriteHead);
    m_out.operations.emplace_back(
        StoreCompareAndSwap { id, m_prefix + "head", m_headVersion, encodeClaimHead(m_headOldest) });
}

std::size_t ClaimShard::capacity() const
{
    return m_fault == ClaimFault::WriteIntoSealed ? SIZE_MAX : ClaimSegment::capacity(m_options.maxSegment);
}

std::string ClaimShard::segmentKey() const { return fmt::format("{}{}", m_prefix, m_chain.number()); }

Duration ClaimShard::latencyInterval() const
{
    const Duration wanted(static_cast<Duration::rep>(intervalPerLatency * m_latency));
    return std::clamp(wanted, m_options.minBatchInterval, m_options.maxBatchInterval);
}

// A claim waits `minBatchInterval` for others; settlements alone are not urgent. Both wait longer when writes exceed
// one in `maxBatchInterval`, or when the store is slow. A write that conflicted is repeated without that wait.
TimePoint ClaimShard::batchDue() const
{
    const TimePoint gathered = m_claims.empty() ? m_settlingSince + m_options.maxBatchInterval
                                                : m_claims.front().since + m_options.minBatchInterval;
    if (m_conflicts > 0)
        return gathered;
    return std::max(
        { gathered, m_rateTime - writeBurst * m_options.maxBatchInterval, m_lastWrite + latencyInterval() });
}

} // namespace fuchsialb::internal
