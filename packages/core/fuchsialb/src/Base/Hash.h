#pragma once

#include "Ids.h"

#include <cstdint>
#include <string_view>

namespace fuchsialb {

/// \return XXH3 of `bytes`, the same on every host.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// \return 128-bit XXH3 of `bytes`, the same on every host.
Bits128 hash128(std::string_view bytes);

} // namespace fuchsialb
