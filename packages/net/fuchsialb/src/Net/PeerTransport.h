#pragma once

#include "fuchsialb/Wire.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fuchsialb {

/// \brief Authenticated messages between daemons over ZeroMQ, on one thread.
///
/// Binds one ROUTER socket and connects one DEALER socket to each peer address on the first message to it. Delivery is
/// at most once: a message is dropped when its peer can't be reached within `pendingTimeout`, when queues are full, and
/// when it was received before. A connection that has gone silent is replaced within 2 s: heartbeats are sent every
/// 500 ms with a timeout of 1.3 s.
class PeerTransport {
public:
    struct Options {
        /// "IP:port"; port 0 picks a free port.
        std::string bindAddress = "127.0.0.1:0";
        EnvelopeKeys keys;
        HostId self;
        /// Must be higher than in any earlier run of this host: peers drop messages of a lower incarnation.
        Incarnation incarnation;
        /// Largest sealed message, sent or received.
        Bytes maxMessage { 16'777'216 };
        /// Most messages that wait for the transport's thread.
        std::size_t capacity = 8192;
        /// Most peers connected at once; the one that was not used for longest is closed first.
        std::size_t maxPeers = 512;
        Duration idleTimeout { std::chrono::seconds(60) };
        /// Longest wait for a connection. A message that waited longer may be stale: its sender has acted on the loss.
        Duration pendingTimeout { std::chrono::seconds(1) };
    };

    /// Called on the transport's thread; must not block.
    using MessageHandler = std::function<void(HostId from, PeerMessage message)>;
    /// Called on the transport's thread for each message dropped: received (`WrongFleet`, `WrongProtocol`, `WrongKey`,
    /// `MalformedMessage`, also for repeated messages) or to be sent (`ConnectFailed`, `QueueFull`, `BodyTooLarge`).
    using DropHandler = std::function<void(absl::Status dropped)>;

    /// Binds and starts.
    /// \return `InvalidFlag` when the address can't be bound, the current key is empty, or a limit is 0.
    static absl::StatusOr<std::unique_ptr<PeerTransport>> create(
        Options options, MessageHandler onMessage, DropHandler onDropped);

    /// Stops and joins the thread; messages that were not sent yet are dropped.
    virtual ~PeerTransport() = default;

    /// Hands a message to the transport's thread, from any thread, without blocking.
    /// \param address "IP:port" of the peer.
    /// \return False when too many messages wait.
    virtual bool send(const HostId& to, const std::string& address, const PeerMessage& message) = 0;
    virtual std::uint16_t port() const = 0;
    /// \return Bytes of all sealed messages handed to a connection.
    virtual std::uint64_t bytesSent() const = 0;
    /// \return Bytes of all messages received, dropped ones included.
    virtual std::uint64_t bytesReceived() const = 0;
    /// \return Number of peers that a connection is kept for.
    virtual std::size_t peers() const = 0;
};

} // namespace fuchsialb
