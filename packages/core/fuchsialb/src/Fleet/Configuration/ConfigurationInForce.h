#pragma once

#include "RoutingTable.h"

#include <memory>
#include <optional>

namespace fuchsialb {

/// \brief The routing table that requests are matched against, and whether its API keys may still be trusted.
///
/// Stays correct under frequent configuration changes, lost or late responses of the store and restarts of the store's
/// clients: within one process the version only rises, and a revoked key is refused at the latest `keyTrust` after the
/// last proof that the table was the newest, even if the host never learns of the revocation. Times are of a clock that
/// also runs while the host is suspended.
class ConfigurationInForce {
public:
    /// \param keyTrust How long API keys are trusted after a proof that the table is the newest; with zero, until a
    ///     newer table removes them.
    explicit ConfigurationInForce(Duration keyTrust)
        : m_keyTrust(keyTrust)
    {
    }

    /// \brief Replaces the table in force, unless its version is as new or newer.
    /// \param provenAt Time at which the table is proven to have been the newest.
    /// \return Whether the table was put in force.
    bool accept(std::shared_ptr<const RoutingTable> table, Duration provenAt);
    /// Records that `version` was still the newest at `provenAt`; has no effect on a table of another version.
    void confirm(ConfigurationVersion version, Duration provenAt);

    bool known() const { return m_table != nullptr; }
    const std::shared_ptr<const RoutingTable>& table() const { return m_table; }
    ConfigurationVersion version() const { return m_table ? m_table->version : ConfigurationVersion(); }
    /// \return Last time at which the table in force is proven to have been the newest.
    Duration provenAt() const { return m_provenAt; }
    /// \return Whether API keys may be checked against the table in force.
    bool keysTrusted(Duration now) const;

private:
    Duration m_keyTrust;
    std::shared_ptr<const RoutingTable> m_table;
    Duration m_provenAt { 0 };
};

} // namespace fuchsialb
