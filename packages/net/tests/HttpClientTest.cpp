#include "support/Calls.h"
#include "support/RawSocket.h"

#include <atomic>
#include <thread>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

constexpr std::string_view emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// \brief Answers the first request, reads the second on the same connection and closes without an answer; requests on
/// later connections are answered.
class ClosingServer {
public:
    ClosingServer()
        : m_listener(RawSocket::bound())
        , port(m_listener.port())
    {
        m_listener.listen();
        m_thread = std::thread([this] { serve(); });
    }

    ~ClosingServer()
    {
        // Ends a wait for a connection that never came.
        if (m_connections < 2)
            RawSocket::connectedTo(port).close();
        m_thread.join();
    }

    std::size_t requests() const { return m_requests; }

private:
    void serve()
    {
        RawSocket first = m_listener.accept();
        ++m_connections;
        answer(first);
        if (!first.receiveRequest().empty())
            ++m_requests;
        first.close();
        RawSocket second = m_listener.accept();
        ++m_connections;
        answer(second);
    }

    void answer(RawSocket& connection)
    {
        if (connection.receiveRequest().empty())
            return;
        ++m_requests;
        connection.send(emptyAnswer);
    }

    RawSocket m_listener;
    std::atomic<std::size_t> m_requests = 0;
    std::atomic<std::size_t> m_connections = 0;
    std::thread m_thread;

public:
    const std::uint16_t port;
};

} // namespace

TEST_CASE("The HTTP client reports how far an exchange got")
{
    const auto client = *HttpClient::create({});

    // Guards P4: a request whose bytes the peer may have read must never be sent a second time.
    SECTION("a peer reads the request and closes a reused connection")
    {
        ClosingServer server;
        REQUIRE(callAndWait(*client, request("POST", server.port, "/a")).response);

        SECTION("POST with a body is not repeated")
        {
            const Ending ending = callAndWait(*client, request("POST", server.port, "/b", "pay"));
            CHECK(ending.reason() == Reason::ConnectionLost);
            CHECK_FALSE(ending.failure->notSent);
            CHECK(server.requests() == 2);
        }
        SECTION("DELETE without a body is not repeated")
        {
            const Ending ending = callAndWait(*client, request("DELETE", server.port, "/b"));
            CHECK(ending.reason() == Reason::ConnectionLost);
            CHECK_FALSE(ending.failure->notSent);
            CHECK(server.requests() == 2);
        }
        SECTION("GET is repeated, which shows that the server above would count a repetition")
        {
            CHECK(callAndWait(*client, request("GET", server.port, "/b")).response);
            CHECK(server.requests() == 3);
        }
    }

    // Guards against work that is reported as possibly run although nothing was sent.
    SECTION("a refused connection proves that nothing was sent")
    {
        const RawSocket refusing = RawSocket::bound();
        const Ending ending = callAndWait(*client, request("POST", refusing.port(), "/a", "x"));
        CHECK(ending.reason() == Reason::ConnectFailed);
        CHECK(ending.failure->notSent);
    }

    SECTION("a peer that reads and then says nothing")
    {
        RawSocket listener = RawSocket::bound();
        listener.listen();
        HttpRequest post = request("POST", listener.port(), "/a", "x");

        // Guards against a stream that hangs on a connection that went silent.
        SECTION("is silent after the silence timeout")
        {
            post.silenceTimeout = std::chrono::milliseconds(100);
            const Ending ending = callAndWait(*client, post);
            CHECK(ending.reason() == Reason::ConnectionSilent);
            CHECK_FALSE(ending.failure->notSent);
        }
        SECTION("ends with the timeout of the whole exchange")
        {
            post.timeout = std::chrono::milliseconds(100);
            const Ending ending = callAndWait(*client, post);
            CHECK(ending.reason() == Reason::Timeout);
            CHECK_FALSE(ending.failure->notSent);
        }
        SECTION("can be given up by the caller")
        {
            Call call = startCall(*client, post);
            RawSocket connection = listener.accept();
            REQUIRE_FALSE(connection.receiveRequest().empty());
            client->cancel(call.id);
            const Ending ending = await(call.ending);
            CHECK(ending.reason() == Reason::Cancelled);
            CHECK_FALSE(ending.failure->notSent);
            CHECK(connection.seesClose());
        }
    }
}

// Guards against memory that grows with the number of waiting calls or the size of an answer.
TEST_CASE("The HTTP client is bounded")
{
    HttpClient::Options options;
    options.capacity = 1;
    options.maxBody = Bytes(10);
    auto client = *HttpClient::create(options);
    RawSocket listener = RawSocket::bound();
    listener.listen();
    Call call = startCall(*client, request("GET", listener.port(), "/"));

    SECTION("a call above the capacity is refused, and destruction ends the first")
    {
        CHECK(reasonOf(client->start(request("GET", listener.port(), "/"), {}).status()) == Reason::QueueFull);
        client.reset();
        CHECK(await(call.ending).reason() == Reason::Cancelled);
    }

    SECTION("an answer above the limit fails")
    {
        RawSocket connection = listener.accept();
        connection.receiveRequest();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nhello world");
        CHECK(await(call.ending).reason() == Reason::BodyTooLarge);
    }
}
