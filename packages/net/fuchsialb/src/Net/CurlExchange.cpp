#include "CurlExchange.h"

#include "SystemClock.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <utility>

namespace fuchsialb::internal {

namespace {

    // Idle connections older than this are not reused. The server closes its own after 10 s, and a request that
    // crosses such a close on the wire ends with an unknown outcome.
    constexpr long maxIdleSeconds = 5;

    // A peer behind a cut is noticed within about this time, also while nothing is sent: a connection may go silent
    // while new ones work.
    constexpr int silentPeerMilliseconds = 2000;
    constexpr int probeIdleSeconds = 1;
    constexpr int probeIntervalSeconds = 1;
    constexpr int probeCount = 2;

    // Over all heads of a response, interim ones included.
    constexpr std::size_t maxResponseHeaderBytes = 262'144;
    // An exchange that has collected less than this share of the budget is not the one that exhausts it.
    constexpr std::size_t bodyBudgetShare = 16;

    int watchForSilentPeer(void*, curl_socket_t socket, curlsocktype)
    {
        const auto set = [socket](int level, int option, int value) {
            return ::setsockopt(socket, level, option, &value, sizeof(value)) == 0;
        };
        const bool taken = set(SOL_SOCKET, SO_KEEPALIVE, 1) && set(IPPROTO_TCP, TCP_KEEPIDLE, probeIdleSeconds)
            && set(IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds) && set(IPPROTO_TCP, TCP_KEEPCNT, probeCount)
            && set(IPPROTO_TCP, TCP_USER_TIMEOUT, silentPeerMilliseconds);
        return taken ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
    }

    long milliseconds(Duration duration)
    {
        // Rounded up, since 0 means no limit to curl.
        return static_cast<long>((duration.count() + 999) / 1000);
    }

