#pragma once

#include "BodyFraming.h"
#include "HttpClient.h"
#include "KeptConnections.h"

#include <curl/curl.h>

#include <memory>

namespace fuchsialb::internal {

/// \brief One exchange of the HTTP client: its easy handle, what arrived so far and its handlers.
///
/// Used on the client's thread only.
class CurlExchange {
public:
    CurlExchange(HttpExchangeId id, HttpRequest request, HttpHandlers handlers, Bytes maxBody,
        std::shared_ptr<MemoryBudget> memory, KeptConnections& connections);
    ~CurlExchange();

    CurlExchange(const CurlExchange&) = delete;
    CurlExchange& operator=(const CurlExchange&) = delete;

    /// Sets the options of the easy handle.
    /// \return Whether curl took all of them.
    bool prepare();

    CURL* handle() const { return m_easy; }
    HttpExchangeId id() const { return m_id; }
    bool limitsSilence() const { return m_request.silenceTimeout > Duration::zero(); }
    /// \return Whether nothing has arrived for the request's silence timeout.
    bool isSilent(TimePoint now) const;

    /// \brief Prepares the transfer to be started anew on a connection of its own.
    /// \return Whether it ended before anything was sent, since its kept connection can't be used again.
    bool restart();
    /// Reports the end of the transfer to the handlers.
    void finish(CURLcode code);
    /// Reports an end that curl did not decide.
    void fail(Reason reason, std::string_view detail);

private:
    static std::size_t receiveHeader(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t receiveBody(char* data, std::size_t size, std::size_t count, void* self);
    static int socketOpened(void* self, curl_socket_t socket, curlsocktype purpose);
    static int beforeRequest(void* self, char* remoteAddress, char* localAddress, int remotePort, int localPort);

    void report(absl::Status status, bool refused = false);
    void setMethod();
    void setHeaders();
    /// \return What `callback` returns, or false if it throws.
    template <typename Callback> bool callHandlers(Callback callback);
    /// \return Whether the head is well-formed and within the limit, and the response is the one to the request.
    bool takeHeaderLine(std::string_view line);
    bool beginHead();
    bool endHead();
    bool isOwnResponse();
    /// \return Whether the body is as long as the head says.
    bool isWhole() const;
    /// Counts what a line of a head or trailer costs.
    /// \return Whether it is within the limits.
    bool chargeHeaderLine(std::string_view line);
    bool takeBody(std::string_view piece);
    bool mayBeSentAgain() const;
    bool wroteNothing() const;
    bool wasConnected() const;
    /// \return Whether the peer's host refused the connection.
    bool wasRefused() const;
    absl::Status statusOf(CURLcode code) const;

    HttpExchangeId m_id;
    HttpRequest m_request;
    HttpHandlers m_handlers;
    std::size_t m_maxBody;
    CURL* m_easy;
    curl_slist* m_headers = nullptr;
    HttpResponse m_response;
    TimePoint m_lastArrival;
    std::uint32_t m_sends = 0;
    MemoryShare m_memory;
    KeptConnections& m_connections;
    /// The socket that was opened for the next request.
    curl_socket_t m_openedSocket = CURL_SOCKET_BAD;
    bool m_hasStrayInput = false;
    /// Of all heads of a response, interim ones and trailers included, by what they cost.
    Bytes m_headerCost { 0 };
    bool m_tooLarge = false;
    BodyFraming m_framing;
    std::uint64_t m_bodyBytes = 0;
    /// A status line has arrived, and the empty line after its fields hasn't.
    bool m_isHeadOpen = false;
    /// The head of the final response has arrived up to its empty line.
    bool m_isHeadComplete = false;
    bool m_headPassed = false;
    bool m_isMismatched = false;
    bool m_isMalformed = false;
    bool m_hasHandlerFailed = false;
};

} // namespace fuchsialb::internal
