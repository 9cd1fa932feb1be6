#include "ClaimHistory.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    constexpr std::int64_t disturbedMs = 1500;
    constexpr std::int64_t maxQuietMs = 3000;
    constexpr std::int64_t stepMs = 3;

    ClaimOptions smallOptions(Random& random)
    {
        ClaimOptions options;
        options.claimTimeout = std::chrono::milliseconds(100);
        options.maxBatchInterval = std::chrono::milliseconds(40);
        // Segments of a few records, so that sealing is part of every history.
        options.maxSegment = Bytes(static_cast<std::int64_t>(30 + 43 * (1 + random.below(4))));
        options.unixSeconds = [] { return std::int64_t { 1'000'000 }; };
        return options;
    }

} // namespace

ClaimHistory::ClaimHistory(std::uint64_t seed, internal::ClaimFault fault)
    : m_random(seed)
    , m_fault(fault)
    , m_keys(1 + m_random.below(5))
    , m_faultRate(0.3 * m_random.unit())
{
    m_writers.resize(2 + m_random.below(3));
    for (std::size_t i = 0; i < m_writers.size(); ++i)
        replace(i);
}

void ClaimHistory::replace(std::size_t index)
{
    if (m_writers[index])
        m_replaced.insert(m_writers[index]->id);
    const auto writer = std::make_shared<Writer>();
    writer->id = m_nextWriter++;
    writer->log = std::make_unique<internal::ClaimLogImpl>(
        TargetId("t"), 2, smallOptions(m_random), m_clock, index == 0 ? m_fault : internal::ClaimFault::None);
    m_writers[index] = writer;
}

void ClaimHistory::run()
{
    while (m_nowMs < disturbedMs)
        step(true);
    while (m_nowMs < disturbedMs + maxQuietMs && !m_becameIdle) {
        step(false);
        m_becameIdle
            = std::all_of(m_writers.begin(), m_writers.end(), [](const auto& writer) { return writer->log->idle(); });
    }
    m_checker.finish(m_replaced);
}

void ClaimHistory::step(bool withFaults)
{
    m_nowMs += stepMs;
    m_clock.advance(std::chrono::milliseconds(stepMs));
    if (withFaults)
        disturb();
    m_store.run(m_nowMs);
    for (std::size_t i = 0; i < m_writers.size(); ++i) {
        if (m_nowMs >= m_writers[i]->pausedUntilMs || !withFaults)
            drive(i, withFaults);
    }
}

void ClaimHistory::disturb()
{
    if (m_random.chance(0.003))
        m_outageUntilMs = m_nowMs + static_cast<std::int64_t>(m_random.below(300));
    const std::size_t index = m_random.below(m_writers.size());
    if (m_random.chance(0.01))
        m_writers[index]->pausedUntilMs = m_nowMs + static_cast<std::int64_t>(m_random.below(250));
    if (m_random.chance(0.004))
        replace(index);
}

void ClaimHistory::drive(std::size_t index, bool withFaults)
{
    const std::shared_ptr<Writer> writer = m_writers[index];
    for (const StoreAnswer& answer : std::exchange(writer->held, {}))
        writer->log->onAnswer(answer);
    // What was answered before a settlement must also be judged before it.
    takeAnswered(*writer);
    if (withFaults)
        claimSome(*writer);
    settleSome(*writer);
    writer->log->tick();
    for (const StoreOperation& operation : writer->log->takeOperations()) {
        m_store.submit(operation, fate(withFaults), m_nowMs,
            [writer](const StoreAnswer& answer) { writer->held.push_back(answer); });
    }
    takeAnswered(*writer);
}

void ClaimHistory::takeAnswered(Writer& writer)
{
    for (const ClaimAnswered& answered : writer.log->takeAnswered()) {
        const ClaimKey key(Bits128 { 0, answered.request.value().low });
        m_checker.answered(answered.attempt, answered.result);
        if (answered.result.verdict == ClaimVerdict::Granted)
            m_running.push_back({ writer.id, answered.attempt, key });
    }
}

void ClaimHistory::claimSome(Writer& writer)
{
    if (!m_random.chance(0.08))
        return;
    for (std::uint64_t i = 1 + m_random.below(3); i > 0; --i) {
        const AttemptId attempt(m_random.bits128());
        const std::uint64_t key = m_random.below(m_keys);
        const std::uint64_t digest = m_random.chance(0.05) ? 2 : 1;
        m_checker.claimed(writer.id, attempt, ClaimKey(Bits128 { 0, key }), digest);
        writer.log->claim(RequestId(Bits128 { 0, key }), attempt, ClaimKey(Bits128 { 0, key }), digest);
    }
}

// Most claims are released again, or the few keys of a history would soon all be completed.
void ClaimHistory::settleSome(Writer& writer)
{
    for (auto running = m_running.begin(); running != m_running.end();) {
        if (running->writer != writer.id || !m_random.chance(0.1)) {
            ++running;
            continue;
        }
        const std::uint64_t draw = m_random.below(20);
        const Outcome outcome = draw == 0 ? Outcome::Completed : draw == 1 ? Outcome::Unknown : Outcome::NotRun;
        const auto status = static_cast<std::uint32_t>(200 + m_random.below(100));
        m_checker.settled(running->attempt, outcome, status);
        writer.log->settle(running->attempt, running->key, outcome, status);
        running = m_running.erase(running);
    }
}

StoreFate ClaimHistory::fate(bool withFaults)
{
    const auto delay = [this](std::uint64_t bound) { return static_cast<std::int64_t>(m_random.below(bound)); };
    StoreFate chosen { delay(8), 0 };
    chosen.answerAfterMs = chosen.effectAfterMs + delay(8);
    if (!withFaults)
        return chosen;
    if (m_nowMs < m_outageUntilMs)
        return { -1, delay(20), m_random.chance(0.5) };
    if (!m_random.chance(m_faultRate))
        return chosen;
    switch (m_random.below(7)) {
    case 0: // Lost before the effect.
        return { -1, delay(30), true };
    case 1: // Lost after the effect.
        return { delay(10), 10 + delay(30), true };
    case 2: // Answered as lost, takes effect later.
        return { 10 + delay(150), delay(10), true };
    case 3: // Refused.
        return { -1, delay(10), false };
    case 4: // Never answered.
        return { m_random.chance(0.5) ? delay(150) : -1, -1 };
    case 5: // Answered twice.
        chosen.repeatAfterMs = 1 + delay(100);
        return chosen;
    default: // Slow.
        return { delay(100), 100 + delay(100) };
    }
}

} // namespace fuchsialb
