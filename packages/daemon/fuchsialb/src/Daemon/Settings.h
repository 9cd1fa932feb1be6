#pragma once

#include "fuchsialb/Base.h"
#include "fuchsialb/Net.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief Everything that a daemon is told at its start, checked.
struct Settings {
    HostId host;
    DataCentreId dataCentre;
    std::string fleet;
    std::string fleetKey;
    std::string previousFleetKey;
    SocketAddress listen;
    SocketAddress adminListen;
    SocketAddress peerListen;
    /// Base URL of the platform's service.
    std::string store;
    /// Peers to ask when the platform's host list can't be had: "host-id@data-centre@IP:port".
    std::vector<std::string> seeds;
    Bytes maxBody { 0 };
    Bytes maxHeaders { 0 };
    std::uint32_t maxConnections = 0;
    Duration clientTimeout { 0 };
    Duration hostListPeriod { 0 };
    Duration drainTimeout { 0 };
    /// Fraction of requests whose spans are logged; failed ones always are.
    double traceSample = 0;
    std::uint32_t logRate = 0;
    std::optional<std::uint64_t> seed;
};

/// \brief Result of reading the command line: settings, a gateway's settings file, or a text to print and exit.
struct CommandLine {
    std::optional<Settings> settings;
    std::string text;
    /// Settings file of a gateway; empty for a daemon on the product's own platform.
    std::string gatewaySettings;
};

/// \param environment Looks a variable up; none when it is not set.
/// \return `InvalidFlag` with a line that names the flag, the value and the accepted range.
absl::StatusOr<CommandLine> parseCommandLine(const std::vector<std::string>& arguments,
    const std::function<std::optional<std::string>(const std::string&)>& environment);

} // namespace fuchsialb
