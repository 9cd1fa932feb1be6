#pragma once

#include "fuchsialb/Net.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief Settings of one gateway process, read from a JSON file.
struct GatewaySettings {
    HostId host;
    DataCentreId dataCentre;
    SocketAddress callers;
    SocketAddress readiness;
    SocketAddress peers;
    SocketAddress metrics;
    /// "IP:port" of the key-value service.
    std::string store;
    /// How long API keys work without proof that they are still valid; 0 for no limit.
    Duration keyTrust { 0 };
    /// Time between SIGTERM and the end of the process.
    Duration stopGrace { std::chrono::seconds(8) };
    double repeatRatio = 0.1;
    Duration repeatWindow { std::chrono::seconds(10) };
    double repeatAllowance = 0;

    /// \param text A JSON object; names that are not known are ignored.
    /// \return `InvalidInput` naming the field that is missing or can't be used.
    static absl::StatusOr<GatewaySettings> parse(std::string_view text);
    static absl::StatusOr<GatewaySettings> load(const std::string& file);
};

} // namespace fuchsialb
