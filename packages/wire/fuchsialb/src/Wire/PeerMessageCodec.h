#pragma once

#include "fuchsialb/Router.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief Encodes a message as a protobuf `Body` (packages/wire/proto/peer.proto).
///
/// Durations are clamped to 0 and one week: a deadline may pass while its request waits to be sent. Detail and content
/// type of a result are cut to the accepted length.
std::string encodePeerMessage(const PeerMessage& message);

/// \brief Decodes and validates a protobuf `Body`.
/// \return `MalformedMessage` for anything that `encodePeerMessage` can't have produced from a valid message: unknown
///     enumerators, missing parts, lists or texts that are too long, durations over one week.
absl::StatusOr<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace fuchsialb
