#include "HttpServer.h"

#include "ScopedSignalMask.h"
#include "ServerConnection.h"

#include <asio/dispatch.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <thread>
#include <utility>
#include <vector>

namespace fuchsialb {

namespace {

    using internal::ReplyState;
    using internal::ServerConnection;
    using internal::ServerState;

    // No descriptor may be free at times.
    constexpr std::chrono::milliseconds acceptRetryDelay { 100 };

    /// \brief Handle of an answer for any thread: posts each call to the server's thread.
    class PostedReply final : public HttpReply {
    public:
        PostedReply(std::weak_ptr<asio::io_context> context, std::shared_ptr<ReplyState> state)
            : m_context(std::move(context))
            , m_state(std::move(state))
        {
        }

        PostedReply(const PostedReply&) = delete;
        PostedReply& operator=(const PostedReply&) = delete;

        /// A request that is dropped without an answer must not hold its connection.
        ~PostedReply() override { abort(); }

        void send(HttpResponse response) override
        {
            post([response = std::move(response)](
                     auto& connection, const auto& reply) mutable { connection.send(reply, std::move(response)); });
        }

        void closeConnection() override
        {
            post([](auto& connection, const auto& reply) { connection.closeAfter(reply); });
        }

        void begin(std::uint32_t status, HttpHeaders headers) override
        {
            post([status, headers = std::move(headers)](
                     auto& connection, const auto& reply) { connection.begin(reply, status, headers); });
        }

        void write(std::string piece) override
        {
            post([piece = std::move(piece)](auto& connection, const auto& reply) { connection.write(reply, piece); });
        }

        void finish() override
        {
            post([](auto& connection, const auto& reply) { connection.finish(reply); });
        }

        void abort() override
        {
            post([](auto& connection, const auto& reply) { connection.abort(reply); });
        }

        std::size_t unsentBytes() const override { return m_state->unsent; }

        void onClosed(std::function<void()> hook) override
        {
            const auto context = m_context.lock();
            if (!context)
                return;
            asio::dispatch(*context, [state = m_state, hook = std::move(hook)]() mutable {
                if (state->isLost)
                    hook();
                else if (const auto connection = state->connection.lock())
                    connection->setClosedHook(state, std::move(hook));
            });
        }

    private:
        template <typename Action> void post(Action action)
        {
            const auto context = m_context.lock();
            if (!context)
                return;
            asio::dispatch(*context, [state = m_state, action = std::move(action)]() mutable {
                if (const auto connection = state->connection.lock())
                    action(*connection, state);
            });
        }

        std::weak_ptr<asio::io_context> m_context;
        std::shared_ptr<ReplyState> m_state;
    };

    class AsioServer final : public HttpServer {
    public:
        AsioServer(Options options, Handler handler)
            : m_address(std::move(options.address))
            , m_port(options.port)
            , m_ownsLoop(!options.context)
            , m_context(m_ownsLoop ? std::make_shared<asio::io_context>() : options.context)
            , m_acceptor(*m_context)
            , m_acceptTimer(*m_context)
            , m_checkTimer(*m_context)
            , m_state(std::make_shared<ServerState>(*m_context))
        {
            m_state->limits = { options.maxHeaders, options.maxBody, options.readTimeout, options.readTimeout,
                options.readTimeout };
            m_state->writeTimeout = options.writeTimeout;
            m_state->judge = std::move(options.judge);
            m_state->onRefused = std::move(options.onRefused);
            m_state->account = std::move(options.account);
            if (!m_state->account) {
                ClientBudgets budgets;
                budgets.connections = options.maxConnections;
                m_state->account = std::make_shared<ClientAccount>(budgets);
            }
            m_state->handler = [context = std::weak_ptr(m_context), handler = std::move(handler)](
                                   ServerRequest request, const std::shared_ptr<ReplyState>& reply) {
                handler(std::move(request), std::make_shared<PostedReply>(context, reply));
            };
        }

        AsioServer(const AsioServer&) = delete;
        AsioServer& operator=(const AsioServer&) = delete;

        ~AsioServer() override
        {
            if (m_ownsLoop)
                m_context->stop();
            if (m_thread.joinable())
                m_thread.join();
            // Replies may outlive the server; connections must not.
            while (!m_state->connections.empty()) {
                const auto connection = m_state->connections.begin()->second;
                connection->release();
            }
        }

