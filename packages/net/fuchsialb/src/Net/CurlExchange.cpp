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

    // Over all heads of a response, interim ones and trailers included.
    constexpr Bytes maxHeaderCost { 524'288 };
    // Memory of a line of a head beside its text. Both this client and curl keep each line.
    constexpr std::int64_t headerLineCost = 256;
    constexpr std::int64_t headerLineCopies = 2;

    bool watchForSilentPeer(curl_socket_t socket)
    {
        const auto set = [socket](int level, int option, int value) {
            return ::setsockopt(socket, level, option, &value, sizeof(value)) == 0;
        };
        return set(SOL_SOCKET, SO_KEEPALIVE, 1) && set(IPPROTO_TCP, TCP_KEEPIDLE, probeIdleSeconds)
            && set(IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds) && set(IPPROTO_TCP, TCP_KEEPCNT, probeCount)
            && set(IPPROTO_TCP, TCP_USER_TIMEOUT, silentPeerMilliseconds);
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

    /// \return Whether a name consists of the characters of a token (RFC 9110, section 5.6.2).
    bool isFieldName(std::string_view name)
    {
        constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
        return !name.empty() && std::all_of(name.begin(), name.end(), [&](unsigned char c) {
            return std::isalnum(c) || marks.find(static_cast<char>(c)) != std::string_view::npos;
        });
    }

    /// \return Whether a line goes over into the first line of a response: it is the end of an earlier one that broke
    ///     off.
    bool containsStatusLine(std::string_view line)
    {
        constexpr std::string_view version = "HTTP/1.";
        constexpr std::size_t statusOffset = version.size() + 2;
        for (std::size_t at = line.find(version); at != std::string_view::npos; at = line.find(version, at + 1)) {
            const std::string_view status = line.substr(std::min(line.size(), at + statusOffset), 3);
            if (status.size() == 3
                && std::all_of(status.begin(), status.end(), [](unsigned char c) { return std::isdigit(c); }))
                return true;
        }
        return false;
    }

    /// Control characters are dropped, so that a value can't add a header line.
    std::string headerLine(const std::string& name, const std::string& value)
    {
        std::string line = name + (value.empty() ? ";" : ": " + value);
        std::erase_if(line, [](unsigned char c) { return c < ' ' || c == 0x7f; });
        return line;
    }

} // namespace

CurlExchange::CurlExchange(HttpExchangeId id, HttpRequest request, HttpHandlers handlers, Bytes maxBody,
    std::shared_ptr<MemoryBudget> memory, KeptConnections& connections)
    : m_id(id)
    , m_request(std::move(request))
    , m_handlers(std::move(handlers))
    , m_maxBody(static_cast<std::size_t>(maxBody.value()))
    , m_easy(curl_easy_init())
    , m_lastArrival(SystemClock().now())
    , m_memory(std::move(memory))
    , m_connections(connections)
{
}

CurlExchange::~CurlExchange()
{
    curl_easy_cleanup(m_easy);
    curl_slist_free_all(m_headers);
}

bool CurlExchange::prepare()
{
    if (!m_easy)
        return false;
    if (m_request.maxBody > Bytes(0))
        m_maxBody = std::min(m_maxBody, static_cast<std::size_t>(m_request.maxBody.value()));
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
    set(CURLOPT_SOCKOPTFUNCTION, &CurlExchange::socketOpened);
    set(CURLOPT_SOCKOPTDATA, this);
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
    auto& exchange = *static_cast<CurlExchange*>(self);
    const std::string_view line(data, size * count);
    return exchange.callHandlers([&] { return exchange.takeHeaderLine(line); }) ? size * count : 0;
}

std::size_t CurlExchange::receiveBody(char* data, std::size_t size, std::size_t count, void* self)
{
    auto& exchange = *static_cast<CurlExchange*>(self);
    const std::string_view piece(data, size * count);
    return exchange.callHandlers([&] { return exchange.takeBody(piece); }) ? size * count : 0;
}

template <typename Callback> bool CurlExchange::callHandlers(Callback callback)
{
    // An exception must not pass through curl, which would keep the state of an unfinished call.
    try {
        return callback();
    } catch (const std::exception&) {
        m_hasHandlerFailed = true;
        return false;
    }
}

int CurlExchange::socketOpened(void* self, curl_socket_t socket, curlsocktype)
{
    static_cast<CurlExchange*>(self)->m_openedSocket = socket;
    return watchForSilentPeer(socket) ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

int CurlExchange::beforeRequest(void* self, char* remoteAddress, char* localAddress, int remotePort, int localPort)
{
    // curl repeats a request by itself when a reused connection turns out to be closed. The peer may have read and
    // run the first one, so a repetition is allowed only when it can't do harm.
    auto& exchange = *static_cast<CurlExchange*>(self);
    KeptConnections::Ends ends { remoteAddress, localAddress, remotePort, localPort };
    const curl_socket_t opened = std::exchange(exchange.m_openedSocket, CURL_SOCKET_BAD);
    if (opened == CURL_SOCKET_BAD && exchange.m_connections.hasInput(ends)) {
        // A transfer that is started anew doesn't know what an earlier connection was sent.
        exchange.m_hasStrayInput = exchange.m_sends == 0;
        return CURL_PREREQFUNC_ABORT;
    }
    if (opened != CURL_SOCKET_BAD)
        exchange.m_connections.add(std::move(ends), opened);
    if (exchange.m_sends > 0 && !exchange.mayBeSentAgain())
        return CURL_PREREQFUNC_ABORT;
    ++exchange.m_sends;
    exchange.m_isHeadOpen = false;
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
    m_tooLarge = !chargeHeaderLine(line);
    if (m_tooLarge)
        return false;
    if (line.starts_with("HTTP/"))
        return beginHead();
    // Fields after the body have no part in how a response is taken.
    if (m_isHeadComplete)
        return true;
    if (line == "\r\n" || line == "\n")
        return endHead();
    // The last line of a connection that was closed inside the head; the head stays incomplete.
    if (!line.ends_with('\n'))
        return true;
    const std::size_t colon = line.find(':');
    const std::string name = lowerCase(line.substr(0, std::min(colon, line.size())));
    m_isMalformed = colon == std::string_view::npos || !isFieldName(name) || containsStatusLine(line)
        || !m_framing.addField(name, trimmed(line.substr(colon + 1)));
    if (!m_isMalformed)
        m_response.headers.emplace_back(name, trimmed(line.substr(colon + 1)));
    return !m_isMalformed;
}

bool CurlExchange::chargeHeaderLine(std::string_view line)
{
    const Bytes cost(headerLineCost + headerLineCopies * static_cast<std::int64_t>(line.size()));
    m_headerCost += cost;
    return m_headerCost <= maxHeaderCost && m_memory.tryTake(cost);
}

bool CurlExchange::beginHead()
{
    // curl takes a status line inside a head, or after the body, for one more head.
    m_isMalformed = m_isHeadOpen || m_isHeadComplete;
    if (m_isMalformed)
        return false;
    m_isHeadOpen = true;
    m_framing = {};
    m_response.headers.clear();
    long status = 0;
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
    m_response.status = static_cast<std::uint32_t>(status);
    return true;
}

bool CurlExchange::endHead()
{
    constexpr std::uint32_t firstFinalStatus = 200;
    m_isHeadOpen = false;
    m_isHeadComplete = m_response.status >= firstFinalStatus;
    return !m_isHeadComplete || isOwnResponse();
}

bool CurlExchange::isOwnResponse()
{
    m_isMismatched = m_handlers.isOwnResponse && !m_handlers.isOwnResponse(m_response);
    return !m_isMismatched;
}

bool CurlExchange::takeBody(std::string_view piece)
{
    m_lastArrival = SystemClock().now();
    m_bodyBytes += piece.size();
    const bool succeeded = m_response.status >= 200 && m_response.status < 300;
    if (m_handlers.onPiece && succeeded) {
        if (m_handlers.onHead && !std::exchange(m_headPassed, true) && !m_handlers.onHead(m_response))
            return false;
        m_handlers.onPiece(piece);
        return true;
    }
    m_tooLarge = m_response.body.size() + piece.size() > m_maxBody
        || !m_memory.tryTake(Bytes(static_cast<std::int64_t>(piece.size())));
    if (m_tooLarge)
        return false;
    m_response.body.append(piece);
    return true;
}

bool CurlExchange::isWhole() const
{
    constexpr std::uint32_t noContent = 204;
    constexpr std::uint32_t notModified = 304;
    const bool hasNoBody
        = m_request.method == "HEAD" || m_response.status == noContent || m_response.status == notModified;
    return hasNoBody || m_bodyBytes == m_framing.contentLength().value_or(m_bodyBytes);
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
        if (m_hasHandlerFailed)
            return error(Reason::Internal, "the handler of the response failed");
        if (m_isMismatched)
            return error(Reason::EndpointFailed, "the response belongs to another request");
        if (m_isMalformed)
            return error(Reason::EndpointFailed, "the head of the response is malformed");
        if (m_tooLarge)
            return error(Reason::BodyTooLarge, "the response exceeds the client's limit");
        return error(Reason::ConnectionLost, detail);
    }
}

bool CurlExchange::restart()
{
    if (!std::exchange(m_hasStrayInput, false))
        return false;
    return curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L) == CURLE_OK;
}

void CurlExchange::finish(CURLcode code)
{
    // To curl, the end of the connection also ends a head, and with it a response without a body.
    if (code != CURLE_OK)
        report(statusOf(code), code == CURLE_COULDNT_CONNECT && wasRefused());
    else if (!m_isHeadComplete)
        report(error(Reason::ConnectionLost, "the connection was closed inside the head of the response"));
    else if (!isWhole())
        report(error(Reason::ConnectionLost, "the body of the response is not as long as its head says"));
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
