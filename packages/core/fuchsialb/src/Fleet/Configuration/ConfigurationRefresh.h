#pragma once

#include "ConfigurationInForce.h"

namespace fuchsialb {

enum class ConfigurationRead : unsigned char {
    None,
    /// From a copy that may be outdated, at a fraction of the cost.
    MayBeStale,
    Newest,
};

/// \brief Decides when a host that doesn't watch the configuration reads it by itself.
///
/// It does so when another host has a newer version, and when the last proof that its own version is the newest gets
/// old, since then nobody may be watching for it. Times are of a clock that also runs while the host is suspended.
class ConfigurationRefresh {
public:
    /// \param heard Newest version that another host has.
    /// \param maxAge Age of the last proof at which the configuration is read.
    /// \return The read to begin now; its end is to be recorded.
    ConfigurationRead next(
        const ConfigurationInForce& configuration, ConfigurationVersion heard, Duration maxAge, Duration now);
    void recordEnd(ConfigurationRead read, Duration now);

private:
    ConfigurationRead choose(
        const ConfigurationInForce& configuration, ConfigurationVersion heard, Duration maxAge, Duration now);

    bool m_isReading = false;
    /// Bounds the reads of the newest configuration while the store doesn't answer.
    Duration m_nextNewestAt { 0 };
    /// Newest version that another host had when a copy was read because of it.
    ConfigurationVersion m_versionSought;
    Duration m_soughtAt { 0 };
};

} // namespace fuchsialb
