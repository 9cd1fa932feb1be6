#include "fuchsialb/Claims.h"
#include "fuchsialb/src/Claims/ClaimSegment.h"
#include "tests/support/FakeStore.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace fuchsialb;
using namespace std::chrono_literals;

namespace {

struct Load {
    int writers = 1;
    int claimsPerSecond = 0;
    std::int64_t maxSegment = 900'000;
    /// Records that the open segment of every shard holds at the start.
    std::uint64_t records = 0;
};

struct Figures {
    double writesPerSecond = 0;
    double readsPerSecond = 0;
    double bytesPerSecond = 0;
    std::int64_t medianMs = 0;
    std::int64_t p99Ms = 0;
    std::size_t granted = 0;
    std::size_t claimed = 0;
};

constexpr std::uint32_t shards = 64;
constexpr std::int64_t seconds = 5;
// Until the burst that a quiet shard is allowed has been used up.
constexpr std::int64_t warmUpMs = 2000;
constexpr std::int64_t storeMs = 2;

void fill(FakeStore& store, std::uint64_t records)
{
    for (std::uint32_t shard = 0; shard < shards && records > 0; ++shard) {
        internal::ClaimSegment segment;
        for (std::uint64_t i = 0; i < records; ++i)
            segment.put({ ClaimKey(Bits128 { 1, i }), 1, AttemptId(), internal::ClaimState::Completed, 200 });
        store.apply(StoreCompareAndSwap { {}, fmt::format("claims/t/{}/1", shard), {}, segment.encode() });
    }
}

/// \brief Claims fresh keys on random writers at a steady rate and completes each of them 100 ms after its grant.
class LoadRun {
public:
    explicit LoadRun(const Load& load)
        : m_load(load)
    {
        ClaimOptions options;
        options.maxSegment = Bytes(load.maxSegment);
        options.unixSeconds = [] { return std::int64_t { 0 }; };
        for (int i = 0; i < load.writers; ++i)
            m_logs.push_back(ClaimLog::create(TargetId("t"), shards, options, m_clock).value());
        fill(m_store, load.records);
    }

    Figures run()
    {
        for (; m_now < warmUpMs; ++m_now)
            step();
        m_waits.clear();
        m_claimed = 0;
        const std::uint64_t reads = m_store.reads();
        const std::uint64_t writes = m_store.writes();
        const std::uint64_t bytes = m_store.bytes();
        for (; m_now < warmUpMs + seconds * 1000; ++m_now)
            step();
        const auto rate = [](std::uint64_t count) { return static_cast<double>(count) / static_cast<double>(seconds); };
        std::sort(m_waits.begin(), m_waits.end());
        return { rate(m_store.writes() - writes), rate(m_store.reads() - reads), rate(m_store.bytes() - bytes),
            m_waits[m_waits.size() / 2], m_waits[m_waits.size() * 99 / 100], m_waits.size(), m_claimed };
    }

private:
    void step()
    {
        m_clock.advance(1ms);
        for (m_due += m_load.claimsPerSecond; m_due >= 1000; m_due -= 1000) {
            ClaimLog& log = *m_logs[m_random.below(m_logs.size())];
            const Bits128 key = m_random.bits128();
            log.claim(RequestId(Bits128 { 0, static_cast<std::uint64_t>(m_now) }), AttemptId(key), ClaimKey(key), 1);
            ++m_claimed;
        }
        m_store.run(m_now);
        while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
            const auto [log, id] = m_ends.begin()->second;
            m_logs[log]->settle(AttemptId(id), ClaimKey(id), Outcome::Completed, 200);
            m_ends.erase(m_ends.begin());
        }
        for (std::size_t i = 0; i < m_logs.size(); ++i)
            drive(i);
    }

    void drive(std::size_t index)
    {
        ClaimLog* const log = m_logs[index].get();
        // Called every 10 ms, as the interface asks for, at different times.
        if ((static_cast<std::size_t>(m_now) + index) % 10 == 0)
            log->tick();
        for (const StoreOperation& operation : log->takeOperations()) {
            m_store.submit(operation, { storeMs, 2 * storeMs }, m_now,
                [log](const StoreAnswer& answer) { log->onAnswer(answer); });
        }
        for (const ClaimAnswered& answered : log->takeAnswered()) {
            if (answered.result.verdict != ClaimVerdict::Granted)
                continue;
            m_waits.push_back(m_now - static_cast<std::int64_t>(answered.request.value().low));
            m_ends.emplace(m_now + 100, std::pair { index, answered.attempt.value() });
        }
    }

    Load m_load;
    ManualClock m_clock;
    FakeStore m_store;
    Random m_random { 1 };
    std::vector<std::unique_ptr<ClaimLog>> m_logs;
    std::multimap<std::int64_t, std::pair<std::size_t, Bits128>> m_ends;
    std::vector<std::int64_t> m_waits;
    std::size_t m_claimed = 0;
    std::int64_t m_now = 0;
    std::int64_t m_due = 0;
};

} // namespace

// Guards against claims that use up the store. design.md, section 6 estimates 256 writes/s at 2,900 claims/s for one
// writer for each of 64 shards; at lower loads a shard may also write its burst of 4 beyond one write in 250 ms.
TEST_CASE("Store operations against claims a second", "[.measure]")
{
    fmt::print("writers claims/s max_segment records | writes/s reads/s MB/s median_ms p99_ms granted claimed\n");
    for (const Load& load : std::vector<Load> { { 1, 10 }, { 1, 100 }, { 1, 500 }, { 1, 2900 },
             { 1, 2900, 900'000, 10'000 }, { 1, 2900, 64'000, 700 }, { 1, 2900, 16'000 }, { 4, 2900 }, { 16, 2900 } }) {
        const Figures figures = LoadRun(load).run();
        fmt::print("{:7} {:8} {:11} {:7} | {:8.0f} {:7.0f} {:5.2f} {:9} {:6} {:7} {:7}\n", load.writers,
            load.claimsPerSecond, load.maxSegment, load.records, figures.writesPerSecond, figures.readsPerSecond,
            figures.bytesPerSecond / 1e6, figures.medianMs, figures.p99Ms, figures.granted, figures.claimed);
        if (load.writers == 1)
            CHECK(figures.writesPerSecond <= (load.claimsPerSecond == 2900 ? 256 : 256 + 4.0 * shards / seconds));
    }
}
