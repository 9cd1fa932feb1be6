#pragma once

#include "FakeStore.h"

#include <memory>
#include <optional>

namespace fuchsialb {

/// \brief A claim log on a store that answers after a fixed delay, driven until its claims are answered.
class ClaimWriter {
public:
    ClaimWriter(FakeStore& store, ManualClock& clock, ClaimOptions options, std::uint32_t shards = 1);

    /// Claims a key and returns the answer.
    ClaimResult claim(ClaimKey key, std::uint64_t attempt, std::uint64_t bodyDigest = 1);
    /// Settles a granted claim and waits until the store has it.
    void settle(ClaimKey key, std::uint64_t attempt, Outcome outcome, std::uint32_t httpStatus = 200);
    /// Moves the time on by 1 ms, with ticks and store operations.
    void step();

    ClaimLog& log() { return *m_log; }

private:
    FakeStore& m_store;
    ManualClock& m_clock;
    std::unique_ptr<ClaimLog> m_log;
};

} // namespace fuchsialb
