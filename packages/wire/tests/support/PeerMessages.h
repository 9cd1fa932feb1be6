#pragma once

#include "fuchsialb/Wire.h"

#include <functional>

namespace fuchsialb {

/// \brief Draws a valid message of any kind.
/// \param below Returns a number in [0, bound).
PeerMessage anyPeerMessage(const std::function<std::uint64_t(std::uint64_t bound)>& below);

/// \return Whether all fields of two messages are equal.
bool sameMessage(const PeerMessage& a, const PeerMessage& b);

} // namespace fuchsialb
