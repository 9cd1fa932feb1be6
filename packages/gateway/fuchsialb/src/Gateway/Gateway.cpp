#include "Gateway.h"

#include "LogBuffer.h"
#include "PeerExchange.h"
#include "PlacementDuty.h"
#include "RequestDesk.h"
#include "StoreSession.h"

#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <csignal>
#include <random>

namespace fuchsialb {

namespace {

    constexpr Duration tickPeriod = std::chrono::milliseconds(25);
    constexpr Duration dutyPeriod = std::chrono::milliseconds(100);
    // Most lines of one event in a second; a burst of refusals must not fill the log.
    constexpr std::uint32_t logLinesPerSecond = 100;
    // Callers keep idle connections open for less than this.
    constexpr Duration connectionIdle = std::chrono::seconds(75);
    // New connections arrive for this long after readiness was taken back.
    constexpr Duration leastStop = std::chrono::milliseconds(3000);
    // The process must be gone before the grace time ends.
    constexpr Duration stopMargin = std::chrono::milliseconds(400);

    absl::Status listenOn(std::unique_ptr<HttpServer>& server, const SocketAddress& address,
        const std::shared_ptr<asio::io_context>& loop, HttpServer::Handler handler)
    {
        HttpServer::Options options;
        options.address = address.ip;
        options.port = address.port;
        options.readTimeout = connectionIdle;
        options.context = loop;
        auto created = HttpServer::create(options, std::move(handler));
        if (!created.ok())
            return created.status();
        server = *std::move(created);
        return absl::OkStatus();
    }

    class SingleLoopGateway final : public Gateway {
    public:
        SingleLoopGateway(GatewaySettings settings, const Translator& translator)
            : m_settings(std::move(settings))
            , m_translator(translator)
            , m_loop(std::make_shared<asio::io_context>(1))
            , m_log([this](std::string_view line) { m_output.add(line); }, unixMicroseconds, logLinesPerSecond)
            , m_tick(*m_loop)
            , m_dutyTimer(*m_loop)
            , m_signals(*m_loop)
        {
        }

        absl::Status open(const MakeStore& makeStore)
        {
            auto http = HttpClient::create({}, *m_loop);
            if (!http.ok())
                return http.status();
            m_http = *std::move(http);
            m_store = makeStore(*m_http, m_settings.store);
            const auto seed = (static_cast<std::uint64_t>(std::random_device()()) << 32) | std::random_device()();
            m_context.emplace(GatewayContext { m_settings, m_translator, *m_loop, m_clock, *m_http, *m_store, m_log,
                m_metrics, Random(seed), ConfigurationInForce(m_settings.keyTrust), {}, {},
                HostDirectory(m_settings.host, m_settings.dataCentre), {},
                SharedRetryBudget({ m_settings.repeatRatio, m_settings.repeatWindow, m_settings.repeatAllowance }), {},
                {} });
            m_desk.emplace(*m_context);
            m_peers.emplace(*m_context);
            m_session.emplace(
                *m_context, [this](const std::string& key) { m_peers->useKey(key); },
                [this](const EndpointId& runner) { m_desk->runnerLeaving(runner); });
            m_placement.emplace(*m_context);
            absl::Status status = listenOn(m_callers, m_settings.callers, m_loop,
                [this](ServerRequest request, const std::shared_ptr<HttpReply>& reply) {
                    m_desk->handle(std::move(request), reply);
                });
            if (status.ok())
                status = listenOn(m_readiness, m_settings.readiness, m_loop,
                    [this](const ServerRequest& request, const std::shared_ptr<HttpReply>& reply) {
                        answerReadiness(request, *reply);
                    });
            if (status.ok())
                status = listenOn(m_metricsServer, m_settings.metrics, m_loop,
                    [this](const ServerRequest&, const std::shared_ptr<HttpReply>& reply) {
                        reply->send({ 200, { { "content-type", "text/plain; version=0.0.4" } }, m_metrics.text() });
                    });
            return status;
        }

