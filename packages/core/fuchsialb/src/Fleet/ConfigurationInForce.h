#pragma once

#include "RoutingTable.h"

#include <memory>
#include <optional>

namespace fuchsialb {

/// \brief The routing table that requests are judged by, and for how long its API keys may be trusted.
///
/// Answers a load of configuration changes, lost or late store answers and restarts of the store's clients: versions
/// only rise within one process, and a key that was taken away stops to work `trustFor` after the last proof that the
/// table was the newest one, whether or not news arrives. Times are on a clock that goes on while the host is
/// suspended.
class ConfigurationInForce {
public:
    /// \param trustFor How long a proof of freshness holds; zero when keys hold until news of their removal.
    explicit ConfigurationInForce(Duration trustFor)
        : m_trustFor(trustFor)
    {
    }

    /// \param provenAt The table was the newest one at this time.
    /// \return Whether the table is now in force; false for an older or equal version.
    bool accept(std::shared_ptr<const RoutingTable> table, Duration provenAt);
    /// Notes that `version` was still the newest at `provenAt`.
    void confirm(ConfigurationVersion version, Duration provenAt);

    bool known() const { return m_table != nullptr; }
    const std::shared_ptr<const RoutingTable>& table() const { return m_table; }
    ConfigurationVersion version() const { return m_table ? m_table->version : ConfigurationVersion(); }
    /// \return When the table in force was last known to be the newest.
    Duration provenAt() const { return m_provenAt; }
    /// \return Whether API keys may be judged by the table in force.
    bool keysTrusted(Duration now) const;

private:
    Duration m_trustFor;
    std::shared_ptr<const RoutingTable> m_table;
    Duration m_provenAt { 0 };
};

} // namespace fuchsialb
