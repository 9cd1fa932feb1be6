#include "fuchsialb/Net.h"
#include "fuchsialb/src/Net/ReplayWindow.h"
#include "tests/support/SilentRelay.h"

#include <catch2/catch.hpp>
#include <zmq.hpp>

#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <thread>

using namespace fuchsialb;
using namespace std::chrono_literals;

namespace {

/// \brief A transport that keeps what it received and dropped.
class Host {
public:
    explicit Host(const std::string& name, PeerTransport::Options options = {})
    {
        options.self = HostId(name);
        options.incarnation = Incarnation(1);
        if (options.keys.currentKey.empty())
            options.keys = { "fleet", "key", "" };
        transport = PeerTransport::create(
            options,
            [this](const HostId& from, const PeerMessage& message) {
                const std::lock_guard lock(m_mutex);
                m_received.emplace_back(from, message);
                m_changed.notify_all();
            },
            [this](const absl::Status& status) {
                const std::lock_guard lock(m_mutex);
                m_dropped.push_back(reasonOf(status));
                m_changed.notify_all();
            }).value();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(transport->port()); }

    bool awaitReceived(std::size_t count)
    {
        return await([&] { return m_received.size() >= count; });
    }

    /// Waits a short time only, for messages that are sent again and again.
    bool awaitReceivedBriefly(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, 100ms, [&] { return m_received.size() >= count; });
    }

    bool awaitDropped(std::size_t count)
    {
        return await([&] { return m_dropped.size() >= count; });
    }

    std::vector<std::pair<HostId, PeerMessage>> received()
    {
        const std::lock_guard lock(m_mutex);
        return m_received;
    }

    std::vector<Reason> dropped()
    {
        const std::lock_guard lock(m_mutex);
        return m_dropped;
    }

private:
    bool await(const std::function<bool()>& condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, 10s, condition);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::pair<HostId, PeerMessage>> m_received;
    std::vector<Reason> m_dropped;

public:
    /// Last member: its thread uses the others.
    std::unique_ptr<PeerTransport> transport;
};

PeerMessage numbered(std::uint32_t number) { return TokensDelivered { RequestId(), 1, number, { "x" } }; }

std::uint32_t numberOf(const PeerMessage& message) { return std::get<TokensDelivered>(message).position; }

/// \brief Sends raw frames, as a stranger or an attacker would.
void sendRaw(const std::string& address, const std::vector<std::vector<std::string>>& messages)
{
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.connect("tcp://" + address);
    for (const std::vector<std::string>& frames : messages) {
        for (std::size_t i = 0; i < frames.size(); ++i)
            socket.send(
                zmq::buffer(frames[i]), i + 1 < frames.size() ? zmq::send_flags::sndmore : zmq::send_flags::none);
    }
}

} // namespace

TEST_CASE("Peers exchange authenticated messages")
{
    Host a("a");
    Host b("b");

    // Guards against loss and reordering on a healthy connection, past the number handled in one turn.
    SECTION("messages arrive in order, both ways")
    {
        constexpr std::uint32_t count = 1000;
        for (std::uint32_t i = 0; i < count; ++i)
            REQUIRE(a.transport->send(HostId("b"), b.address(), numbered(i)));
        REQUIRE(b.transport->send(HostId("a"), a.address(), numbered(7)));
        REQUIRE(b.awaitReceived(count));
        REQUIRE(a.awaitReceived(1));
        const auto received = b.received();
        for (std::uint32_t i = 0; i < count; ++i) {
            REQUIRE(received[i].first == HostId("a"));
            REQUIRE(numberOf(received[i].second) == i);
        }
        CHECK(numberOf(a.received()[0].second) == 7);
        CHECK(a.transport->bytesSent() == b.transport->bytesReceived());
        CHECK(a.transport->bytesReceived() == b.transport->bytesSent());
    }

    // Guards against strangers and against a captured message that is sent again.
    SECTION("strangers and repetitions are dropped with their reason")
    {
        const EnvelopeKeys keys { "fleet", "key", "" };
        const auto from = [&](const EnvelopeKeys& with, std::uint64_t incarnation, std::uint64_t sequence) {
            return std::vector { seal(with, HostId("c"), HostId("b"), Incarnation(incarnation), sequence,
                numbered(static_cast<std::uint32_t>(sequence))) };
        };
        sendRaw(b.address(),
            { from(keys, 2, 5), from(keys, 2, 5), from(keys, 1, 6), from({ "fleet", "bad", "" }, 2, 7),
                from({ "other", "key", "" }, 2, 8), { "garbage" }, { "two", "parts" }, from(keys, 2, 9) });
        REQUIRE(b.awaitReceived(2));
        CHECK(numberOf(b.received()[0].second) == 5);
        CHECK(numberOf(b.received()[1].second) == 9);
        CHECK(b.dropped()
            == std::vector { Reason::MalformedMessage, Reason::MalformedMessage, Reason::WrongKey, Reason::WrongFleet,
                Reason::MalformedMessage, Reason::MalformedMessage });
    }

    // Guards against a host that took over the address of another.
    SECTION("a message for another host is dropped")
    {
        a.transport->send(HostId("c"), b.address(), numbered(1));
        REQUIRE(b.awaitDropped(1));
        CHECK(b.dropped() == std::vector { Reason::MalformedMessage });
    }
}

