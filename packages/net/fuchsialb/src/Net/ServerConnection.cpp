#include "ServerConnection.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsialb::internal {

namespace {

    constexpr std::uint32_t statusRequestTimeout = 408;
    constexpr std::uint32_t statusUnavailable = 503;
    // Input beyond the current request that is read to notice that the client leaves.
    constexpr std::size_t maxAhead = 16'384;
    // A client that goes on sending what was refused learns of it by a reset after this much.
    constexpr std::size_t maxDrained = 262'144;
    constexpr Duration maxDrainTime = std::chrono::seconds(1);
    // Socket and connection, without buffers.
    constexpr std::size_t baseBytes = 1024;
    // A request that runs is also kept in the form that its runner receives.
    constexpr std::size_t runningCopies = 2;
    constexpr std::size_t maxGathered = 16;
    // Larger bodies are written as they are, smaller ones together with their head.
    constexpr std::size_t maxJoined = 16'384;
    // Beyond it, clients that were refused are closed without waiting until they have received the answer.
    constexpr std::size_t maxDraining = 64;

    /// \return Fields of an answer, except those of the framing, without characters that would end a line.
    void appendFields(std::string& text, const HttpHeaders& headers)
    {
        for (const auto& [name, value] : headers) {
            if (name == "content-length" || name == "transfer-encoding" || name == "connection")
                continue;
            text += name;
            text += ": ";
            std::copy_if(value.begin(), value.end(), std::back_inserter(text),
                [](unsigned char c) { return c >= ' ' && c != 0x7f; });
            text += "\r\n";
        }
    }

    std::string_view causeOf(std::uint32_t status)
    {
        constexpr std::uint32_t statusBodyTooLarge = 413;
        constexpr std::uint32_t statusHeadTooLarge = 431;
        switch (status) {
        case statusBodyTooLarge:
            return "body-too-large";
        case statusHeadTooLarge:
            return "head-too-large";
        default:
            return "not-http";
        }
    }

} // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerState> server, asio::ip::tcp::socket socket)
    : m_server(std::move(server))
    , m_socket(std::move(socket))
{
}

bool ServerConnection::start()
{
    const TimePoint now = m_server->clock.now();
    const auto client = m_server->account->open(now, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->giveBack();
    });
    if (!client)
        return false;
    m_client = *client;
    m_since = now;
    m_idleTimeout = m_server->limits.idleTimeout;
    m_server->connections.emplace(this, shared_from_this());
    account();
    awaitInput();
    return true;
}

void ServerConnection::checkTimeouts(TimePoint now)
{
    const RequestLimits& limits = m_server->limits;
    const Duration waited = now - m_since;
    if (!m_output.empty() && now - m_writingSince > m_server->writeTimeout) {
        report("answer-not-taken", 0);
        close();
    } else if (m_phase == Phase::Draining && waited > maxDrainTime) {
        close();
    } else if (m_phase == Phase::Reading && !m_parser.hasBegun()) {
        if (waited > std::max(m_idleTimeout, limits.idleTimeout))
            close();
    } else if (m_phase == Phase::Reading) {
        const bool isHead = m_parser.state() == RequestParser::State::Head;
        if (waited > (isHead ? limits.headTimeout : limits.readTimeout))
            refuse(statusRequestTimeout, isHead ? "head-too-slow" : "body-too-slow");
    }
}

void ServerConnection::release()
{
    m_reply.reset();
    const std::function<void()> hook = std::exchange(m_closedHook, nullptr);
    close();
}

void ServerConnection::close()
{
    if (m_phase == Phase::Closed)
        return;
    if (m_phase == Phase::Draining)
        --m_server->draining;
    m_phase = Phase::Closed;
    const auto self = shared_from_this();
    m_server->connections.erase(this);
    m_server->account->close(m_client);
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    dropOutput();
    dropInput();
    const Reply reply = std::exchange(m_reply, {});
    const auto hook = std::exchange(m_closedHook, {});
    if (reply)
        reply->isLost = true;
    if (hook)
        hook();
}

