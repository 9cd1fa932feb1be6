#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsialb::internal {

/// \brief Encodes the head of a chain: format version (1 byte), oldest segment (8), XXH3 of both (8).
std::string encodeClaimHead(std::uint64_t oldest);

/// \return Number of the oldest segment within retention, or nothing when the bytes are not a head.
std::optional<std::uint64_t> decodeClaimHead(std::string_view bytes);

} // namespace fuchsialb::internal