// Guards against memory that grows with an unreachable peer, and against its successor receiving stale messages.
TEST_CASE("Messages that can't be sent are dropped and reported")
{
    PeerTransport::Options options;
    options.pendingTimeout = 50ms;
    options.maxMessage = Bytes(1000);
    Host a("a", options);

    SECTION("no peer at the address, or no address")
    {
        Host gone("gone");
        const std::string address = gone.address();
        gone.transport.reset();
        a.transport->send(HostId("gone"), address, numbered(1));
        a.transport->send(HostId("gone"), "name.invalid:1", numbered(2));
        REQUIRE(a.awaitDropped(2));
        CHECK(a.dropped() == std::vector { Reason::ConnectFailed, Reason::ConnectFailed });
    }
    SECTION("a message larger than a peer accepts")
    {
        Host b("b", options);
        a.transport->send(HostId("b"), b.address(), TokensDelivered { RequestId(), 1, 0, { std::string(1000, 'x') } });
        a.transport->send(HostId("b"), b.address(), numbered(2));
        REQUIRE(b.awaitReceived(1));
        CHECK(a.dropped() == std::vector { Reason::BodyTooLarge });
    }
}

// Guards S8: without heartbeats a connection that has gone silent stays in use until TCP gives up, minutes later.
TEST_CASE("A connection that has gone silent is replaced")
{
    Host b("b");
    SilentRelay relay(b.transport->port());
    Host a("a");
    a.transport->send(HostId("b"), relay.address(), numbered(1));
    REQUIRE(b.awaitReceived(1));
    REQUIRE(relay.connections() == 1);
    relay.silenceOpen();

    // Messages that were written to the silent connection are lost; their senders try again.
    const auto start = std::chrono::steady_clock::now();
    bool isReplaced = false;
    for (int i = 0; i < 100 && !isReplaced; ++i) {
        a.transport->send(HostId("b"), relay.address(), numbered(2));
        isReplaced = b.awaitReceivedBriefly(2);
    }
    const auto elapsed
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
    INFO("replaced after " << elapsed.count() << " ms");
    CHECK(isReplaced);
    CHECK(relay.connections() == 2);
}

// Guards against connections that pile up over days of changing hosts.
TEST_CASE("Connections are bounded in number")
{
    PeerTransport::Options options;
    options.maxPeers = 1;
    Host a("a", options);
    Host b("b");
    Host c("c");
    a.transport->send(HostId("b"), b.address(), numbered(1));
    REQUIRE(b.awaitReceived(1));
    a.transport->send(HostId("c"), c.address(), numbered(2));
    REQUIRE(c.awaitReceived(1));
    CHECK(a.transport->peers() == 1);
}

