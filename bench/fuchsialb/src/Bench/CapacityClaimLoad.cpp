#include "CapacityClaimLoad.h"

#include "CapacityProbe.h"
#include "fuchsialb/src/Claims/ClaimSegment.h"

#include <fmt/format.h>

namespace fuchsialb::bench {

using namespace std::chrono_literals;

namespace {

    constexpr std::int64_t warmUpMs = 2000;
    constexpr std::int64_t seconds = 5;
    constexpr std::int64_t storeMs = 2;
    constexpr std::int64_t requestMs = 100;
    constexpr std::int64_t tickMs = 10;

} // namespace

CapacityClaimLoad::CapacityClaimLoad(const Load& load)
    : m_load(load)
{
    ClaimOptions options;
    options.maxSegment = Bytes(load.maxSegment);
    options.unixSeconds = [] { return std::int64_t { 0 }; };
    for (std::uint32_t i = 0; i < load.writers; ++i)
        m_logs.push_back(ClaimLog::create(TargetId("t"), load.shards, options, m_clock).value());
    for (std::uint32_t shard = 0; shard < load.shards && load.records > 0; ++shard) {
        internal::ClaimSegment segment;
        for (std::uint64_t i = 0; i < load.records; ++i)
            segment.put({ ClaimKey(Bits128 { 1, i }), 1, AttemptId(), internal::ClaimState::Completed, 200 });
        apply(StoreCompareAndSwap { {}, fmt::format("claims/t/{}/1", shard), {}, segment.encode() });
    }
}

CapacityClaimLoad::Rates CapacityClaimLoad::run()
{
    for (; m_now < warmUpMs; ++m_now)
        step();
    m_total = {};
    for (; m_now < warmUpMs + seconds * 1000; ++m_now)
        step();
    return { m_total.writes / seconds, m_total.reads / seconds, m_total.bytes / seconds, m_total.cpu / seconds };
}

void CapacityClaimLoad::step()
{
    m_clock.advance(1ms);
    for (m_carry += m_load.claimsPerSecond; m_carry >= 1000; m_carry -= 1000) {
        ClaimLog& log = *m_logs[m_random.below(m_logs.size())];
        const Bits128 key = m_random.bits128();
        log.claim(RequestId(key), AttemptId(key), ClaimKey(key), 1);
    }
    while (!m_due.empty() && m_due.begin()->first <= m_now)
        m_due.extract(m_due.begin()).mapped()();
    for (std::size_t i = 0; i < m_logs.size(); ++i)
        drive(i);
}

void CapacityClaimLoad::drive(std::size_t index)
{
    ClaimLog* const log = m_logs[index].get();
    const double before = threadCpuMicroseconds();
    if ((m_now + static_cast<std::int64_t>(index)) % tickMs == 0)
        log->tick();
    auto operations = log->takeOperations();
    const auto answers = log->takeAnswered();
    m_total.cpu += threadCpuMicroseconds() - before;
    for (StoreOperation& operation : operations) {
        m_due.emplace(m_now + storeMs, [this, log, taken = std::move(operation)] {
            m_due.emplace(m_now + storeMs, [this, log, answer = apply(taken)] {
                const double start = threadCpuMicroseconds();
                log->onAnswer(answer);
                m_total.cpu += threadCpuMicroseconds() - start;
            });
        });
    }
    for (const ClaimAnswered& answered : answers) {
        if (answered.result.verdict != ClaimVerdict::Granted)
            continue;
        m_due.emplace(m_now + requestMs,
            [log, id = answered.attempt] { log->settle(id, ClaimKey(id.value()), Outcome::Completed, 200); });
    }
}

StoreAnswer CapacityClaimLoad::apply(const StoreOperation& operation)
{
    if (const auto* read = std::get_if<StoreRead>(&operation)) {
        m_total.reads += 1;
        const auto found = m_store.find(read->key);
        if (found == m_store.end())
            return { read->operation, StoreAnswer::Kind::Missing, {}, {} };
        m_total.bytes += static_cast<double>(found->second.bytes.size());
        return { read->operation, StoreAnswer::Kind::Ok, found->second.version, found->second.bytes };
    }
    const auto& write = std::get<StoreCompareAndSwap>(operation);
    m_total.writes += 1;
    m_total.bytes += static_cast<double>(write.value.size());
    Value& value = m_store[write.key];
    if (value.version != write.expected)
        return { write.operation, StoreAnswer::Kind::Conflict, value.version, {} };
    value = { KeyVersion(value.version.value() + 1), write.value };
    return { write.operation, StoreAnswer::Kind::Ok, value.version, {} };
}

} // namespace fuchsialb::bench
