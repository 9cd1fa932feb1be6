#include "CapacityClaimLoad.h"
#include "CapacityMeasurements.h"
#include "CapacityProbe.h"
#include "fuchsialb/src/Claims/ClaimChain.h"

namespace fuchsialb::bench {

namespace {

    using Load = CapacityClaimLoad::Load;

    void measureRates(CapacityReport& report)
    {
        CapacitySeries writes { "claim_writes", "claims/s, one writer for each of 64 shards", "writes/s", true, {} };
        CapacitySeries cpu { "claim_cpu_us", "claims/s, one writer for each of 64 shards", "CPU us/s", false, {} };
        for (std::uint32_t rate : { 100U, 500U, 1000U, 2000U, 2900U }) {
            const auto rates = CapacityClaimLoad({ 1, rate }).run();
            writes.points.push_back({ double(rate), rates.writes });
            cpu.points.push_back({ double(rate), rates.cpu });
        }
        report.add(writes);
        report.add(cpu);
        CapacitySeries shards { "claim_writes_by_shards", "shards, one writer each, 2,900 claims/s", "writes/s", true,
            {} };
        for (std::uint32_t count : { 16U, 32U, 64U, 128U })
            shards.points.push_back({ double(count), CapacityClaimLoad({ 1, 2900, 900'000, 0, count }).run().writes });
        report.add(shards);
    }

    void measureSegments(CapacityReport& report)
    {
        CapacitySeries bytes { "claim_bytes_by_records", "records in each open segment, 2,900 claims/s",
            "store bytes/s", true, {} };
        for (std::uint64_t records : { 0U, 2500U, 5000U, 10'000U })
            bytes.points.push_back({ double(records), CapacityClaimLoad({ 1, 2900, 900'000, records }).run().bytes });
        report.add(bytes);
        CapacitySeries limited { "claim_bytes_by_segment", "largest segment in bytes, half full at the start",
            "store bytes/s", true, {} };
        for (std::int64_t limit : { 16'000, 32'000, 64'000, 128'000 }) {
            const auto records = static_cast<std::uint64_t>(limit) / 2 / internal::ClaimSegment::recordBytes;
            limited.points.push_back({ double(limit), CapacityClaimLoad({ 1, 2900, limit, records }).run().bytes });
        }
        report.add(limited);
    }

    void measureWriters(CapacityReport& report)
    {
        CapacitySeries writes { "claim_writes_by_writers", "writers of all 64 shards, 2,900 claims/s", "writes/s", true,
            {} };
        CapacitySeries reads { "claim_reads_by_writers", "writers of all 64 shards, 2,900 claims/s", "reads/s", true,
            {} };
        for (std::uint32_t writers : { 1U, 2U, 4U, 8U, 16U }) {
            const auto rates = CapacityClaimLoad({ writers, 2900 }).run();
            writes.points.push_back({ double(writers), rates.writes });
            reads.points.push_back({ double(writers), rates.reads });
        }
        report.add(writes);
        report.add(reads);
    }

    double indexBytes(std::uint64_t records)
    {
        constexpr std::uint64_t recordsOfSegment = 20'000;
        const std::int64_t live = liveBytes();
        internal::ClaimChain chain;
        for (std::uint64_t first = 0; first < records; first += recordsOfSegment) {
            internal::ClaimSegment segment;
            for (std::uint64_t i = first; i < first + recordsOfSegment; ++i)
                segment.put({ ClaimKey(Bits128 { i, i }), 1, AttemptId(), internal::ClaimState::Completed, 200 });
            segment.seal(1);
            chain.install(std::move(segment), KeyVersion(1));
        }
        return static_cast<double>(liveBytes() - live);
    }

} // namespace

void measureClaims(CapacityReport& report, bool)
{
    measureRates(report);
    measureSegments(report);
    measureWriters(report);
    CapacitySeries index { "claim_index_bytes", "records within retention", "bytes", true, {} };
    for (std::uint64_t records : { 40'000U, 80'000U, 160'000U, 320'000U, 640'000U })
        index.points.push_back({ double(records), indexBytes(records) });
    report.add(index);
}

} // namespace fuchsialb::bench
