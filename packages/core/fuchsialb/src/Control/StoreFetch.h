#pragma once

#include "ConfigurationSpread.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsialb::internal {

/// \brief Reads the chunks of one head from the store, one at a time; chunks that are known already aren't read again.
class StoreFetch {
public:
    enum class Progress : unsigned char {
        /// The answer isn't for this fetch.
        NotMine,
        Going,
        Failed,
    };

    explicit StoreFetch(const SpreadOptions& options)
        : m_options(options)
    {
    }

    void start(const ConfigurationHead& head);
    void abandon();
    bool active() const { return m_head.has_value(); }
    /// \return The version that is fetched; 0 when none is.
    ConfigurationVersion version() const { return m_head ? m_head->version : ConfigurationVersion(); }
    std::optional<ControlOperation> next(TimePoint now, StoreOperationId operation);
    Progress onAnswer(const StoreAnswer& answer);
    /// \return Whether the read in flight has taken too long.
    bool timedOut(TimePoint now) const { return m_inFlight && now >= m_until; }
    /// \return Whether all chunks of the head are here.
    bool complete() const;
    /// Forgets all chunks, after an encoding that was refused.
    void clear() { m_chunks.clear(); }
    /// Ends a complete fetch. \return The head and the encoding.
    std::pair<ConfigurationHead, std::string> take();

private:
    SpreadOptions m_options;
    std::optional<ConfigurationHead> m_head;
    /// Chunks of this head by digest, those that it shares with the one before included.
    std::map<Bits128, std::string> m_chunks;
    std::optional<StoreOperationId> m_inFlight;
    Bits128 m_wanted;
    TimePoint m_until;
};

} // namespace fuchsialb::internal