bool ServerConnection::wantsInput() const
{
    // What it has read is gone, so that the rest would be read as something else.
    if (m_isEvicted && m_phase != Phase::Draining)
        return false;
    switch (m_phase) {
    case Phase::Reading:
    case Phase::Draining:
        return true;
    case Phase::Answering:
        return m_ahead.size() < maxAhead;
    case Phase::Flushing:
        return !m_isRefused && m_ahead.size() < maxAhead;
    case Phase::Closed:
        return false;
    }
    return false;
}

void ServerConnection::awaitInput()
{
    if (m_awaitsInput || !wantsInput())
        return;
    m_awaitsInput = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code& failure) {
        self->m_awaitsInput = false;
        if (!failure && self->wantsInput())
            self->readInput();
    });
}

void ServerConnection::readInput()
{
    const bool isAhead = m_phase == Phase::Answering || m_phase == Phase::Flushing || !m_ahead.empty();
    const std::size_t most = isAhead
        ? std::min(maxAhead - std::min(maxAhead, m_ahead.size()), m_server->received.size())
        : m_server->received.size();
    asio::error_code failure;
    const std::size_t count = most > 0 ? m_socket.read_some(asio::buffer(m_server->received.data(), most), failure) : 0;
    if (failure && failure != asio::error::would_block && failure != asio::error::interrupted) {
        close();
        return;
    }
    const std::string_view bytes(m_server->received.data(), count);
    if (m_phase == Phase::Draining) {
        m_drained += count;
        if (m_drained > maxDrained) {
            close();
            return;
        }
    } else if (isAhead) {
        m_ahead += bytes;
    } else {
        consume(bytes);
    }
    account(count);
    awaitInput();
}

void ServerConnection::consume(std::string_view bytes)
{
    while (m_phase == Phase::Reading && !bytes.empty()) {
        const bool hadBegun = m_parser.hasBegun();
        bytes.remove_prefix(std::min(bytes.size(), m_parser.feed(bytes, m_server->limits)));
        if (!hadBegun && m_parser.hasBegun())
            m_since = m_server->clock.now();
        if (m_parser.state() == RequestParser::State::Failed)
            refuse(m_parser.failure(), causeOf(m_parser.failure()));
        else if (m_parser.state() == RequestParser::State::Complete)
            dispatch();
    }
    if (m_phase == Phase::Reading && m_parser.state() == RequestParser::State::Body)
        judgeHead();
    else if ((m_phase == Phase::Answering || m_phase == Phase::Flushing) && !m_isRefused)
        m_ahead += bytes;
}

void ServerConnection::dispatch()
{
    // Others give way first; what still exceeds the budget then isn't passed on.
    account();
    if (!m_server->account->contains(m_client)) {
        refuse(statusUnavailable, "evicted");
        return;
    }
    m_phase = Phase::Answering;
    m_isStreaming = false;
    m_closesAfterAnswer = !m_parser.keepsAlive();
    m_runningBytes = m_parser.footprint() * runningCopies;
    m_reply = std::make_shared<ReplyState>();
    m_reply->connection = weak_from_this();
    ServerRequest request = std::move(m_parser.request());
    m_parser.reset();
    m_server->handler(std::move(request), m_reply);
}

void ServerConnection::judgeHead()
{
    if (std::exchange(m_headIsJudged, true) || !m_server->judge)
        return;
    if (auto refusal = m_server->judge(m_parser.request()))
        refuse(*std::move(refusal));
}

void ServerConnection::refuse(std::uint32_t status, std::string_view cause)
{
    report(cause, status);
    HttpResponse response { status, { { "content-type", "text/plain" } }, fmt::format("request refused: {}\n", cause) };
    if (status == statusUnavailable)
        response.headers.emplace_back("retry-after", "1");
    refuse(std::move(response));
}

void ServerConnection::refuse(HttpResponse response)
{
    m_phase = Phase::Flushing;
    m_isRefused = true;
    m_closesAfterAnswer = true;
    dropInput();
    const std::string framing = fmt::format("Content-Length: {}\r\n", response.body.size());
    sendHead(response.status, response.headers, framing, std::move(response.body), {});
}

void ServerConnection::dropInput()
{
    m_parser.reset();
    // An assignment would keep the memory.
    std::string().swap(m_ahead);
}

