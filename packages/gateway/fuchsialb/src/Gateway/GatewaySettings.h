#pragma once

#include "fuchsialb/Net.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief Memory and descriptors that a process may use; by default those of the smallest machine that is supported.
struct MachineLimits {
    Bytes memory { 117'440'512 };
    std::size_t descriptors = 2870;
};

/// \brief Settings of one gateway process, read from a JSON file.
struct GatewaySettings {
    HostId host;
    DataCentreId dataCentre;
    SocketAddress callerAddress;
    SocketAddress readinessAddress;
    SocketAddress peerAddress;
    SocketAddress metricsAddress;
    /// "IP:port" of the key-value service.
    std::string storeAddress;
    /// How long API keys are accepted after the configuration was last confirmed as the newest; 0 for no limit.
    Duration keyTrust { 0 };
    /// Longest time from a change of the configuration until this host applies it, if it reaches the store.
    Duration configurationBound { std::chrono::seconds(2) };
    /// Longest time from the removal or draining of a runner until this host stops to use it, if it reaches the store.
    Duration registryBound { std::chrono::seconds(2) };
    /// Time between SIGTERM and the end of the process.
    Duration stopGrace { std::chrono::seconds(8) };
    /// Retries allowed for each request of this host, over a sliding window.
    double retryRatio = 0.1;
    Duration retryWindow { std::chrono::seconds(10) };
    /// Retries allowed in a window beyond the ratio, over all hosts.
    double retryAllowance = 0;
    /// Hedged requests allowed for each request for a service, from 0 (none) to 1.
    double hedgeRatio = 0;
    /// What this process may use of its machine.
    MachineLimits machine {};

    /// \param text A JSON object; unknown fields are ignored.
    /// \param machine Used where the text names no limits of the machine.
    /// \return `InvalidInput` with the name of the first field that is missing or invalid.
    static absl::StatusOr<GatewaySettings> parse(std::string_view text, const MachineLimits& machine = {});
    /// Reads a file, and from the environment FUCHSIALB_MEMORY_MB and FUCHSIALB_MAX_DESCRIPTORS where the file names no
    /// limits of the machine.
    static absl::StatusOr<GatewaySettings> load(const std::string& file);
};

} // namespace fuchsialb