// Guards against connections kept for hosts that are gone, and against one that can't be opened again.
TEST_CASE("An idle connection is closed and opened again when needed")
{
    PeerTransport::Options options;
    options.idleTimeout = 50ms;
    Host a("a", options);
    Host b("b");
    a.transport->send(HostId("b"), b.address(), numbered(1));
    REQUIRE(b.awaitReceived(1));
    for (int i = 0; i < 100 && a.transport->peers() > 0; ++i)
        b.awaitReceivedBriefly(2);
    CHECK(a.transport->peers() == 0);
    a.transport->send(HostId("b"), b.address(), numbered(2));
    CHECK(b.awaitReceived(2));
}

TEST_CASE("Bad settings of the peer transport are refused")
{
    const auto refusal = [](PeerTransport::Options options) {
        return reasonOf(PeerTransport::create(
            std::move(options), [](const HostId&, const PeerMessage&) {},
            [](const absl::Status&) {
            }).status());
    };
    PeerTransport::Options options;
    CHECK(refusal(options) == Reason::InvalidFlag);
    options.keys = { "fleet", "key", "" };
    options.bindAddress = "not an address";
    CHECK(refusal(options) == Reason::InvalidFlag);
    Host a("a");
    options.bindAddress = a.address();
    CHECK(refusal(options) == Reason::InvalidFlag);
}

// Guards against a message that is delivered twice or a fresh one that is refused.
TEST_CASE("The replay window accepts each message once")
{
    internal::ReplayWindow window(2);
    const HostId a("a");
    const auto accept = [&](std::uint64_t incarnation, std::uint64_t sequence) {
        return window.accept(a, Incarnation(incarnation), sequence);
    };
    CHECK(accept(1, 2000));
    CHECK_FALSE(accept(1, 2000));
    CHECK(accept(1, 1999));
    CHECK_FALSE(accept(1, 1999));
    CHECK(accept(1, 2000 - 1023));
    CHECK_FALSE(accept(1, 2000 - 1024));
    CHECK(accept(1, 2001));
    CHECK_FALSE(accept(1, 2000));
    CHECK(accept(1, 100'000));
    CHECK(accept(1, 99'999));
    CHECK(accept(2, 1));
    CHECK_FALSE(accept(1, 100'001));
    CHECK(accept(2, ~std::uint64_t { 0 }));
    CHECK_FALSE(accept(2, 1));

    SECTION("the sender heard from least recently is forgotten first")
    {
        CHECK(window.accept(HostId("b"), Incarnation(1), 1));
        CHECK_FALSE(accept(2, 1));
        CHECK(window.accept(HostId("c"), Incarnation(1), 1));
        CHECK_FALSE(accept(2, 1));
        CHECK(window.accept(HostId("b"), Incarnation(1), 1));
    }
}

namespace {

std::atomic<int> s_signalsHandled = 0;

} // namespace

// Guards against a process that ends since a signal interrupts the transport's thread.
TEST_CASE("Signals to the process don't interrupt the thread of a transport")
{
    struct sigaction handler { };
    handler.sa_handler = [](int) { ++s_signalsHandled; };
    struct sigaction previous { };
    REQUIRE(sigaction(SIGUSR2, &handler, &previous) == 0);
    Host a("a");
    Host b("b");
    // From now on the threads of the transports are the only ones that could take the signal.
    const auto blocked = ScopedSignalMask::block({ SIGUSR2 });
    constexpr std::uint32_t count = 50;

    SECTION("messages arrive beside signals, which wait for a thread that handles them")
    {
        for (std::uint32_t i = 0; i < count; ++i) {
            REQUIRE(kill(getpid(), SIGUSR2) == 0);
            REQUIRE(a.transport->send(HostId("b"), b.address(), numbered(i)));
            std::this_thread::sleep_for(2ms);
        }
        CHECK(b.awaitReceived(count));
        CHECK(s_signalsHandled == 0);
        const auto unblocked = ScopedSignalMask::unblock({ SIGUSR2 });
        // Sanitizers deliver a signal at the next call that they intercept.
        for (int i = 0; i < 1000 && s_signalsHandled == 0; ++i)
            std::this_thread::sleep_for(1ms);
        CHECK(s_signalsHandled == 1);
    }

    REQUIRE(sigaction(SIGUSR2, &previous, nullptr) == 0);
}
