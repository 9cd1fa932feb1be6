#pragma once

#include <cstdint>

namespace fuchsialb {

/// \brief Version of the messages between daemons; raised by a change that older daemons can't read.
inline constexpr std::uint32_t protocolVersion = 1;

} // namespace fuchsialb
