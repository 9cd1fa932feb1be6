#pragma once

#include "fuchsialb/Claims.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fuchsialb::bench {

/// \brief Claims at a steady rate against a store in memory that answers in 4 ms.
class CapacityClaimLoad {
public:
    struct Load {
        /// Daemons that write to all shards of the target.
        std::uint32_t writers = 1;
        std::uint32_t claimsPerSecond = 0;
        std::int64_t maxSegment = 900'000;
        /// Records in the open segment of each shard at the start.
        std::uint64_t records = 0;
        std::uint32_t shards = 64;
    };

    struct Rates {
        double writes = 0;
        double reads = 0;
        double bytes = 0;
        /// CPU microseconds a second of all writers.
        double cpu = 0;
    };

    explicit CapacityClaimLoad(const Load& load);

    /// \return Rates over 5 s, after 2 s in which the burst that a quiet shard is allowed is used up.
    Rates run();

private:
    struct Value {
        KeyVersion version;
        std::string bytes;
    };

    void step();
    void drive(std::size_t index);
    StoreAnswer apply(const StoreOperation& operation);

    Load m_load;
    ManualClock m_clock;
    Random m_random { 1 };
    std::map<std::string, Value> m_store;
    std::vector<std::unique_ptr<ClaimLog>> m_logs;
    /// Effects and answers of the store, and ends of requests, by time.
    std::multimap<std::int64_t, std::function<void()>> m_due;
    std::int64_t m_now = 0;
    std::int64_t m_carry = 0;
    Rates m_total;
};

} // namespace fuchsialb::bench
