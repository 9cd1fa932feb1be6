#pragma once

#include "ClaimChecker.h"
#include "FakeStore.h"
#include "fuchsialb/src/Claims/ClaimLogImpl.h"

#include <memory>
#include <set>
#include <vector>

namespace fuchsialb {

/// \brief One seeded history of 2 to 4 claim logs on a store with faults.
///
/// Writers are paused and replaced, the store has outages, and operations are delayed, reordered, lost before or after
/// their effect, and answered twice. At the end all faults stop and the logs must become idle.
class ClaimHistory {
public:
    /// \param fault Fault of the first writer.
    explicit ClaimHistory(std::uint64_t seed, internal::ClaimFault fault = internal::ClaimFault::None);

    void run();

    const ClaimChecker& checker() const { return m_checker; }
    /// \return Whether every log became idle after the faults had stopped.
    bool becameIdle() const { return m_becameIdle; }
    std::size_t segments() const { return m_store.values().size(); }

private:
    struct Writer {
        int id = 0;
        std::unique_ptr<ClaimLog> log;
        std::int64_t pausedUntilMs = 0;
        /// Answers that came while the writer was paused.
        std::vector<StoreAnswer> held;
    };

    struct Running {
        int writer = 0;
        AttemptId attempt;
        ClaimKey key;
    };

    void replace(std::size_t index);
    void step(bool withFaults);
    void disturb();
    void drive(std::size_t index, bool withFaults);
    void takeAnswered(Writer& writer);
    void claimSome(Writer& writer);
    void settleSome(Writer& writer);
    StoreFate fate(bool withFaults);

    Random m_random;
    ManualClock m_clock;
    std::int64_t m_nowMs = 0;
    internal::ClaimFault m_fault;
    FakeStore m_store;
    ClaimChecker m_checker;
    std::vector<std::shared_ptr<Writer>> m_writers;
    std::vector<Running> m_running;
    std::set<int> m_replaced;
    int m_nextWriter = 0;
    std::uint64_t m_keys = 0;
    std::int64_t m_outageUntilMs = 0;
    double m_faultRate = 0;
    bool m_becameIdle = false;
};

} // namespace fuchsialb
