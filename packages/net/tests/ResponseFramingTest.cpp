#include "support/Calls.h"
#include "support/RawSocket.h"

#include <fmt/format.h>

#include <chrono>
#include <thread>

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

// Guards against an empty response with status 200 that an endpoint didn't give: it stopped inside its head.
SCENARIO("a response whose head breaks off is lost, wherever it breaks off")
{
    auto client = *HttpClient::create({});
    RawSocket listener = RawSocket::bound();
    listener.listen();
    const std::string method = GENERATE("GET", "POST");
    const std::string start = GENERATE("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    const std::string framing = GENERATE("", "Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n");
    const std::string head = start + "HTTP/1.1 200 OK\r\nX-Seal: s\r\n" + framing + "X-Last: y\r\n\r\n";

    GIVEN("an endpoint that closes the connection after each part of the head")
    {
        THEN("no part is a response")
        {
            for (std::size_t length = 0; length < head.size(); ++length) {
                HttpRequest asked = request(method, listener.port(), "/");
                // A repetition of a request whose kept connection was closed would wait for a further response.
                asked.freshConnection = true;
                Call call = startCall(*client, std::move(asked));
                RawSocket connection = listener.accept();
                connection.receiveRequest();
                connection.send(head.substr(0, length));
                connection.close();
                INFO(head.substr(0, length));
                const Ending ending = await(call.ending);
                REQUIRE_FALSE(ending.response);
            }
        }
    }
}

// Guards against a short body that looks whole, and against its rest that is taken for the next response.
SCENARIO("a response whose head is malformed or contradicts itself is lost")
{
    auto client = *HttpClient::create({});
    RawSocket listener = RawSocket::bound();
    listener.listen();

    GIVEN("an endpoint whose head says two things")
    {
        const std::string fields = GENERATE(as<std::string>(), "Content-Length: 5\r\nContent-Length: 10\r\n",
            "Content-Length: 10\r\nContent-Length: 5\r\n", "Content-Length: 5, 10\r\n", "Content-Length: +5\r\n",
            "Content-Length: 5x\r\n", "Content-Length: \r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: gzip\r\n", "X: y\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n", "Content-Length : 5\r\n",
            ": empty\r\n", "X-A: b\r\n folded: line\r\n", "X\x01Y: z\r\n", "no colon\r\n");
        Call call = startCall(*client, request("GET", listener.port(), "/"));
        RawSocket connection = listener.accept();
        connection.receiveRequest();
        connection.send("HTTP/1.1 200 OK\r\nX-Seal: s\r\n" + fields + "\r\nhelloworld");

        THEN("it gives no response, and its connection isn't used again")
        {
            INFO(fields);
            CHECK(connection.seesClose());
            CHECK_FALSE(await(call.ending).response);
        }
    }
    GIVEN("an endpoint that says the length twice, with the same figure")
    {
        Call call = startCall(*client, request("GET", listener.port(), "/"));
        RawSocket connection = listener.accept();
        connection.receiveRequest();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello");

        THEN("the response is whole") { CHECK(await(call.ending).response); }
    }
}

// Guards against fields after the body that pass for those of the head.
SCENARIO("fields after a chunked body are no part of the response")
{
    auto client = *HttpClient::create({});
    RawSocket listener = RawSocket::bound();
    listener.listen();
    Call call = startCall(*client, request("GET", listener.port(), "/"));
    RawSocket connection = listener.accept();
    connection.receiveRequest();
    connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Seal: s\r\n\r\n");
    const Ending ending = await(call.ending);
    REQUIRE(ending.response);
    CHECK(ending.response->body == "hello");
    CHECK(ending.response->headers == HttpHeaders { { "transfer-encoding", "chunked" } });
}

// Guards against a late second copy of a response that the next request on its connection gets.
SCENARIO("a kept connection on which bytes came that nobody asked for isn't used again")
{
    auto client = *HttpClient::create({});
    RawSocket listener = RawSocket::bound();
    listener.listen();
    Call first = startCall(*client, request("GET", listener.port(), "/first"));
    RawSocket connection = listener.accept();
    connection.receiveRequest();
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";

    GIVEN("a second copy that comes with the response, or before the next request")
    {
        const bool isLate = GENERATE(false, true);
        const std::size_t extraSize = GENERATE(std::size_t { 1 }, std::size_t { 9 }, std::string::npos);
        const std::string extra = response.substr(0, extraSize);
        connection.send(isLate ? response : response + extra);
        REQUIRE(await(first.ending).response);
        if (isLate)
            connection.send(extra);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));

        WHEN("another request is sent")
        {
            Call second = startCall(*client, request("GET", listener.port(), "/second"));

            THEN("it gets a connection of its own")
            {
                RawSocket other = listener.accept();
                CHECK(other.receiveRequest().find("/second") != std::string::npos);
                other.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
                const Ending ending = await(second.ending);
                REQUIRE(ending.response);
                CHECK(ending.response->body == "second");
            }
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
    options.memory = std::make_shared<MemoryBudget>(Bytes(2'000'000));
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

// Guards against heads of very many short fields, whose cost is many times their size, at many exchanges at once.
SCENARIO("heads and trailers are counted by what they cost, over all exchanges")
{
    const Bytes limit { 2'000'000 };
    HttpClient::Options options;
    options.memory = std::make_shared<MemoryBudget>(limit);
    auto client = *HttpClient::create(options);
    RawSocket listener = RawSocket::bound();
    listener.listen();

    GIVEN("exchanges whose heads or trailers consist of short fields without end")
    {
        const std::string beginning = GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n");
        std::string fields;
        for (int i = 0; i < 200; ++i)
            fields += "a:b\r\n";
        std::vector<Call> calls;
        std::vector<RawSocket> connections;
        for (int i = 0; i < 40; ++i) {
            calls.push_back(startCall(*client, request("GET", listener.port(), "/")));
            connections.push_back(listener.accept());
            connections.back().receiveRequest();
            connections.back().send(beginning);
        }

        WHEN("all of them keep sending")
        {
            for (int round = 0; round < 7; ++round) {
                for (RawSocket& connection : connections)
                    connection.send(fields);
            }
            Call last = startCall(*client, request("GET", listener.port(), "/"));
            RawSocket connection = listener.accept();
            connection.receiveRequest();
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");

            THEN("a short response is served, and most of the others have failed for their size")
            {
                CHECK(await(last.ending).response);
                for (RawSocket& open : connections)
                    open.close();
                std::size_t tooLarge = 0;
                for (Call& call : calls)
                    tooLarge += await(call.ending).reason() == Reason::BodyTooLarge ? 1 : 0;
                // Each has sent 1,400 fields, which take more than a third of a megabyte.
                CHECK(tooLarge >= 28);
            }
        }
    }
}
