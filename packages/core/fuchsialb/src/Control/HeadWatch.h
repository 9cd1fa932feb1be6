#pragma once

#include "ConfigurationSpread.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsialb::internal {

/// \brief Reads and watches `config/head`, one operation at a time, with timeouts and a pause after each failure.
class HeadWatch {
public:
    HeadWatch(const HostId& self, const SpreadOptions& options);

    /// \param known Highest version that this host knows of anywhere.
    /// \return The next operation, if one is due.
    std::optional<ControlOperation> next(TimePoint now, ConfigurationVersion known, StoreOperationId operation);
    /// Forgets the operation in flight when this host stops watching.
    void stop();
    /// \return Whether the answer belongs to this watch.
    bool onAnswer(const StoreAnswer& answer, TimePoint now);

    /// \return The latest head that the store showed, or null.
    const ConfigurationHead* head() const { return m_head ? &*m_head : nullptr; }
    bool storeBehind() const { return m_storeBehind; }
    std::uint64_t answers() const { return m_answers; }
    std::optional<TimePoint> answered() const { return m_answered; }

private:
    struct InFlight {
        StoreOperationId operation;
        TimePoint until;
        bool read = false;
        /// The highest known version when the operation started. A lower answer proves that the store is behind.
        ConfigurationVersion known;
    };

    SpreadOptions m_options;
    Duration m_retryPause;
    std::optional<InFlight> m_inFlight;
    TimePoint m_notBefore;
    std::optional<TimePoint> m_nextRead;
    KeyVersion m_keyVersion;
    std::optional<ConfigurationHead> m_head;
    std::optional<TimePoint> m_answered;
    std::uint64_t m_answers = 0;
    bool m_storeBehind = false;
};

} // namespace fuchsialb::internal
