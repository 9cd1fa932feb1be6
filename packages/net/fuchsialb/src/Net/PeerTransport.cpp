#include "PeerTransport.h"

#include "ReplayWindow.h"
#include "Ring.h"
#include "ScopedSignalMask.h"

#include <zmq.hpp>

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace fuchsialb {

namespace {

    using namespace std::chrono_literals;
    using SteadyClock = std::chrono::steady_clock;

    constexpr std::chrono::milliseconds heartbeatInterval = 500ms;
    // With 1.5 s a silent connection was replaced after up to 2.14 s.
    constexpr std::chrono::milliseconds heartbeatTimeout = 1300ms;
    // Frees what the receiver keeps for a sender that is gone. Only senders send heartbeats, which halves their
    // traffic.
    constexpr std::chrono::milliseconds heartbeatTimeToLive = 5000ms;
    constexpr std::chrono::milliseconds connectTimeout = 1000ms;
    constexpr std::chrono::milliseconds reconnectInterval = 50ms;
    constexpr std::chrono::milliseconds maxReconnectInterval = 500ms;
    // Service target S8; the silence may begin right after a heartbeat.
    static_assert(heartbeatInterval + heartbeatTimeout + reconnectInterval <= 2s);
    // Bounds how late an expired message or an idle peer is noticed.
    constexpr std::chrono::milliseconds housekeepingInterval = 20ms;
    constexpr std::chrono::milliseconds quietPollInterval = 1000ms;
    constexpr int sendHighWaterMark = 1000;
    constexpr int receiveHighWaterMark = 10000;
    constexpr std::size_t maxPendingPerPeer = 1024;
    // One side must not starve the other under load.
    constexpr int messagesPerTurn = 256;
    constexpr std::size_t maxReplaySenders = 4096;
    constexpr std::size_t maxRing = 65534;
    // Sockets besides those of the peers: three of the transport, the rest for sockets that ZeroMQ is still closing.
    constexpr int extraSockets = 128;
    constexpr const char* wakeEndpoint = "inproc://wake";

    struct Outgoing {
        HostId to;
        std::string address;
        PeerMessage message;
    };

    struct Pending {
        SteadyClock::time_point since;
        std::string bytes;
    };

    struct Peer {
        zmq::socket_t socket;
        SteadyClock::time_point lastUse;
        std::deque<Pending> pending;
    };

    void configureSocket(zmq::socket_t& socket)
    {
        socket.set(zmq::sockopt::linger, 0);
        // ZeroMQ waits 30 s by default for a peer that accepts a connection and stays silent from the start.
        socket.set(zmq::sockopt::handshake_ivl, static_cast<int>(heartbeatTimeout.count()));
        socket.set(zmq::sockopt::sndhwm, sendHighWaterMark);
        socket.set(zmq::sockopt::rcvhwm, receiveHighWaterMark);
    }

    void configureHeartbeats(zmq::socket_t& socket)
    {
        socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(heartbeatInterval.count()));
        socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(heartbeatTimeout.count()));
        socket.set(zmq::sockopt::heartbeat_ttl, static_cast<int>(heartbeatTimeToLive.count()));
    }

    // Addresses come from gossip; anything but digits would make ZeroMQ resolve a name or open another transport.
    bool isNumericAddress(std::string_view address)
    {
        return address.find(':') != std::string_view::npos && address.size() <= internal::maxAddressBytes
            && address.find_first_not_of("0123456789.:") == std::string_view::npos;
    }

    std::uint16_t boundPort(const std::string& endpoint)
    {
        std::uint32_t port = 0;
        static_cast<void>(absl::SimpleAtoi(endpoint.substr(endpoint.rfind(':') + 1), &port));
        return static_cast<std::uint16_t>(port);
    }

    class ZmqPeerTransport final : public PeerTransport {
    public:
        ZmqPeerTransport(Options options, MessageHandler onMessage, DropHandler onDropped)
            : m_options(std::move(options))
            , m_onMessage(std::move(onMessage))
            , m_onDropped(std::move(onDropped))
            , m_ring(m_options.capacity, [this] { wake(); })
            , m_replays(maxReplaySenders)
        {
            m_context.set(zmq::ctxopt::max_sockets, static_cast<int>(m_options.maxPeers) + extraSockets);
            m_router = zmq::socket_t(m_context, zmq::socket_type::router);
            m_wakeReceiver = zmq::socket_t(m_context, zmq::socket_type::pair);
            m_wakeSender = zmq::socket_t(m_context, zmq::socket_type::pair);
        }

        ~ZmqPeerTransport() override
        {
            m_stop = true;
            wake();
            if (m_thread.joinable())
                m_thread.join();
        }

        void start()
        {
            configureSocket(m_router);
            m_router.set(zmq::sockopt::maxmsgsize, m_options.maxMessage.value());
            std::string address = m_options.bindAddress;
            if (address.ends_with(":0"))
                address.replace(address.size() - 1, 1, "*");
            m_router.bind("tcp://" + address);
            m_port = boundPort(m_router.get(zmq::sockopt::last_endpoint));
            m_wakeReceiver.bind(wakeEndpoint);
            m_wakeSender.connect(wakeEndpoint);
            m_thread = std::thread([this] { run(); });
        }

        bool send(const HostId& to, const std::string& address, const PeerMessage& message) override
        {
            return m_ring.push({ to, address, message });
        }

        std::uint16_t port() const override { return m_port; }
        std::uint64_t bytesSent() const override { return m_bytesSent; }
        std::uint64_t bytesReceived() const override { return m_bytesReceived; }
        std::size_t peers() const override { return m_peerCount; }

    private:
        // A second wake before the first one is read would be redundant, so the socket never fills.
        void wake()
        {
            if (m_woken.exchange(true))
                return;
            const std::lock_guard lock(m_wakeMutex);
            while (!sendWake()) { }
        }

        /// \return False if a signal interrupted the call, since the calling thread may handle signals.
        bool sendWake()
        {
            try {
                static_cast<void>(m_wakeSender.send(zmq::message_t(), zmq::send_flags::dontwait));
                return true;
            } catch (const zmq::error_t& failure) {
                return failure.num() != EINTR;
            }
        }

        void run()
        {
            while (!m_stop) {
                try {
                    turn();
                } catch (const std::exception& failure) {
                    handleError(failure);
                }
            }
            m_peers.clear();
        }

        void turn()
        {
            waitForWork();
            zmq::message_t wakeMessage;
            if (m_wakeReceiver.recv(wakeMessage, zmq::recv_flags::dontwait))
                m_woken = false;
            sendQueued();
            receive();
            flushPeers();
        }

        // An exception that left the thread would end the process with all its requests.
        void handleError(const std::exception& failure)
        {
            const auto* socketError = dynamic_cast<const zmq::error_t*>(&failure);
            // Also a stopped and continued process may find its system calls interrupted.
            if (socketError && socketError->num() == EINTR)
                return;
            m_onDropped(error(Reason::Internal, failure.what()));
            // Bounds the rate of errors that don't pass.
            std::this_thread::sleep_for(housekeepingInterval);
        }

        void waitForWork()
        {
            std::vector<zmq::pollitem_t> items {
                { m_router.handle(), 0, ZMQ_POLLIN, 0 },
                { m_wakeReceiver.handle(), 0, ZMQ_POLLIN, 0 },
            };
            for (auto& [address, peer] : m_peers) {
                if (!peer.pending.empty())
                    items.push_back({ peer.socket.handle(), 0, ZMQ_POLLOUT, 0 });
            }
            const bool quiet = items.size() == 2;
            std::chrono::milliseconds wait = quiet ? quietPollInterval : housekeepingInterval;
            // A turn that ended at its limit leaves messages in the ring that no wake announces.
            if (m_moreQueued)
                wait = 0ms;
            zmq::poll(items, wait);
        }

        void sendQueued()
        {
            Outgoing outgoing;
            int sent = 0;
            while (sent < messagesPerTurn && m_ring.pop(outgoing)) {
                ++sent;
                sendOne(outgoing);
            }
            m_moreQueued = sent == messagesPerTurn;
        }

        void sendOne(const Outgoing& outgoing)
        {
            std::string bytes = seal(
                m_options.keys, m_options.self, outgoing.to, m_options.incarnation, ++m_sequence, outgoing.message);
            // The peer would close the connection and lose the messages queued on it.
            if (static_cast<std::int64_t>(bytes.size()) > m_options.maxMessage.value()) {
                m_onDropped(error(Reason::BodyTooLarge, fmt::format("message of {} bytes", bytes.size())));
                return;
            }
            Peer* peer = peerAt(outgoing.address);
            if (!peer) {
                m_onDropped(error(Reason::ConnectFailed, fmt::format("can't connect to '{}'", outgoing.address)));
                return;
            }
            if (peer->pending.size() >= maxPendingPerPeer) {
                m_onDropped(error(Reason::QueueFull, fmt::format("peer {} takes no messages", outgoing.address)));
                return;
            }
            peer->lastUse = SteadyClock::now();
            peer->pending.push_back({ peer->lastUse, std::move(bytes) });
            flush(*peer);
        }

        Peer* peerAt(const std::string& address)
        {
            const auto found = m_peers.find(address);
            if (found != m_peers.end())
                return &found->second;
            if (!isNumericAddress(address))
                return nullptr;
            if (m_peers.size() >= m_options.maxPeers)
                closePeer(std::min_element(m_peers.begin(), m_peers.end(),
                    [](const auto& a, const auto& b) { return a.second.lastUse < b.second.lastUse; }));
            try {
                Peer peer { zmq::socket_t(m_context, zmq::socket_type::dealer), SteadyClock::now(), {} };
                configureSocket(peer.socket);
                configureHeartbeats(peer.socket);
                // Queue only on complete connections: messages to a peer that is gone must not reach its successor.
                peer.socket.set(zmq::sockopt::immediate, true);
                peer.socket.set(zmq::sockopt::connect_timeout, static_cast<int>(connectTimeout.count()));
                peer.socket.set(zmq::sockopt::reconnect_ivl, static_cast<int>(reconnectInterval.count()));
                peer.socket.set(zmq::sockopt::reconnect_ivl_max, static_cast<int>(maxReconnectInterval.count()));
                peer.socket.connect("tcp://" + address);
                Peer& added = m_peers.emplace(address, std::move(peer)).first->second;
                m_peerCount = m_peers.size();
                return &added;
            } catch (const zmq::error_t&) {
                return nullptr;
            }
        }

        using Peers = std::map<std::string, Peer>;

        Peers::iterator closePeer(Peers::iterator peer)
        {
            for (std::size_t i = peer->second.pending.size(); i > 0; --i)
                m_onDropped(error(Reason::ConnectFailed, fmt::format("connection to {} was closed", peer->first)));
            const auto next = m_peers.erase(peer);
            m_peerCount = m_peers.size();
            return next;
        }

        void flush(Peer& peer)
        {
            while (!peer.pending.empty()) {
                const std::string& bytes = peer.pending.front().bytes;
                if (!peer.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait))
                    return;
                m_bytesSent += bytes.size();
                peer.pending.pop_front();
            }
        }

        void flushPeers()
        {
            const auto now = SteadyClock::now();
            for (auto peer = m_peers.begin(); peer != m_peers.end();) {
                std::deque<Pending>& pending = peer->second.pending;
                while (!pending.empty() && now - pending.front().since >= m_options.pendingTimeout) {
                    m_onDropped(error(Reason::ConnectFailed, fmt::format("no connection to {}", peer->first)));
                    pending.pop_front();
                }
                flush(peer->second);
                const bool idle = now - peer->second.lastUse >= m_options.idleTimeout;
                peer = idle ? closePeer(peer) : std::next(peer);
            }
        }

        void receive()
        {
            for (int i = 0; i < messagesPerTurn; ++i) {
                zmq::message_t part;
                if (!m_router.recv(part, zmq::recv_flags::dontwait))
                    return;
                // The first part is the identity that the ROUTER socket gave the connection.
                int parts = 1;
                while (part.more()) {
                    // The parts of a message arrive together.
                    if (!m_router.recv(part, zmq::recv_flags::dontwait))
                        return;
                    ++parts;
                }
                m_bytesReceived += part.size();
                if (parts == 2)
                    receiveOne(part.to_string_view());
                else
                    m_onDropped(error(Reason::MalformedMessage, fmt::format("message of {} parts", parts)));
            }
        }

        void receiveOne(std::string_view bytes)
        {
            absl::StatusOr<Opened> opened = open(m_options.keys, m_options.self, bytes);
            if (!opened.ok()) {
                m_onDropped(opened.status());
                return;
            }
            if (!m_replays.accept(opened->sender, opened->incarnation, opened->sequence)) {
                m_onDropped(error(Reason::MalformedMessage,
                    fmt::format("repeated or outdated message of {}", opened->sender.value())));
                return;
            }
            m_onMessage(std::move(opened->sender), std::move(opened->message));
        }

        Options m_options;
        MessageHandler m_onMessage;
        DropHandler m_onDropped;
        zmq::context_t m_context;
        zmq::socket_t m_router;
        zmq::socket_t m_wakeReceiver;
        zmq::socket_t m_wakeSender;
        std::mutex m_wakeMutex;
        std::atomic<bool> m_woken = false;
        Ring<Outgoing> m_ring;
        Peers m_peers;
        internal::ReplayWindow m_replays;
        std::uint64_t m_sequence = 0;
        bool m_moreQueued = false;
        std::uint16_t m_port = 0;
        std::atomic<bool> m_stop = false;
        std::atomic<std::uint64_t> m_bytesSent = 0;
        std::atomic<std::uint64_t> m_bytesReceived = 0;
        std::atomic<std::size_t> m_peerCount = 0;
        std::thread m_thread;
    };

} // namespace

absl::StatusOr<std::unique_ptr<PeerTransport>> PeerTransport::create(
    Options options, MessageHandler onMessage, DropHandler onDropped)
{
    if (options.keys.currentKey.empty())
        return error(Reason::InvalidFlag, "the fleet key is empty");
    if (options.capacity == 0 || options.capacity > maxRing || options.maxPeers == 0 || options.maxMessage <= Bytes(0))
        return error(Reason::InvalidFlag, "a limit of the peer transport is out of range");
    const std::string address = options.bindAddress;
    if (!isNumericAddress(address))
        return error(Reason::InvalidFlag, fmt::format("peer address '{}' is not IP:port", address));
    // For the thread of the transport and those of ZeroMQ, which start with the first socket.
    const auto signals = ScopedSignalMask::blockAll();
    try {
        auto transport
            = std::make_unique<ZmqPeerTransport>(std::move(options), std::move(onMessage), std::move(onDropped));
        transport->start();
        return std::unique_ptr<PeerTransport>(std::move(transport));
    } catch (const zmq::error_t& failure) {
        return error(Reason::InvalidFlag, fmt::format("can't bind peer address '{}': {}", address, failure.what()));
    }
}

} // namespace fuchsialb