void ServerConnection::dropOutput()
{
    for (const Output& output : m_output)
        countUnsent(output, -static_cast<std::ptrdiff_t>(output.bytes.size()));
    m_output.clear();
    m_written = 0;
    m_outputBytes = 0;
}

void ServerConnection::giveBack()
{
    m_isEvicted = true;
    m_isEvictedReading = m_phase == Phase::Reading && m_parser.hasBegun();
    dropInput();
    if (!m_isRefused) {
        m_closesAfterAnswer = true;
        dropOutput();
    }
    asio::post(m_server->context, [self = shared_from_this()] { self->evict(); });
}

void ServerConnection::evict()
{
    if (m_phase == Phase::Closed || m_isRefused)
        return;
    if (m_phase == Phase::Reading && m_isEvictedReading) {
        refuse(statusUnavailable, "evicted");
        return;
    }
    report("evicted", 0);
    close();
}

void ServerConnection::send(const Reply& reply, HttpResponse response)
{
    if (reply != m_reply || m_isStreaming)
        return;
    const std::string framing = fmt::format("Content-Length: {}\r\n", response.body.size());
    endAnswer();
    sendHead(response.status, response.headers, framing, std::move(response.body), reply);
}

void ServerConnection::closeAfter(const Reply& reply)
{
    if (reply == m_reply)
        m_closesAfterAnswer = true;
}

void ServerConnection::begin(const Reply& reply, std::uint32_t status, const HttpHeaders& headers)
{
    if (reply != m_reply || m_isStreaming)
        return;
    m_isStreaming = true;
    sendHead(status, headers, "Transfer-Encoding: chunked\r\n", {}, reply);
}

void ServerConnection::write(const Reply& reply, const std::string& piece)
{
    // An empty chunk would end the body.
    if (reply != m_reply || !m_isStreaming || piece.empty())
        return;
    addOutput(fmt::format("{:x}\r\n{}\r\n", piece.size(), piece), reply);
    writeOutput();
}

void ServerConnection::finish(const Reply& reply)
{
    if (reply != m_reply || !m_isStreaming)
        return;
    endAnswer();
    addOutput("0\r\n\r\n", reply);
    writeOutput();
}

void ServerConnection::abort(const Reply& reply)
{
    if (reply != m_reply)
        return;
    // Without the last chunk the answer looks broken.
    m_closesAfterAnswer = true;
    endAnswer();
    if (m_output.empty())
        closeSoon();
}

void ServerConnection::setClosedHook(const Reply& reply, std::function<void()> hook)
{
    if (reply == m_reply)
        m_closedHook = std::move(hook);
}

void ServerConnection::endAnswer()
{
    m_phase = Phase::Flushing;
    m_runningBytes = 0;
    m_reply.reset();
    // The hook may hold the last reference to its reply, which ends the answer once more.
    const std::function<void()> hook = std::exchange(m_closedHook, nullptr);
}

void ServerConnection::sendHead(
    std::uint32_t status, const HttpHeaders& headers, std::string_view framing, std::string body, const Reply& reply)
{
    std::string head = fmt::format("HTTP/1.1 {} {}\r\nConnection: {}\r\n{}", status,
        http_status_str(static_cast<http_status>(status)), m_closesAfterAnswer ? "close" : "keep-alive", framing);
    appendFields(head, headers);
    head += "\r\n";
    const bool isJoined = body.size() <= maxJoined;
    if (isJoined)
        head += body;
    addOutput(std::move(head), reply);
    if (!isJoined)
        addOutput(std::move(body), reply);
    writeOutput();
}

void ServerConnection::addOutput(std::string bytes, const Reply& reply)
{
    // After a gap the answer could look whole.
    if (m_isEvicted && !m_isRefused)
        return;
    if (m_output.empty())
        m_writingSince = m_server->clock.now();
    m_output.push_back({ std::move(bytes), reply });
    m_outputBytes += m_output.back().bytes.capacity();
    countUnsent(m_output.back(), static_cast<std::ptrdiff_t>(m_output.back().bytes.size()));
}

void ServerConnection::countUnsent(const Output& output, std::ptrdiff_t change)
{
    const auto amount = static_cast<std::size_t>(change);
    m_server->unsent += amount;
    if (output.reply)
        output.reply->unsent += amount;
}

