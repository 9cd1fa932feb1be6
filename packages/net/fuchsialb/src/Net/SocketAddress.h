#pragma once

#include "fuchsialb/Base.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace fuchsialb {

/// \brief An "IP:port" pair, checked.
struct SocketAddress {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const;
    bool operator==(const SocketAddress&) const = default;
};

/// \return `InvalidFlag` unless `text` is an IPv4 or bracketed IPv6 address with a port of 1 to 65535.
absl::StatusOr<SocketAddress> parseSocketAddress(const std::string& text);

} // namespace fuchsialb
