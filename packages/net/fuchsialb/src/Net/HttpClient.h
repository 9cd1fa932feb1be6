#pragma once

#include "fuchsialb/Base.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fuchsialb {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
    std::string method = "GET";
    /// "http://IP:port/path?query".
    std::string url;
    HttpHeaders headers;
    std::string body;
    /// Longest time for the whole exchange; 0 for none (streams).
    Duration timeout { 0 };
    Duration connectTimeout { std::chrono::milliseconds(500) };
    /// The exchange fails with `ConnectionSilent` when nothing arrives for this long; 0 for no limit.
    Duration silenceTimeout { 0 };
    /// Forces a connection of its own, for probes of a connection that may have gone silent.
    bool freshConnection = false;
    /// Written to one connection only; a kept connection that turns out to be closed is then a failure, also for
    /// methods that may be repeated.
    bool sendOnce = false;
    /// Path and query to send as they are, in place of those of `url`; for requests that are passed on.
    std::string target {};
    /// Largest body that is collected, within the limit of the client; 0 for no other limit than that.
    Bytes maxBody { 0 };
};

struct HttpResponse {
    std::uint32_t status = 0;
    /// Names in lower case.
    HttpHeaders headers;
    std::string body;
};

/// \brief How far an exchange got, for proofs that nothing ran.
struct HttpFailure {
    /// `ConnectFailed`, `ConnectionLost`, `ConnectionSilent`, `Timeout`, `Cancelled`, `EndpointFailed` or
    /// `BodyTooLarge`, which also stands for headers without end and for memory that the budget refuses.
    absl::Status status;
    /// No byte of the request was written to a socket.
    bool notSent = false;
    /// The peer's host answered that nothing accepts connections at the address.
    bool refused = false;
};

/// For the responses of a client that is given no other budget.
inline constexpr Bytes defaultResponseMemory { 50'331'648 };

using HttpExchangeId = internal::StrongId<struct HttpExchangeTag, std::uint64_t>;

/// \brief Callbacks of one exchange; all run on the client's own thread.
struct HttpHandlers {
    /// Called for each piece of a streamed body; when empty, or when the status is not 2xx, the body is collected in
    /// the response.
    std::function<void(std::string_view piece)> onPiece;
    std::function<void(HttpResponse response)> onResponse;
    std::function<void(HttpFailure failure)> onFailure {};
    /// Called once with status and headers before the first piece of a streamed body; false ends the exchange.
    std::function<bool(const HttpResponse& head)> onHead {};
    /// Called once with status and headers, whatever the status; false means that the response isn't the one to this
    /// request, and the exchange fails with `EndpointFailed`. Its connection isn't used again.
    std::function<bool(const HttpResponse& head)> isOwnResponse {};
};

/// \brief HTTP/1.1 client over libcurl's multi interface, on a thread of its own or on an event loop that is given;
/// connections are kept alive and reused.
class HttpClient {
public:
    struct Options {
        /// Most exchanges that wait or run at once.
        std::size_t capacity = 16384;
        Bytes maxBody { 16'777'216 };
        /// For the heads of all responses, their trailers and the bodies that are being collected, by what they cost;
        /// an exchange that is refused more of it fails. Used on the client's thread; one of `defaultResponseMemory` if
        /// empty.
        std::shared_ptr<MemoryBudget> memory {};
    };

    static absl::StatusOr<std::unique_ptr<HttpClient>> create(Options options);
    /// Runs on an event loop that one thread runs; `start` and `cancel` may then be called on that thread only, and the
    /// loop must have stopped before the client goes.
    static absl::StatusOr<std::unique_ptr<HttpClient>> create(Options options, asio::io_context& context);

    virtual ~HttpClient() = default;

    /// Starts an exchange from any thread; exactly one of `onResponse` and `onFailure` follows.
    /// \return `QueueFull` when too many exchanges wait.
    virtual absl::StatusOr<HttpExchangeId> start(HttpRequest request, HttpHandlers handlers) = 0;
    /// Ends an exchange early; it fails with `Cancelled` unless it ended before.
    virtual void cancel(HttpExchangeId exchange) = 0;
    /// \brief Stops to receive a response, or goes on. What has been received already may still be passed on.
    ///
    /// The peer is held up by the flow control of its connection.
    virtual void setPaused(HttpExchangeId exchange, bool isPaused) = 0;
};

} // namespace fuchsialb
