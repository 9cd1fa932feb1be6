#include "HttpServer.h"

#include "RestinioConnections.h"
#include "ScopedSignalMask.h"

#include <algorithm>
#include <cctype>
#include <future>
#include <optional>
#include <thread>

namespace fuchsialb {

namespace {

    // RESTinio limits the time between a request and each part of its answer; streams may pause for as long as they
    // need, so the limit only has to be finite.
    constexpr std::chrono::hours answerTimeout { 24 };
    // The parser stops at 80 KB of headers; this bounds the memory for their bookkeeping.
    constexpr std::size_t maxHeaderCount = 128;
    // Bodies up to this factor above the limit are read in full, so that the client gets an answer and not a reset.
    constexpr std::uint64_t readableBodyFactor = 2;
    // With room for a second request RESTinio goes on reading during an answer, and so sees the peer close.
    constexpr std::size_t pipelinedRequests = 2;

    struct Traits : restinio::default_single_thread_traits_t {
        using connection_state_listener_t = internal::RestinioConnections;
        using ip_blocker_t = internal::RestinioConnections;
    };

    using RawServer = restinio::http_server_t<Traits>;

    /// \brief Handle of an answer for any thread: posts each call to the server's thread.
    class PostedReply final : public HttpReply {
    public:
        PostedReply(std::weak_ptr<asio::io_context> context, std::shared_ptr<internal::RestinioReply> reply)
            : m_context(std::move(context))
            , m_reply(std::move(reply))
        {
        }

        PostedReply(const PostedReply&) = delete;
        PostedReply& operator=(const PostedReply&) = delete;

        /// A request that is dropped without an answer must not hold its connection.
        ~PostedReply() override { abort(); }

        void send(HttpResponse response) override
        {
            post([response = std::move(response)](auto& reply) mutable { reply.send(std::move(response)); });
        }

        void closeConnection() override
        {
            post([](auto& reply) { reply.closeConnection(); });
        }

        void begin(std::uint32_t status, HttpHeaders headers) override
        {
            post([status, headers = std::move(headers)](auto& reply) { reply.begin(status, headers); });
        }

        void write(std::string piece) override
        {
            post([piece = std::move(piece)](auto& reply) mutable { reply.write(std::move(piece)); });
        }

        void finish() override
        {
            post([](auto& reply) { reply.finish(); });
        }

        void abort() override
        {
            post([](auto& reply) { reply.abort(); });
        }

        std::size_t unsentBytes() const override { return m_reply->unsentBytes(); }

        void onClosed(std::function<void()> hook) override
        {
            post([hook = std::move(hook)](auto& reply) mutable { reply.onClosed(std::move(hook)); });
        }

    private:
        template <typename Action> void post(Action action)
        {
            if (const auto context = m_context.lock())
                asio::dispatch(*context, [reply = m_reply, action = std::move(action)]() mutable { action(*reply); });
        }

        std::weak_ptr<asio::io_context> m_context;
        std::shared_ptr<internal::RestinioReply> m_reply;
    };

    class RestinioServer final : public HttpServer {
    public:
        RestinioServer(Options options, Handler handler)
            : m_options(std::move(options))
            , m_handler(std::move(handler))
            , m_connections(std::make_shared<internal::RestinioConnections>(m_options.maxConnections))
            , m_ownsLoop(!m_options.context)
            , m_context(m_ownsLoop ? std::make_shared<asio::io_context>() : m_options.context)
        {
        }

        RestinioServer(const RestinioServer&) = delete;
        RestinioServer& operator=(const RestinioServer&) = delete;

        ~RestinioServer() override
        {
            if (m_ownsLoop)
                m_context->stop();
            if (m_thread.joinable())
                m_thread.join();
            // Replies may outlive the server; connections must not.
            m_connections->releaseAll();
        }

