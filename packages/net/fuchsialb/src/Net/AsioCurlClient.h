#pragma once

#include "CurlExchange.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace fuchsialb::internal {

/// \brief HTTP client on an event loop: curl says which sockets and which timer to wait for, Asio waits.
///
/// Saves the hand-over between threads that each received piece costs otherwise. Used on the loop's thread only.
class AsioCurlClient final : public HttpClient {
public:
    AsioCurlClient(Options options, asio::io_context& context);
    ~AsioCurlClient() override;

    AsioCurlClient(const AsioCurlClient&) = delete;
    AsioCurlClient& operator=(const AsioCurlClient&) = delete;

    /// Sets the options of the multi handle.
    /// \return Whether curl took all of them.
    bool prepare();

    absl::StatusOr<HttpExchangeId> start(HttpRequest request, HttpHandlers handlers) override;
    void cancel(HttpExchangeId exchange) override;
    void setPaused(HttpExchangeId exchange, bool isPaused) override;

private:
    struct Socket {
        explicit Socket(asio::io_context& context, curl_socket_t handle)
            : descriptor(context, handle)
        {
        }

        asio::posix::stream_descriptor descriptor;
        /// CURL_POLL_IN and CURL_POLL_OUT that curl wants, and those that are waited for.
        int wanted = 0;
        int waiting = 0;
    };

    static int socketChanged(CURL* easy, curl_socket_t handle, int what, void* self, void* socket);
    static int timerChanged(CURLM* multi, long milliseconds, void* self);
    static curl_socket_t openSocket(void* self, curlsocktype purpose, curl_sockaddr* address);
    static int closeSocket(void* self, curl_socket_t handle);
    /// Forgets a socket that curl closed without a word, as it does with connections that never came about, when its
    /// number is given to a new one.
    void replaceStale(curl_socket_t handle);

    void wait(const std::shared_ptr<Socket>& socket, curl_socket_t handle);
    void waitFor(const std::shared_ptr<Socket>& socket, curl_socket_t handle, int direction);
    void act(curl_socket_t handle, int events);
    void collectFinished();
    /// Finishes on a later turn of the loop, so that handlers never run inside the call that caused the end.
    void failLater(std::unique_ptr<CurlExchange> exchange, Reason reason, const char* detail);

    Options m_options;
    asio::io_context& m_context;
    asio::steady_timer m_timer;
    CURLM* m_multi;
    std::shared_ptr<MemoryBudget> m_memory;
    KeptConnections m_connections;
    std::map<curl_socket_t, std::shared_ptr<Socket>> m_sockets;
    std::map<HttpExchangeId, std::unique_ptr<CurlExchange>> m_exchanges;
    std::uint64_t m_lastId = 0;
    /// curl is at work and calls back; exchanges must not be removed meanwhile.
    bool m_inCurl = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fuchsialb::internal
