#pragma once

#include <cstdint>
#include <string_view>

namespace fuchsialb {

/// \brief Version of the messages between daemons; raised by a change that older daemons can't read.
inline constexpr std::uint32_t protocolVersion = 1;

/// \return The protocol version with its name, for logs.
std::string_view protocolName();

} // namespace fuchsialb
