#pragma once

#include "../../Base/Ids.h"

#include <cstddef>
#include <cstdint>

namespace fuchsialb {

/// \return Number of cells into which the hosts of a data centre are divided: 1 for up to 8 hosts, otherwise the lowest
///     power of two that isn't below the square root of their number. It seldom changes when hosts come and go.
std::uint32_t cellCount(std::size_t hosts);

/// \return Index of the cell of a host, below `cells`, the same on every host.
std::uint32_t cellOf(const HostId& host, std::uint32_t cells);

} // namespace fuchsialb
