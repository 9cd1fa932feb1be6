#pragma once

#include "HttpClient.h"
#include "fuchsialb/Fleet.h"

#include <absl/status/statusor.h>
#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief A request as the server read it, whole.
struct ServerRequest {
    std::string method;
    /// Without the query.
    std::string path;
    std::string query;
    /// Path and query as they were sent.
    std::string target;
    /// Names in lower case.
    HttpHeaders headers;
    std::string body;

    /// \return The first header of that name (lower case), or null.
    const std::string* header(std::string_view name) const;
    /// \return The decoded value of a query parameter, or an empty string.
    std::string parameter(std::string_view name) const;
};

/// \brief Answer side of one request; callable from any thread, safe after the connection is gone.
class HttpReply {
public:
    virtual ~HttpReply() = default;

    /// Sends the whole answer.
    virtual void send(HttpResponse response) = 0;
    /// Makes the answer, not started yet, the last one on its connection.
    virtual void closeConnection() = 0;
    /// Starts a chunked answer, sent on with `write` and ended with `finish`.
    virtual void begin(std::uint32_t status, HttpHeaders headers) = 0;
    virtual void write(std::string piece) = 0;
    virtual void finish() = 0;
    /// Closes the connection without finishing the answer, so that it can't look complete.
    virtual void abort() = 0;
    /// \return Bytes of the answer that wait until the connection takes them; a peer that reads slowly lets them grow.
    virtual std::size_t unsentBytes() const = 0;
    /// Sets a hook that runs once, on the server's thread, when the peer closes the connection before the answer ended.
    virtual void onClosed(std::function<void()> hook) = 0;
};

/// \brief What one client may send, and how long it may take.
struct RequestLimits {
    /// Of the target with the names and values of all fields.
    Bytes maxHead { 32'768 };
    Bytes maxBody { 8'388'608 };
    /// From the first byte of a request to the end of its head.
    Duration headTimeout { std::chrono::seconds(10) };
    /// From the first byte of a request to its end.
    Duration readTimeout { std::chrono::seconds(10) };
    /// From the end of an answer, or the start of the connection, to the next request.
    Duration idleTimeout { std::chrono::seconds(10) };
};

/// \brief HTTP/1.1 server over http_parser and standalone Asio, on a thread of its own or on an event loop that is
/// given.
///
/// Serves one request of a connection at a time and reads no further ones until its answer has been taken.
class HttpServer {
public:
    struct Options {
        std::string address = "127.0.0.1";
        /// 0 picks a free port.
        std::uint16_t port = 0;
        // The limits until `setLimits` is called.
        Bytes maxBody { 8'388'608 };
        Bytes maxHeaders { 32'768 };
        /// Only for a server with an account of its own.
        std::size_t maxConnections = 4096;
        /// A client that sends a request, or lets its connection idle, for longer than this is cut off.
        Duration readTimeout { std::chrono::seconds(10) };
        /// A client that takes a written piece more slowly than this is cut off.
        Duration writeTimeout { std::chrono::seconds(10) };
        /// Event loop to run on, by one thread; empty for a thread of the server's own.
        std::shared_ptr<asio::io_context> context;
        /// What all clients may hold; shared by the servers of one event loop. Empty for an account of the server's
        /// own.
        std::shared_ptr<ClientAccount> account;
        /// Judges a request by its head when its body isn't there yet.
        /// \return The answer that refuses it; none to read the body.
        std::function<std::optional<HttpResponse>(const ServerRequest& head)> judge;
        /// Called when the server itself refuses a request or closes the connection of a client that takes too long or
        /// holds too much, with the status that it sends, 0 for none.
        std::function<void(std::string_view cause, std::uint32_t status)> onRefused;
    };

    /// Runs on the server's thread; must not block.
    using Handler = std::function<void(ServerRequest request, std::shared_ptr<HttpReply> reply)>;

    /// Binds and starts.
    /// \return `InvalidFlag` when the address can't be bound.
    static absl::StatusOr<std::unique_ptr<HttpServer>> create(Options options, Handler handler);

    /// Stops and joins the thread, if it has one; on a given event loop the loop must have stopped before.
    virtual ~HttpServer() = default;

    virtual std::uint16_t port() const = 0;
    /// \return Bytes of all answers that wait until their connections take them.
    virtual std::size_t unsentBytes() const = 0;
    /// Replaces the limits, for open connections too. A shorter `idleTimeout` holds from the next answer of a
    /// connection on, since its client may rely on the former one until then.
    virtual void setLimits(const RequestLimits& limits) = 0;
    /// Takes no more connections; those that are open go on.
    virtual void stopListening() = 0;
};

} // namespace fuchsialb