    std::string lowerCase(std::string_view text)
    {
        std::string lower(text);
        std::transform(lower.begin(), lower.end(), lower.begin(),
            [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return lower;
    }

    std::string_view trimmed(std::string_view text)
    {
        const std::size_t first = text.find_first_not_of(" \t\r\n");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
    }

    /// Control characters are dropped, so that a value can't add a header line.
    std::string headerLine(const std::string& name, const std::string& value)
    {
        std::string line = name + (value.empty() ? ";" : ": " + value);
        std::erase_if(line, [](unsigned char c) { return c < ' ' || c == 0x7f; });
        return line;
    }

} // namespace

CurlExchange::CurlExchange(
    HttpExchangeId id, HttpRequest request, HttpHandlers handlers, Bytes maxBody, std::shared_ptr<BodyBudget> bodies)
    : m_id(id)
    , m_request(std::move(request))
    , m_handlers(std::move(handlers))
    , m_maxBody(static_cast<std::size_t>(maxBody.value()))
    , m_easy(curl_easy_init())
    , m_lastArrival(SystemClock().now())
    , m_bodies(std::move(bodies))
{
}

CurlExchange::~CurlExchange()
{
    m_bodies->used -= m_collected;
    curl_easy_cleanup(m_easy);
    curl_slist_free_all(m_headers);
}

bool CurlExchange::prepare()
{
    if (!m_easy)
        return false;
    bool taken = true;
    const auto set
        = [&](CURLoption option, auto value) { taken = curl_easy_setopt(m_easy, option, value) == CURLE_OK && taken; };
    set(CURLOPT_URL, m_request.url.c_str());
    if (!m_request.target.empty())
        set(CURLOPT_REQUEST_TARGET, m_request.target.c_str());
    set(CURLOPT_PRIVATE, this);
    set(CURLOPT_NOSIGNAL, 1L);
    // Settings of the environment must not redirect calls between hosts and endpoints.
    set(CURLOPT_PROXY, "");
    set(CURLOPT_PROTOCOLS_STR, "http");
    set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    set(CURLOPT_MAXAGE_CONN, maxIdleSeconds);
    set(CURLOPT_SOCKOPTFUNCTION, &watchForSilentPeer);
    set(CURLOPT_CONNECTTIMEOUT_MS, milliseconds(m_request.connectTimeout));
    set(CURLOPT_TIMEOUT_MS, milliseconds(m_request.timeout));
    set(CURLOPT_HEADERFUNCTION, &CurlExchange::receiveHeader);
    set(CURLOPT_HEADERDATA, this);
    set(CURLOPT_WRITEFUNCTION, &CurlExchange::receiveBody);
    set(CURLOPT_WRITEDATA, this);
    set(CURLOPT_PREREQFUNCTION, &CurlExchange::beforeRequest);
    set(CURLOPT_PREREQDATA, this);
    if (m_request.freshConnection) {
        set(CURLOPT_FRESH_CONNECT, 1L);
        set(CURLOPT_FORBID_REUSE, 1L);
    }
    setMethod();
    setHeaders();
    return taken;
}

void CurlExchange::setMethod()
{
    const std::string& method = m_request.method;
    if (method == "HEAD") {
        curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (!m_request.body.empty() || method == "POST" || method == "PUT" || method == "PATCH") {
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.body.size()));
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_request.body.data());
    }
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void CurlExchange::setHeaders()
{
    // Waiting for "100 Continue" would add up to a second to a large body.
    m_headers = curl_slist_append(m_headers, "Expect:");
    bool hasType = false;
    bool hasAccept = false;
    for (const auto& [name, value] : m_request.headers) {
        hasType = hasType || lowerCase(name) == "content-type";
        hasAccept = hasAccept || lowerCase(name) == "accept";
        m_headers = curl_slist_append(m_headers, headerLine(name, value).c_str());
    }
    if (!hasAccept)
        m_headers = curl_slist_append(m_headers, "Accept:");
    if (!hasType)
        m_headers = curl_slist_append(m_headers, "Content-Type:");
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
}

bool CurlExchange::isSilent(TimePoint now) const
{
    return limitsSilence() && now - m_lastArrival > m_request.silenceTimeout;
}

std::size_t CurlExchange::receiveHeader(char* data, std::size_t size, std::size_t count, void* self)
{
    return static_cast<CurlExchange*>(self)->takeHeaderLine({ data, size * count }) ? size * count : 0;
}

std::size_t CurlExchange::receiveBody(char* data, std::size_t size, std::size_t count, void* self)
{
    return static_cast<CurlExchange*>(self)->takeBody({ data, size * count }) ? size * count : 0;
}

int CurlExchange::beforeRequest(void* self, char*, char*, int, int)
{
    // curl repeats a request by itself when a reused connection turns out to be closed. The peer may have read and
    // run the first one, so a repetition is allowed only when it can't do harm.
    auto& exchange = *static_cast<CurlExchange*>(self);
    if (exchange.m_sends > 0 && !exchange.mayBeSentAgain())
        return CURL_PREREQFUNC_ABORT;
    ++exchange.m_sends;
    return CURL_PREREQFUNC_OK;
}

bool CurlExchange::mayBeSentAgain() const
{
    if (m_request.sendOnce)
        return wroteNothing();
    return m_request.method == "GET" || m_request.method == "HEAD" || wroteNothing();
}

bool CurlExchange::takeHeaderLine(std::string_view line)
{
    m_lastArrival = SystemClock().now();
    m_headerBytes += line.size();
    if (m_headerBytes > maxResponseHeaderBytes) {
        m_tooLarge = true;
        return false;
    }
    if (line.starts_with("HTTP/")) {
        m_response.headers.clear();
        long status = 0;
        curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
        m_response.status = static_cast<std::uint32_t>(status);
        return true;
    }
    if (trimmed(line).empty())
        return isOwnResponse();
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos)
        m_response.headers.emplace_back(lowerCase(line.substr(0, colon)), trimmed(line.substr(colon + 1)));
    return true;
}

bool CurlExchange::isOwnResponse()
{
    constexpr std::uint32_t firstFinalStatus = 200;
    if (m_response.status < firstFinalStatus || !m_handlers.isOwnResponse || std::exchange(m_ownershipChecked, true))
        return true;
    m_isMismatched = !m_handlers.isOwnResponse(m_response);
    return !m_isMismatched;
}

bool CurlExchange::takeBody(std::string_view piece)
{
    m_lastArrival = SystemClock().now();
    const bool succeeded = m_response.status >= 200 && m_response.status < 300;
    if (m_handlers.onPiece && succeeded) {
        if (m_handlers.onHead && !std::exchange(m_headPassed, true) && !m_handlers.onHead(m_response))
            return false;
        m_handlers.onPiece(piece);
        return true;
    }
    m_tooLarge = !mayCollect(piece.size());
    if (m_tooLarge)
        return false;
    m_response.body.append(piece);
    m_collected += piece.size();
    m_bodies->used += piece.size();
    return true;
}

bool CurlExchange::mayCollect(std::size_t size) const
{
    if (m_response.body.size() + size > m_maxBody)
        return false;
    return m_bodies->used + size <= m_bodies->limit || m_collected < m_bodies->limit / bodyBudgetShare;
}

bool CurlExchange::wroteNothing() const
{
    // Counts over all connections that curl used for the request.
    long written = 0;
    return curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &written) == CURLE_OK && written == 0;
}

bool CurlExchange::wasConnected() const { return m_sends > 0; }

bool CurlExchange::wasRefused() const
{
    long code = 0;
    return curl_easy_getinfo(m_easy, CURLINFO_OS_ERRNO, &code) == CURLE_OK && code == ECONNREFUSED;
}

absl::Status CurlExchange::statusOf(CURLcode code) const
{
    const char* detail = curl_easy_strerror(code);
    switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return error(Reason::ConnectFailed, detail);
    case CURLE_OPERATION_TIMEDOUT:
        if (wasConnected())
            return error(Reason::Timeout, detail);
        return error(Reason::ConnectFailed, "the connection was not established in time");
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return error(Reason::InvalidInput, detail);
    case CURLE_ABORTED_BY_CALLBACK:
        return error(Reason::ConnectionLost, "a reused connection was closed after the request had been written");
    default:
        if (m_isMismatched)
            return error(Reason::EndpointFailed, "the response belongs to another request");
        if (m_tooLarge)
            return error(Reason::BodyTooLarge, "the response exceeds the client's limit");
        return error(Reason::ConnectionLost, detail);
    }
}

void CurlExchange::finish(CURLcode code)
{
    if (code != CURLE_OK)
        report(statusOf(code), code == CURLE_COULDNT_CONNECT && wasRefused());
    else if (m_handlers.onResponse)
        m_handlers.onResponse(std::move(m_response));
}

void CurlExchange::fail(Reason reason, std::string_view detail) { report(error(reason, detail)); }

void CurlExchange::report(absl::Status status, bool refused)
{
    if (m_handlers.onFailure)
        m_handlers.onFailure({ std::move(status), wroteNothing(), refused });
}

} // namespace fuchsialb::internal
