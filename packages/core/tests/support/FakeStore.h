#pragma once

#include "fuchsialb/Claims.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief What happens to one store operation, chosen when it is issued.
struct StoreFate {
    /// Delay until the operation takes effect; less than 0 when it never does.
    std::int64_t effectAfterMs = 0;
    /// Delay until it is answered; less than 0 when it never is. An answer before the effect says `Lost`.
    std::int64_t answerAfterMs = 0;
    /// The answer says `Lost` although the operation took effect.
    bool answerLost = false;
    /// The true answer follows a second time this much later; 0 for no second answer.
    std::int64_t repeatAfterMs = 0;
};

/// \brief Compare-and-swap store in memory on simulated time, with a fate for each operation.
class FakeStore {
public:
    using Deliver = std::function<void(const StoreAnswer& answer)>;

    /// Takes an operation at time `nowMs`; its answers go to `deliver`.
    void submit(const StoreOperation& operation, const StoreFate& fate, std::int64_t nowMs, const Deliver& deliver);
    /// Executes effects and answers that are due, in the order of their times.
    void run(std::int64_t nowMs);
    /// Executes one operation at once.
    StoreAnswer apply(const StoreOperation& operation);

    const std::map<std::string, std::pair<KeyVersion, std::string>>& values() const { return m_values; }
    std::uint64_t reads() const { return m_reads; }
    std::uint64_t writes() const { return m_writes; }
    std::uint64_t bytes() const { return m_bytes; }

private:
    std::map<std::string, std::pair<KeyVersion, std::string>> m_values;
    /// Ordered by time; equal times stay in the order of submission.
    std::multimap<std::int64_t, std::function<void()>> m_due;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace fuchsialb
