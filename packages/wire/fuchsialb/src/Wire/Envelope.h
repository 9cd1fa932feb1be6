#pragma once

#include "PeerMessageCodec.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief What peers of one fleet share.
struct EnvelopeKeys {
    std::string fleet;
    /// Signs outgoing messages; incoming messages may be signed with either key.
    std::string currentKey;
    /// Empty when no rotation is in progress.
    std::string previousKey;
};

/// \brief An authenticated message.
struct Opened {
    HostId sender;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    PeerMessage message;
};

/// \brief Encodes and signs a message.
///
/// The MAC is HMAC-SHA256 under `currentKey` over: protocol (4 bytes), incarnation (8), sequence (8), then fleet,
/// sender, receiver and body, each preceded by its length (8). Numbers are little-endian.
/// \param sequence Must rise with each message of one incarnation.
std::string seal(const EnvelopeKeys& keys, const HostId& sender, const HostId& receiver, Incarnation incarnation,
    std::uint64_t sequence, const PeerMessage& message);

/// \brief Checks and decodes a sealed message.
/// \return `WrongFleet`, `WrongProtocol` or `WrongKey` for a message of another fleet, version or key,
///     `MalformedMessage` for one that can't be decoded or that is meant for a host other than `self`.
absl::StatusOr<Opened> open(const EnvelopeKeys& keys, const HostId& self, std::string_view bytes);

} // namespace fuchsialb