        bool run() override
        {
            LogLine line("started");
            line.add("host", m_settings.host.value()).add("data_centre", m_settings.dataCentre.value());
            m_log.log(line);
            m_signals.add(SIGTERM);
            m_signals.add(SIGINT);
            m_signals.add(SIGHUP);
            waitForSignal();
            m_session->start();
            tick();
            duties();
            m_loop->run();
            m_log.log(LogLine("stopped").add("open_requests", static_cast<std::int64_t>(m_desk->open())));
            m_output.flush();
            return m_desk->open() == 0;
        }

        void requestStop() override
        {
            asio::post(*m_loop, [this] { stop(); });
        }

        std::uint16_t callersPort() const override { return m_callers->port(); }
        std::uint16_t readinessPort() const override { return m_readiness->port(); }

    private:
        /// A host that can't judge API keys is of no use to callers, who find others.
        bool ready() const
        {
            const auto& table = m_context->configuration.table();
            return !m_context->stopping && table && m_context->registryReadAt != TimePoint()
                && (!table->requiresKeys || m_context->configuration.keysTrusted(bootTime()));
        }

        void answerReadiness(const ServerRequest& request, HttpReply& reply)
        {
            const bool probe = m_translator.isReadinessProbe(request);
            reply.send({ probe ? (ready() ? 200U : 503U) : 404U, {}, "" });
        }

        void waitForSignal()
        {
            m_signals.async_wait([this](const asio::error_code& failure, int signal) {
                if (failure)
                    return;
                m_log.log(LogLine("signal").add("number", signal));
                // The settings name addresses only, which a running process can't change.
                if (signal != SIGHUP)
                    stop();
                waitForSignal();
            });
        }

        void stop()
        {
            if (m_context->stopping)
                return;
            m_context->stopping = true;
            m_context->stoppingSince = m_clock.now();
            m_log.log(LogLine("stopping").add("open_requests", static_cast<std::int64_t>(m_desk->open())));
            m_session->leave();
        }

        void tick()
        {
            m_desk->tick();
            m_output.flush();
            if (m_context->stopping) {
                const Duration stopping = m_clock.now() - m_context->stoppingSince;
                if ((m_desk->open() == 0 && stopping >= leastStop) || stopping >= m_settings.stopGrace - stopMargin) {
                    m_loop->stop();
                    return;
                }
            }
            m_tick.expires_after(tickPeriod);
            m_tick.async_wait([this](const asio::error_code& failure) {
                if (!failure)
                    tick();
            });
        }

        void duties()
        {
            m_placement->tick();
            m_session->tick();
            m_peers->tick();
            m_metrics.set("open_requests", static_cast<double>(m_desk->open()));
            m_metrics.set("waiting_requests", static_cast<double>(m_context->waiting.size()));
            m_metrics.set("runners", static_cast<double>(m_context->runners.runners().size()));
            m_dutyTimer.expires_after(dutyPeriod);
            m_dutyTimer.async_wait([this](const asio::error_code& failure) {
                if (!failure)
                    duties();
            });
        }

        GatewaySettings m_settings;
        const Translator& m_translator;
        SystemClock m_clock;
        std::shared_ptr<asio::io_context> m_loop;
        LogBuffer m_output;
        Logger m_log;
        GatewayMetrics m_metrics;
        asio::steady_timer m_tick;
        asio::steady_timer m_dutyTimer;
        asio::signal_set m_signals;
        std::unique_ptr<HttpClient> m_http;
        std::unique_ptr<KeyValueService> m_store;
        std::optional<GatewayContext> m_context;
        std::optional<RequestDesk> m_desk;
        std::optional<PeerExchange> m_peers;
        std::optional<StoreSession> m_session;
        std::optional<PlacementDuty> m_placement;
        std::unique_ptr<HttpServer> m_callers;
        std::unique_ptr<HttpServer> m_readiness;
        std::unique_ptr<HttpServer> m_metricsServer;
    };

} // namespace

absl::StatusOr<std::unique_ptr<Gateway>> Gateway::create(
    GatewaySettings settings, const Translator& translator, const MakeStore& makeStore)
{
    auto gateway = std::make_unique<SingleLoopGateway>(std::move(settings), translator);
    const absl::Status status = gateway->open(makeStore);
    if (!status.ok())
        return status;
    return gateway;
}

} // namespace fuchsialb