void ServerConnection::writeOutput()
{
    if (m_awaitsOutput || m_phase == Phase::Closed)
        return;
    std::size_t taken = 0;
    asio::error_code failure;
    while (!m_output.empty() && !failure) {
        const std::size_t count = m_output.size() == 1
            ? m_socket.write_some(asio::buffer(m_output.front().bytes) + m_written, failure)
            : m_socket.write_some(nextBuffers(), failure);
        taken += count;
        removeOutput(count);
    }
    if (failure && failure != asio::error::would_block && failure != asio::error::interrupted) {
        closeSoon();
        return;
    }
    account(taken);
    if (m_isEvicted && !m_isRefused)
        return;
    if (m_output.empty())
        outputTaken();
    else
        awaitOutput();
}

std::vector<asio::const_buffer> ServerConnection::nextBuffers() const
{
    std::vector<asio::const_buffer> buffers;
    for (std::size_t i = 0; i < std::min(m_output.size(), maxGathered); ++i)
        buffers.push_back(asio::buffer(m_output[i].bytes));
    buffers.front() += m_written;
    return buffers;
}

void ServerConnection::removeOutput(std::size_t count)
{
    m_written += count;
    while (!m_output.empty() && m_written >= m_output.front().bytes.size()) {
        m_written -= m_output.front().bytes.size();
        countUnsent(m_output.front(), -static_cast<std::ptrdiff_t>(m_output.front().bytes.size()));
        m_outputBytes -= m_output.front().bytes.capacity();
        m_output.pop_front();
        m_writingSince = m_server->clock.now();
    }
}

void ServerConnection::awaitOutput()
{
    m_awaitsOutput = true;
    m_socket.async_wait(
        asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const asio::error_code& failure) {
            self->m_awaitsOutput = false;
            if (!failure)
                self->writeOutput();
        });
}

void ServerConnection::outputTaken()
{
    if (m_phase != Phase::Flushing)
        return;
    if (m_isRefused)
        drain();
    else if (m_closesAfterAnswer)
        closeSoon();
    else
        nextRequest();
}

void ServerConnection::nextRequest()
{
    m_phase = Phase::Reading;
    m_headIsJudged = false;
    m_since = m_server->clock.now();
    m_idleTimeout = m_server->limits.idleTimeout;
    account();
    if (!m_ahead.empty())
        asio::post(m_server->context, [self = shared_from_this()] { self->consumeAhead(); });
    awaitInput();
}

void ServerConnection::consumeAhead()
{
    if (m_phase != Phase::Reading)
        return;
    const std::string bytes = std::exchange(m_ahead, {});
    consume(bytes);
    account();
    awaitInput();
}

void ServerConnection::drain()
{
    if (m_server->draining >= maxDraining) {
        closeSoon();
        return;
    }
    ++m_server->draining;
    m_phase = Phase::Draining;
    m_since = m_server->clock.now();
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    account();
    awaitInput();
}

void ServerConnection::closeSoon()
{
    asio::post(m_server->context, [self = shared_from_this()] { self->close(); });
}

void ServerConnection::report(std::string_view cause, std::uint32_t status) const
{
    if (m_server->onRefused)
        m_server->onRefused(cause, status);
}

void ServerConnection::account(std::size_t moved)
{
    ClientAccount::Usage usage;
    if (m_phase == Phase::Reading)
        usage.stage = m_parser.hasBegun() ? ClientAccount::Stage::Reading : ClientAccount::Stage::Idle;
    else if (m_output.empty() && m_phase == Phase::Answering)
        usage.stage = ClientAccount::Stage::Running;
    else
        usage.stage = ClientAccount::Stage::Answering;
    const std::size_t requestBytes = m_parser.hasBegun() ? m_parser.footprint() : 0;
    usage.held
        = Bytes(static_cast<std::int64_t>(baseBytes + requestBytes + m_runningBytes + m_ahead.size() + m_outputBytes));
    usage.moved = Bytes(static_cast<std::int64_t>(moved));
    m_server->account->update(m_client, usage, m_server->clock.now());
}

} // namespace fuchsialb::internal
