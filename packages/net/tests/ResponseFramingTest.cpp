#include "support/Calls.h"
#include "support/RawSocket.h"

#include <fmt/format.h>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

/// Sends the same bytes until the peer closes the connection.
/// \return The number of bytes sent; `maxBytes` if the peer took as many.
std::size_t sendUntilClosed(RawSocket& connection, const std::string& bytes, std::size_t maxBytes)
{
    std::size_t sent = 0;
    while (sent < maxBytes && connection.send(bytes))
        sent += bytes.size();
    return sent;
}

} // namespace

// Guards against taking a response that broke off for a whole one, and against waiting for a length that never comes.
SCENARIO("the end of a response is known by its length, its chunks or the end of its connection")
{
    auto client = *HttpClient::create({});
    RawSocket listener = RawSocket::bound();
    listener.listen();
    Call call = startCall(*client, request("GET", listener.port(), "/"));
    RawSocket connection = listener.accept();
    connection.receiveRequest();

    GIVEN("a response with neither a length nor chunks")
    {
        connection.send("HTTP/1.1 200 OK\r\nX-Name: value\r\n\r\nhello");

        WHEN("the connection ends in order")
        {
            connection.close();

            THEN("the response is whole")
            {
                const Ending ending = await(call.ending);
                REQUIRE(ending.response);
                CHECK(ending.response->body == "hello");
            }
        }
        WHEN("the connection is reset")
        {
            connection.reset();

            THEN("the response is lost") { CHECK(await(call.ending).reason() == Reason::ConnectionLost); }
        }
    }
    GIVEN("a response with a length or chunks")
    {
        const std::string head = GENERATE(as<std::string>(), "Content-Length: 10\r\n\r\nhello",
            "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "Transfer-Encoding: chunked\r\n\r\na\r\nhello");
        connection.send("HTTP/1.1 200 OK\r\n" + head);

        WHEN("the connection ends in order before it is complete")
        {
            connection.close();

            THEN("the response is lost") { CHECK(await(call.ending).reason() == Reason::ConnectionLost); }
        }
    }
}

// Guards against a peer whose bytes never end, which would fill the memory of the process.
SCENARIO("a response without end is cut off at a limit")
{
    constexpr std::size_t maxBytes = 64'000'000;
    HttpClient::Options options;
    options.maxBody = Bytes(1'000'000);
    auto client = *HttpClient::create(options);
    RawSocket listener = RawSocket::bound();
    listener.listen();
    Call call = startCall(*client, request("GET", listener.port(), "/"));
    RawSocket connection = listener.accept();
    connection.receiveRequest();

    GIVEN("header lines without end")
    {
        connection.send("HTTP/1.1 200 OK\r\n");

        THEN("the exchange fails, and the connection is closed")
        {
            CHECK(sendUntilClosed(connection, "X-Name: " + std::string(1000, 'v') + "\r\n", maxBytes) < maxBytes);
            CHECK(await(call.ending).reason() == Reason::BodyTooLarge);
        }
    }
    GIVEN("interim responses without end")
    {
        THEN("the exchange fails, and the connection is closed")
        {
            const std::string interim = "HTTP/1.1 100 Continue\r\nX-Name: " + std::string(1000, 'v') + "\r\n\r\n";
            CHECK(sendUntilClosed(connection, interim, maxBytes) < maxBytes);
            CHECK(await(call.ending).reason() == Reason::BodyTooLarge);
        }
    }
    GIVEN("one header line without end")
    {
        connection.send("HTTP/1.1 200 OK\r\nX-Name: ");

        THEN("the exchange fails, and the connection is closed")
        {
            CHECK(sendUntilClosed(connection, std::string(1000, 'v'), maxBytes) < maxBytes);
            CHECK(await(call.ending).failure);
        }
    }
    GIVEN("bytes that are no response")
    {
        THEN("the exchange fails, and the connection is closed")
        {
            CHECK(sendUntilClosed(connection, std::string(1000, '\x7f'), maxBytes) < maxBytes);
            CHECK(await(call.ending).failure);
        }
    }
    GIVEN("a body without end")
    {
        connection.send("HTTP/1.1 200 OK\r\n\r\n");

        THEN("the exchange fails, and the connection is closed")
        {
            CHECK(sendUntilClosed(connection, std::string(1000, 'b'), maxBytes) < maxBytes);
            CHECK(await(call.ending).reason() == Reason::BodyTooLarge);
        }
    }
}

// Guards against several peers whose bodies never end, each within the limit of one body.
SCENARIO("all bodies that are being collected share a limit")
{
    HttpClient::Options options;
    options.maxBody = Bytes(1'000'000);
    options.maxBodies = Bytes(2'000'000);
    auto client = *HttpClient::create(options);
    RawSocket listener = RawSocket::bound();
    listener.listen();

    GIVEN("eight responses that are not complete, each within the limit of one")
    {
        std::vector<Call> calls;
        std::vector<RawSocket> connections;
        for (int i = 0; i < 8; ++i) {
            calls.push_back(startCall(*client, request("GET", listener.port(), "/")));
            connections.push_back(listener.accept());
            connections.back().receiveRequest();
            connections.back().send("HTTP/1.1 200 OK\r\nContent-Length: 900001\r\n\r\n");
            for (int sent = 0; sent < 900; ++sent)
                connections.back().send(std::string(1000, 'b'));
        }

        WHEN("a short response arrives as well")
        {
            Call last = startCall(*client, request("GET", listener.port(), "/"));
            RawSocket connection = listener.accept();
            connection.receiveRequest();
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");

            THEN("it is served, and those beyond the limit of all have failed")
            {
                CHECK(await(last.ending).response);
                for (RawSocket& open : connections)
                    open.send("b");
                std::size_t served = 0;
                for (Call& call : calls)
                    served += await(call.ending).response ? 1 : 0;
                CHECK(served >= 1);
                CHECK(served <= 3);
            }
        }
    }
}
