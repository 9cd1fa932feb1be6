#include "AsioCurlClient.h"

#include <absl/cleanup/cleanup.h>
#include <asio/post.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace fuchsialb::internal {

namespace {

    // Idle connections kept for reuse, over all peers.
    constexpr long maxIdleConnections = 256;

} // namespace

AsioCurlClient::AsioCurlClient(Options options, asio::io_context& context)
    : m_options(std::move(options))
    , m_context(context)
    , m_timer(context)
    , m_multi(curl_multi_init())
    , m_memory(m_options.memory ? m_options.memory : std::make_shared<MemoryBudget>(defaultResponseMemory))
{
}

AsioCurlClient::~AsioCurlClient()
{
    *m_alive = false;
    for (auto& [id, exchange] : m_exchanges)
        curl_multi_remove_handle(m_multi, exchange->handle());
    m_exchanges.clear();
    curl_multi_cleanup(m_multi);
}

bool AsioCurlClient::prepare()
{
    if (!m_multi)
        return false;
    bool taken = true;
    const auto set = [&](CURLMoption option, auto value) {
        taken = curl_multi_setopt(m_multi, option, value) == CURLM_OK && taken;
    };
    set(CURLMOPT_MAXCONNECTS, maxIdleConnections);
    set(CURLMOPT_SOCKETFUNCTION, &AsioCurlClient::socketChanged);
    set(CURLMOPT_SOCKETDATA, this);
    set(CURLMOPT_TIMERFUNCTION, &AsioCurlClient::timerChanged);
    set(CURLMOPT_TIMERDATA, this);
    return taken;
}

absl::StatusOr<HttpExchangeId> AsioCurlClient::start(HttpRequest request, HttpHandlers handlers)
{
    if (m_exchanges.size() >= m_options.capacity)
        return error(Reason::QueueFull, "the HTTP client has no room for another exchange");
    const HttpExchangeId id(++m_lastId);
    auto exchange = std::make_unique<CurlExchange>(
        id, std::move(request), std::move(handlers), m_options.maxBody, m_memory, m_connections);
    bool added = exchange->prepare();
    if (added) {
        curl_easy_setopt(exchange->handle(), CURLOPT_OPENSOCKETFUNCTION, &AsioCurlClient::openSocket);
        curl_easy_setopt(exchange->handle(), CURLOPT_OPENSOCKETDATA, this);
        curl_easy_setopt(exchange->handle(), CURLOPT_CLOSESOCKETFUNCTION, &AsioCurlClient::closeSocket);
        curl_easy_setopt(exchange->handle(), CURLOPT_CLOSESOCKETDATA, this);
        added = curl_multi_add_handle(m_multi, exchange->handle()) == CURLM_OK;
    }
    if (added)
        m_exchanges.emplace(id, std::move(exchange));
    else
        failLater(std::move(exchange), Reason::InvalidInput, "the request can't be expressed in HTTP");
    return id;
}

void AsioCurlClient::cancel(HttpExchangeId exchange)
{
    if (m_inCurl) {
        asio::post(m_context, [this, alive = m_alive, exchange] {
            if (*alive)
                cancel(exchange);
        });
        return;
    }
    auto node = m_exchanges.extract(exchange);
    if (node.empty())
        return;
    curl_multi_remove_handle(m_multi, node.mapped()->handle());
    failLater(std::move(node.mapped()), Reason::Cancelled, "the exchange was cancelled");
}