        absl::Status run()
        {
            try {
                m_server.emplace(restinio::external_io_context(*m_context), settings());
                m_server->open_sync();
            } catch (const std::exception& failure) {
                return error(Reason::InvalidFlag,
                    fmt::format("can't listen on {}:{}: {}", m_options.address, m_options.port, failure.what()));
            }
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
        std::size_t unsentBytes() const override { return *m_unsent; }

        void stopListening() override
        {
            if (!m_ownsLoop || std::this_thread::get_id() == m_thread.get_id()) {
                m_server->close_sync();
                return;
            }
            std::promise<void> closed;
            asio::post(*m_context, [&] {
                m_server->close_sync();
                closed.set_value();
            });
            closed.get_future().wait();
        }

    private:
        restinio::server_settings_t<Traits> settings()
        {
            const Duration checkPeriod
                = std::clamp<Duration>(std::min(m_options.readTimeout, m_options.writeTimeout) / 4,
                    std::chrono::milliseconds(10), std::chrono::seconds(1));
            const auto maxBody = static_cast<std::uint64_t>(m_options.maxBody.value());
            restinio::server_settings_t<Traits> settings;
            settings.address(m_options.address)
                .port(m_options.port)
                .connection_state_listener(m_connections)
                .ip_blocker(m_connections)
                .max_pipelined_requests(pipelinedRequests)
                .read_next_http_message_timelimit(m_options.readTimeout)
                .write_http_response_timelimit(m_options.writeTimeout)
                .handle_request_timeout(answerTimeout)
                .timer_manager(checkPeriod)
                .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t()
                                              .max_body_size(maxBody * readableBodyFactor)
                                              .max_field_count(maxHeaderCount))
                .acceptor_post_bind_hook(
                    [this](asio::ip::tcp::acceptor& acceptor) { m_port = acceptor.local_endpoint().port(); })
                .socket_options_setter(
                    [](restinio::socket_options_t& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
                .request_handler([this](restinio::request_handle_t request) { return handle(std::move(request)); });
            return settings;
        }

        restinio::request_handling_status_t handle(restinio::request_handle_t raw)
        {
            if (raw->header().connection() == restinio::http_connection_header_t::upgrade)
                return restinio::request_rejected();
            ServerRequest request = convert(*raw);
            const auto connection = raw->connection_id();
            const auto state = std::make_shared<internal::RestinioReply>(std::move(raw), m_unsent);
            m_connections->add(connection, state);
            auto reply = std::make_shared<PostedReply>(m_context, state);
            if (const std::uint32_t refusal = refusalOf(request))
                reply->send({ refusal, { { "content-type", "text/plain" } }, "request exceeds the server's limits\n" });
            else
                m_handler(std::move(request), std::move(reply));
            return restinio::request_accepted();
        }

        static ServerRequest convert(const restinio::request_t& raw)
        {
            ServerRequest request;
            request.method = raw.header().method().c_str();
            request.path = std::string(raw.header().path());
            request.query = std::string(raw.header().query());
            request.target = raw.header().request_target();
            request.body = raw.body();
            raw.header().for_each_field([&](const restinio::http_header_field_t& field) {
                std::string name = field.name();
                std::transform(name.begin(), name.end(), name.begin(),
                    [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
                request.headers.emplace_back(std::move(name), field.value());
            });
            return request;
        }

        /// \return The status that refuses the request, 0 when it is within the limits.
        std::uint32_t refusalOf(const ServerRequest& request) const
        {
            std::size_t headerBytes = request.path.size() + request.query.size();
            for (const auto& [name, value] : request.headers)
                headerBytes += name.size() + value.size();
            if (headerBytes > static_cast<std::size_t>(m_options.maxHeaders.value()))
                return 431;
            return request.body.size() > static_cast<std::size_t>(m_options.maxBody.value()) ? 413 : 0;
        }

        const Options m_options;
        Handler m_handler;
        std::shared_ptr<internal::RestinioConnections> m_connections;
        const bool m_ownsLoop;
        std::shared_ptr<asio::io_context> m_context;
        std::uint16_t m_port = 0;
        internal::RestinioReply::ByteCount m_unsent = std::make_shared<std::atomic<std::size_t>>(0);
        std::optional<RawServer> m_server;
        std::thread m_thread;
    };

} // namespace

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::create(Options options, Handler handler)
{
    auto server = std::make_unique<RestinioServer>(std::move(options), std::move(handler));
    const absl::Status status = server->run();
    if (!status.ok())
        return status;
    return server;
}

} // namespace fuchsialb