        absl::Status run()
        {
            try {
                const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_address), m_port);
                m_acceptor.open(endpoint.protocol());
                m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
                m_acceptor.bind(endpoint);
                m_acceptor.listen();
                m_port = m_acceptor.local_endpoint().port();
            } catch (const std::exception& failure) {
                return error(
                    Reason::InvalidFlag, fmt::format("can't listen on {}:{}: {}", m_address, m_port, failure.what()));
            }
            accept();
            checkTimeouts();
            if (!m_ownsLoop)
                return absl::OkStatus();
            const auto signals = ScopedSignalMask::blockAll();
            m_thread = std::thread([this] {
                const auto work = asio::make_work_guard(*m_context);
                m_context->run();
            });
            return absl::OkStatus();
        }

        std::uint16_t port() const override { return m_port; }
        std::size_t unsentBytes() const override { return m_state->unsent; }

        void setLimits(const RequestLimits& limits) override
        {
            asio::dispatch(*m_context, [state = m_state, limits] { state->limits = limits; });
        }

        void stopListening() override
        {
            asio::error_code ignored;
            if (!m_ownsLoop || std::this_thread::get_id() == m_thread.get_id()) {
                m_acceptor.close(ignored);
                return;
            }
            std::promise<void> closed;
            asio::post(*m_context, [&] {
                m_acceptor.close(ignored);
                closed.set_value();
            });
            closed.get_future().wait();
        }

    private:
        void accept()
        {
            m_acceptor.async_accept(
                [this, alive = std::weak_ptr(m_alive)](const asio::error_code& failure, asio::ip::tcp::socket socket) {
                    if (alive.expired() || !m_acceptor.is_open())
                        return;
                    if (!failure) {
                        open(std::move(socket));
                        accept();
                    } else if (failure != asio::error::operation_aborted) {
                        acceptLater();
                    }
                });
        }

        void acceptLater()
        {
            m_acceptTimer.expires_after(acceptRetryDelay);
            m_acceptTimer.async_wait([this, alive = std::weak_ptr(m_alive)](const asio::error_code& failure) {
                if (!failure && !alive.expired())
                    accept();
            });
        }

        void open(asio::ip::tcp::socket socket)
        {
            asio::error_code failure;
            socket.set_option(asio::ip::tcp::no_delay(true), failure);
            socket.non_blocking(true, failure);
            if (failure)
                return;
            if (!std::make_shared<ServerConnection>(m_state, std::move(socket))->start() && m_state->onRefused)
                m_state->onRefused("no-connection-free", 0);
        }

        Duration checkPeriod() const
        {
            const RequestLimits& limits = m_state->limits;
            const Duration shortest
                = std::min({ limits.headTimeout, limits.readTimeout, limits.idleTimeout, m_state->writeTimeout });
            return std::clamp<Duration>(shortest / 4, std::chrono::milliseconds(10), std::chrono::seconds(1));
        }

        void checkTimeouts()
        {
            const TimePoint now = m_state->clock.now();
            const Duration period = checkPeriod();
            // After a pause of the process, what clients have sent meanwhile is read first.
            const bool wasHeldUp = now - m_checkedAt > 2 * period;
            m_checkedAt = now;
            if (!wasHeldUp)
                endOverdueConnections(now);
            m_checkTimer.expires_after(period);
            m_checkTimer.async_wait([this, alive = std::weak_ptr(m_alive)](const asio::error_code& failure) {
                if (!failure && !alive.expired())
                    checkTimeouts();
            });
        }

        void endOverdueConnections(TimePoint now)
        {
            std::vector<std::shared_ptr<ServerConnection>> connections;
            for (const auto& [address, connection] : m_state->connections)
                connections.push_back(connection);
            for (const auto& connection : connections)
                connection->checkTimeouts(now);
        }

        const std::string m_address;
        std::uint16_t m_port;
        const bool m_ownsLoop;
        std::shared_ptr<asio::io_context> m_context;
        asio::ip::tcp::acceptor m_acceptor;
        asio::steady_timer m_acceptTimer;
        asio::steady_timer m_checkTimer;
        std::shared_ptr<ServerState> m_state;
        std::thread m_thread;
        TimePoint m_checkedAt;
        /// Lets handlers that are queued already find that the server has gone.
        std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    };

} // namespace

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::create(Options options, Handler handler)
{
    auto server = std::make_unique<AsioServer>(std::move(options), std::move(handler));
    const absl::Status status = server->run();
    if (!status.ok())
        return status;
    return server;
}

} // namespace fuchsialb