void AsioCurlClient::setPaused(HttpExchangeId exchange, bool isPaused)
{
    if (m_inCurl) {
        asio::post(m_context, [this, alive = m_alive, exchange, isPaused] {
            if (*alive)
                setPaused(exchange, isPaused);
        });
        return;
    }
    const auto found = m_exchanges.find(exchange);
    if (found == m_exchanges.end())
        return;
    // curl may call back with what it has received meanwhile.
    m_inCurl = true;
    curl_easy_pause(found->second->handle(), isPaused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
    m_inCurl = false;
    collectFinished();
}

void AsioCurlClient::failLater(std::unique_ptr<CurlExchange> exchange, Reason reason, const char* detail)
{
    asio::post(m_context, [exchange = std::shared_ptr<CurlExchange>(std::move(exchange)), reason, detail] {
        exchange->fail(reason, detail);
    });
}

int AsioCurlClient::socketChanged(CURL*, curl_socket_t handle, int what, void* self, void*)
{
    auto& client = *static_cast<AsioCurlClient*>(self);
    const auto found = client.m_sockets.find(handle);
    if (what == CURL_POLL_REMOVE) {
        if (found != client.m_sockets.end())
            found->second->wanted = 0;
        return 0;
    }
    std::shared_ptr<Socket> socket;
    if (found != client.m_sockets.end()) {
        socket = found->second;
    } else {
        socket = std::make_shared<Socket>(client.m_context, handle);
        client.m_sockets.emplace(handle, socket);
    }
    socket->wanted = what;
    client.wait(socket, handle);
    return 0;
}

curl_socket_t AsioCurlClient::openSocket(void* self, curlsocktype, curl_sockaddr* address)
{
    const int handle = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (handle >= 0)
        static_cast<AsioCurlClient*>(self)->replaceStale(handle);
    return handle >= 0 ? handle : CURL_SOCKET_BAD;
}

void AsioCurlClient::replaceStale(curl_socket_t handle)
{
    auto stale = m_sockets.extract(handle);
    if (stale.empty())
        return;
    const int wanted = std::exchange(stale.mapped()->wanted, 0);
    stale.mapped()->descriptor.release();
    // curl tells of changes only, and the new socket may want just what the old one did.
    const auto socket = std::make_shared<Socket>(m_context, handle);
    socket->wanted = wanted;
    m_sockets.emplace(handle, socket);
    asio::post(m_context, [this, alive = m_alive, socket, handle] {
        if (*alive)
            wait(socket, handle);
    });
}

int AsioCurlClient::closeSocket(void* self, curl_socket_t handle)
{
    auto& client = *static_cast<AsioCurlClient*>(self);
    if (auto node = client.m_sockets.extract(handle); !node.empty()) {
        node.mapped()->wanted = 0;
        node.mapped()->descriptor.release();
    }
    client.m_connections.remove(handle);
    return ::close(handle);
}

void AsioCurlClient::wait(const std::shared_ptr<Socket>& socket, curl_socket_t handle)
{
    waitFor(socket, handle, CURL_POLL_IN);
    waitFor(socket, handle, CURL_POLL_OUT);
}

void AsioCurlClient::waitFor(const std::shared_ptr<Socket>& socket, curl_socket_t handle, int direction)
{
    if (!(socket->wanted & direction) || (socket->waiting & direction))
        return;
    socket->waiting |= direction;
    const auto type = direction == CURL_POLL_IN ? asio::posix::stream_descriptor::wait_read
                                                : asio::posix::stream_descriptor::wait_write;
    socket->descriptor.async_wait(
        type, [this, alive = m_alive, socket, handle, direction](const asio::error_code& failure) {
            socket->waiting &= ~direction;
            if (!*alive || failure == asio::error::operation_aborted || !(socket->wanted & direction))
                return;
            // Also after a handler that throws, since the other exchanges go on.
            const absl::Cleanup next = [this, alive, socket, handle] {
                if (*alive)
                    wait(socket, handle);
            };
            act(handle, failure ? CURL_CSELECT_ERR : direction == CURL_POLL_IN ? CURL_CSELECT_IN : CURL_CSELECT_OUT);
        });
}

int AsioCurlClient::timerChanged(CURLM*, long milliseconds, void* self)
{
    auto& client = *static_cast<AsioCurlClient*>(self);
    client.m_timer.cancel();
    if (milliseconds < 0)
        return 0;
    client.m_timer.expires_after(std::chrono::milliseconds(milliseconds));
    client.m_timer.async_wait([&client, alive = client.m_alive](const asio::error_code& failure) {
        if (*alive && !failure)
            client.act(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
}

void AsioCurlClient::act(curl_socket_t handle, int events)
{
    int running = 0;
    m_inCurl = true;
    curl_multi_socket_action(m_multi, handle, events, &running);
    m_inCurl = false;
    collectFinished();
}

void AsioCurlClient::collectFinished()
{
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        const CURLcode code = message->data.result;
        char* pointer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &pointer);
        auto node = m_exchanges.extract(reinterpret_cast<CurlExchange*>(pointer)->id());
        curl_multi_remove_handle(m_multi, node.mapped()->handle());
        if (node.mapped()->restart() && curl_multi_add_handle(m_multi, node.mapped()->handle()) == CURLM_OK)
            m_exchanges.insert(std::move(node));
        else
            node.mapped()->finish(code);
    }
}

} // namespace fuchsialb::internal
