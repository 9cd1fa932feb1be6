#pragma once

#include "RequestParser.h"
#include "SystemClock.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb::internal {

class ServerConnection;
struct ReplyState;

/// \brief State that a server shares with its connections; used on the server's thread only.
struct ServerState {
    explicit ServerState(asio::io_context& loop)
        : context(loop)
    {
    }

    /// Outlives the connections, whose handlers it holds.
    asio::io_context& context;
    RequestLimits limits;
    Duration writeTimeout { 0 };
    std::function<void(ServerRequest request, const std::shared_ptr<ReplyState>& reply)> handler;
    std::function<std::optional<HttpResponse>(const ServerRequest& head)> judge;
    std::function<void(std::string_view cause, std::uint32_t status)> onRefused;
    std::shared_ptr<ClientAccount> account;
    SystemClock clock;
    /// Unsent bytes of all answers.
    std::atomic<std::size_t> unsent = 0;
    /// Bytes that were just received; kept once for all connections, so that idle ones need no memory.
    std::array<char, 16'384> received {};
    std::size_t draining = 0;
    std::map<ServerConnection*, std::shared_ptr<ServerConnection>> connections;
};

/// \brief What the answer side of a request knows about its connection.
struct ReplyState {
    std::weak_ptr<ServerConnection> connection;
    /// Bytes of the answer that the connection hasn't taken.
    std::atomic<std::size_t> unsent = 0;
    /// The connection was gone before the answer had ended.
    bool isLost = false;
};

/// \brief One connection of a client: reads requests within the limits, and writes their answers.
///
/// Refuses a request as soon as it exceeds a limit; nothing of it is passed on then. Used on the server's thread only.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    using Reply = std::shared_ptr<ReplyState>;

    ServerConnection(std::shared_ptr<ServerState> server, asio::ip::tcp::socket socket);
    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;
    ~ServerConnection() = default;

    /// \return Whether the account has room for the connection; it is closed otherwise.
    bool start();
    /// Ends the connection if it has waited for too long.
    void checkTimeouts(TimePoint now);
    void close();
    /// Closes the connection without telling the owner of an answer, since the server goes.
    void release();

    // Each of these does nothing unless the answer is the current one.
    void send(const Reply& reply, HttpResponse response);
    void closeAfter(const Reply& reply);
    void begin(const Reply& reply, std::uint32_t status, const HttpHeaders& headers);
    void write(const Reply& reply, const std::string& piece);
    void finish(const Reply& reply);
    void abort(const Reply& reply);
    void setClosedHook(const Reply& reply, std::function<void()> hook);

private:
    enum class Phase : unsigned char {
        /// Waits for a request or reads one.
        Reading,
        /// Waits for the end of the answer.
        Answering,
        /// Writes the rest of the answer.
        Flushing,
        /// Has refused a request, and drops what is left of it, so that the client receives the answer.
        Draining,
        Closed,
    };

    struct Output {
        std::string bytes;
        Reply reply;
    };

    bool wantsInput() const;
    void awaitInput();
    void readInput();
    void consume(std::string_view bytes);
    void dispatch();
    void judgeHead();
    void refuse(HttpResponse response);
    void refuse(std::uint32_t status, std::string_view cause);
    /// Gives back the memory of what has been read.
    void dropInput();
    /// Gives up what waits to be taken.
    void dropOutput();
    /// Called by the account, in the middle of any action on any connection: only gives back memory.
    void giveBack();
    /// Refuses the request that was read, or closes the connection.
    void evict();
    void endAnswer();
    void sendHead(std::uint32_t status, const HttpHeaders& headers, std::string_view framing, std::string body,
        const Reply& reply);
    void addOutput(std::string bytes, const Reply& reply);
    void countUnsent(const Output& output, std::ptrdiff_t change);
    /// Writes what the connection takes now.
    void writeOutput();
    std::vector<asio::const_buffer> nextBuffers() const;
    void removeOutput(std::size_t count);
    void awaitOutput();
    /// Called when all output has been written.
    void outputTaken();
    void nextRequest();
    void consumeAhead();
    void drain();
    /// Closes the connection later, since its owner may be in the middle of an answer.
    void closeSoon();
    void report(std::string_view cause, std::uint32_t status) const;
    /// Tells the account what the client holds, and what it has moved since the last time.
    void account(std::size_t moved = 0);

    std::shared_ptr<ServerState> m_server;
    asio::ip::tcp::socket m_socket;
    ClientId m_client;
    RequestParser m_parser;
    Phase m_phase = Phase::Reading;
    bool m_awaitsInput = false;
    bool m_awaitsOutput = false;
    bool m_headIsJudged = false;
    bool m_closesAfterAnswer = false;
    bool m_isStreaming = false;
    bool m_isRefused = false;
    bool m_isEvicted = false;
    /// The request that was read when the client was evicted has not been passed on.
    bool m_isEvictedReading = false;
    /// Start of the wait that a timeout bounds: for a request, for its end, or for the end of the connection.
    TimePoint m_since;
    TimePoint m_writingSince;
    Duration m_idleTimeout { 0 };
    std::size_t m_drained = 0;
    /// Memory of the request that has been passed on.
    std::size_t m_runningBytes = 0;
    /// Memory of the answers that wait to be taken.
    std::size_t m_outputBytes = 0;
    /// Input beyond the current request.
    std::string m_ahead;
    std::deque<Output> m_output;
    /// Bytes of the first output that have been written.
    std::size_t m_written = 0;
    Reply m_reply;
    std::function<void()> m_closedHook;
};

} // namespace fuchsialb::internal
