#include "Gateway.h"

#include "LogBuffer.h"
#include "PeerExchange.h"
#include "PlacementCoordinator.h"
#include "RequestDispatcher.h"
#include "RunnerNotices.h"
#include "StoreSession.h"

#include <absl/cleanup/cleanup.h>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <csignal>
#include <malloc.h>
#include <random>

namespace fuchsialb {

namespace {

    constexpr Duration requestTickPeriod = std::chrono::milliseconds(25);
    // A stream has to leave a silent runner within about two intervals between its events.
    constexpr Duration silenceCheckPeriod = std::chrono::milliseconds(10);
    constexpr Duration maintenancePeriod = std::chrono::milliseconds(100);
    // Limit for each event name, so that a burst of refused requests does not fill the log.
    constexpr std::uint32_t maxLogLinesPerSecond = 100;
    // Longest time by which a signal to stop is taken to have been noticed late.
    constexpr Duration maxSignalDelay = std::chrono::milliseconds(800);
    // A longer time between two ticks means that the process was held up.
    constexpr Duration maxTickGap = std::chrono::milliseconds(100);
    // For idle connections where the configuration names no time, and for the whole of a request.
    constexpr Duration connectionIdleTimeout = std::chrono::seconds(75);

    // Share of the machine for what runners and the store send and nobody has taken yet.
    constexpr std::int64_t responsesDivisor = 8;

    /// Lets the allocator give back what clients held: blocks of bodies are mapped one by one, whatever their history.
    void limitHeapRetention()
    {
#ifdef __GLIBC__
        constexpr int mappedBlock = 131'072;
        constexpr int keptAtTop = 1'048'576;
        mallopt(M_MMAP_THRESHOLD, mappedBlock);
        mallopt(M_TRIM_THRESHOLD, keptAtTop);
#endif
    }

    std::shared_ptr<MemoryBudget> responseBudget(const MachineLimits& machine)
    {
        return std::make_shared<MemoryBudget>(
            std::min(defaultResponseMemory, Bytes(machine.memory.value() / responsesDivisor)));
    }

    class SingleLoopGateway final : public Gateway {
    public:
        SingleLoopGateway(GatewaySettings settings, const Translator& translator)
            : m_settings(std::move(settings))
            , m_translator(translator)
            , m_loop(std::make_shared<asio::io_context>(1))
            , m_log([this](std::string_view line) { m_output.add(line); }, unixMicroseconds, maxLogLinesPerSecond)
            , m_requestTimer(*m_loop)
            , m_silenceTimer(*m_loop)
            , m_maintenanceTimer(*m_loop)
            , m_signals(*m_loop)
            , m_clients(std::make_shared<ClientAccount>(
                  ClientBudgets::forMachine(m_settings.machine.memory, m_settings.machine.descriptors)))
        {
        }

        absl::Status initialize(const StoreFactory& storeFactory)
        {
            limitHeapRetention();
            const auto responseMemory = responseBudget(m_settings.machine);
            HttpClient::Options options;
            options.memory = responseMemory;
            auto http = HttpClient::create(options, *m_loop);
            if (!http.ok())
                return http.status();
            m_http = *std::move(http);
            m_store = storeFactory(*m_http, m_settings.storeAddress);
            const auto seed = (static_cast<std::uint64_t>(std::random_device()()) << 32) | std::random_device()();
            Random random(seed);
            SharedRetryBudget retryBudget({ m_settings.retryRatio, m_settings.retryWindow, m_settings.retryAllowance },
                m_clock.now(), random.unit());
            m_context.emplace(GatewayContext { m_settings, m_translator, *m_loop, m_clock, *m_http, *m_store, m_log,
                m_metrics, random, ConfigurationInForce(m_settings.keyTrust), {}, {},
                HostDirectory(m_settings.host, m_settings.dataCentre), {}, {}, std::move(retryBudget), {}, {},
                responseMemory });
            m_requests.emplace(*m_context);
            m_peers.emplace(*m_context,
                BeatExchange::Hooks { [this](const HostId& from, const DirectoryUpdate& update) {
                                         m_storeSession->receiveRunners(from, update);
                                     },
                    [this](const HostId& from, const DirectoryUpdate& update) {
                        m_storeSession->receiveHosts(from, update);
                    },
                    [this](const HostId& from, const RunnerLeaving& leaving) {
                        reportRunnerLeaving(*m_context, leaving, from.value());
                    },
                    [this](const HostId& from, const RequestRateLimit& limit) {
                        reportRateLimit(*m_context, limit, from.value());
                    } });
            m_context->onRunnerLeaving = [this](const EndpointId& runner) { m_requests->runnerLeaving(runner); };
            m_storeSession.emplace(*m_context, [this](const std::string& key) { m_peers->openTransport(key); });
            m_placement.emplace(*m_context);
            absl::Status status = listenOn(
                m_callerServer, m_settings.callerAddress,
                [this](const ServerRequest& head) { return m_requests->judge(head); },
                [this](ServerRequest request, const std::shared_ptr<HttpReply>& reply) {
                    m_requests->handle(std::move(request), reply);
                });
            if (status.ok())
                status = listenWithoutBodies(m_readinessServer, m_settings.readinessAddress,
                    [this](const ServerRequest& request) { return readinessResponse(request); });
            if (status.ok())
                status = listenWithoutBodies(m_metricsServer, m_settings.metricsAddress, [this](const ServerRequest&) {
                    return HttpResponse { 200, { { "content-type", "text/plain; version=0.0.4" } }, m_metrics.text() };
                });
            return status;
        }

        bool run() override
        {
            LogLine line("started");
            line.add("host", m_settings.host.value()).add("data_centre", m_settings.dataCentre.value());
            line.add("memory_bytes", m_settings.machine.memory.value());
            line.add("max_descriptors", static_cast<std::int64_t>(m_settings.machine.descriptors));
            m_log.log(line);
            for (const int signal : handledSignals)
                m_signals.add(signal);
            waitForSignal();
            {
                const auto signals = ScopedSignalMask::unblock(handledSignals);
                m_storeSession->start();
                repeat(m_requestTimer, requestTickPeriod, &SingleLoopGateway::tick);
                repeat(m_silenceTimer, silenceCheckPeriod, &SingleLoopGateway::checkSilence);
                repeat(m_maintenanceTimer, maintenancePeriod, &SingleLoopGateway::runMaintenance);
                runLoop();
            }
            LogLine stopped("stopped");
            stopped.add("unfinished_requests", static_cast<std::int64_t>(m_unfinishedRequests));
            stopped.add("unsent_bytes", static_cast<std::int64_t>(m_callerServer->unsentBytes()));
            m_log.log(stopped);
            m_output.flush();
            return m_unfinishedRequests == 0;
        }

        void requestStop() override
        {
            asio::post(*m_loop, [this] { stop(); });
        }

        std::uint16_t callerPort() const override { return m_callerServer->port(); }
        std::uint16_t readinessPort() const override { return m_readinessServer->port(); }
        std::uint16_t metricsPort() const override { return m_metricsServer->port(); }

    private:
        /// A host that can't check API keys is not ready, so that callers use other hosts.
        bool ready() const
        {
            const auto& table = m_context->configuration.table();
            return !m_context->stopping && table && m_context->registryReadAt != TimePoint()
                && (!table->requiresKeys || m_context->configuration.keysTrusted(bootTime()));
        }

        HttpResponse readinessResponse(const ServerRequest& request) const
        {
            const bool probe = m_translator.isReadinessProbe(request);
            return { probe ? (ready() ? 200U : 503U) : 404U, {}, "" };
        }

        using Judge = std::function<std::optional<HttpResponse>(const ServerRequest& head)>;

        absl::Status listenOn(
            std::unique_ptr<HttpServer>& server, const SocketAddress& address, Judge judge, HttpServer::Handler handler)
        {
            HttpServer::Options options;
            options.address = address.ip;
            options.port = address.port;
            options.readTimeout = connectionIdleTimeout;
            options.context = m_loop;
            options.account = m_clients;
            options.judge = std::move(judge);
            options.onRefused = [this](std::string_view cause, std::uint32_t status) { logRefusal(cause, status); };
            auto created = HttpServer::create(options, std::move(handler));
            if (!created.ok())
                return created.status();
            server = *std::move(created);
            return absl::OkStatus();
        }

        /// Answers each request by its head; a body isn't read.
        absl::Status listenWithoutBodies(std::unique_ptr<HttpServer>& server, const SocketAddress& address,
            const std::function<HttpResponse(const ServerRequest& request)>& respond)
        {
            return listenOn(
                server, address, [respond](const ServerRequest& head) { return std::optional(respond(head)); },
                [respond](const ServerRequest& request, const std::shared_ptr<HttpReply>& reply) {
                    reply->send(respond(request));
                });
        }

        void logRefusal(std::string_view cause, std::uint32_t status)
        {
            LogLine line("client-refused");
            line.add("cause", cause).add("status", static_cast<std::int64_t>(status));
            line.add("held_bytes", m_clients->held().value());
            line.add("connections", static_cast<std::int64_t>(m_clients->connections()));
            m_log.log(line);
            m_metrics.count("client_refusals", "cause", cause);
        }

        /// Applies the limits of the configuration in force.
        void applyCallerLimits()
        {
            const auto& table = m_context->configuration.table();
            if (!table || table->callerLimits == m_callerLimits)
                return;
            m_callerLimits = table->callerLimits;
            RequestLimits limits;
            limits.maxHead = m_callerLimits.maxHead.value_or(limits.maxHead);
            limits.maxBody = m_callerLimits.maxBody.value_or(limits.maxBody);
            limits.headTimeout = m_callerLimits.headTimeout.value_or(connectionIdleTimeout);
            limits.readTimeout = connectionIdleTimeout;
            limits.idleTimeout = m_callerLimits.idleTimeout.value_or(connectionIdleTimeout);
            for (const auto* server : { &m_callerServer, &m_readinessServer, &m_metricsServer })
                (*server)->setLimits(limits);
            LogLine line("caller-limits");
            line.add("head_bytes", limits.maxHead.value()).add("body_bytes", limits.maxBody.value());
            m_log.log(line);
        }

        // An exception that left the loop would end the process with all its requests.
        void runLoop()
        {
            while (!m_loop->stopped()) {
                try {
                    m_loop->run();
                } catch (const std::exception& failure) {
                    m_log.log(LogLine("handler-failed").add("cause", failure.what()));
                    m_metrics.count("handler_failures", "source", "event-loop");
                }
            }
        }

        void waitForSignal()
        {
            m_signals.async_wait([this](const asio::error_code& failure, int signal) {
                if (failure)
                    return;
                m_log.log(LogLine("signal").add("number", signal));
                // SIGHUP is ignored, since the addresses in the settings can't change while the process runs.
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
            m_context->stoppingSince = earliestSignalTime(m_clock.now());
            m_log.log(LogLine("stopping").add("open_requests", static_cast<std::int64_t>(m_requests->openCount())));
            m_storeSession->unregisterHost();
        }

        /// \return When a signal that is noticed now may have come: a process that was held up notices it late, before
        /// or
        ///     after its first tick.
        TimePoint earliestSignalTime(TimePoint now) const
        {
            const bool isFirstEvent = now - m_tickedAt > maxTickGap;
            const bool hasJustTicked = now - m_heldUpUntil < requestTickPeriod;
            if (!isFirstEvent && !hasJustTicked)
                return now;
            return std::max(isFirstEvent ? m_tickedAt : m_heldUpSince, now - maxSignalDelay);
        }

        /// Calls an action now and again at an interval, also after an exception.
        void repeat(asio::steady_timer& timer, Duration interval, void (SingleLoopGateway::*action)())
        {
            const absl::Cleanup next = [this, &timer, interval, action] {
                timer.expires_after(interval);
                timer.async_wait([this, &timer, interval, action](const asio::error_code& failure) {
                    if (!failure)
                        repeat(timer, interval, action);
                });
            };
            (this->*action)();
        }

        void tick()
        {
            const TimePoint now = m_clock.now();
            if (now - m_tickedAt > maxTickGap) {
                m_heldUpSince = m_tickedAt;
                m_heldUpUntil = now;
            }
            m_tickedAt = now;
            m_requests->tick();
            m_output.flush();
            if (!m_context->stopping)
                return;
            const ShutdownSchedule schedule(m_settings.stopGrace);
            const Duration elapsed = now - m_context->stoppingSince;
            const bool isWritten = m_callerServer->unsentBytes() == 0;
            if (elapsed >= schedule.answerTime()) {
                if (!m_answeredAt)
                    m_answeredAt = now;
                if (schedule.exitsAfterAnswers(elapsed, now - *m_answeredAt, isWritten))
                    m_loop->stop();
                else
                    endOpenRequests();
            } else if (m_requests->openCount() == 0 && isWritten && ShutdownSchedule::mayExit(elapsed)) {
                m_loop->stop();
            }
        }

        void checkSilence() { m_requests->checkSilence(); }

        void endOpenRequests()
        {
            m_unfinishedRequests += m_requests->openCount();
            m_requests->endForShutdown();
        }

        void reportResponseMemory()
        {
            const MemoryBudget& memory = *m_context->responseMemory;
            m_metrics.set("response_held_bytes", static_cast<double>(memory.used().value()));
            m_metrics.set("response_memory_refusals", static_cast<double>(memory.refusals()));
            if (std::exchange(m_memoryRefusals, memory.refusals()) != memory.refusals())
                m_log.log(LogLine("response-memory-refused")
                              .add("held_bytes", memory.used().value())
                              .add("refusals", static_cast<std::int64_t>(memory.refusals())));
        }

        void runMaintenance()
        {
            m_placement->tick();
            m_storeSession->tick(m_peers->newestConfiguration());
            m_peers->tick();
            applyCallerLimits();
            m_metrics.set("client_held_bytes", static_cast<double>(m_clients->held().value()));
            m_metrics.set("client_connections", static_cast<double>(m_clients->connections()));
            reportResponseMemory();
            m_metrics.set("open_requests", static_cast<double>(m_requests->openCount()));
            m_metrics.set("waiting_requests", static_cast<double>(m_context->admissionQueue.size()));
            m_metrics.set("runners", static_cast<double>(m_context->runners.runners().size()));
        }

        GatewaySettings m_settings;
        const Translator& m_translator;
        SystemClock m_clock;
        std::shared_ptr<asio::io_context> m_loop;
        LogBuffer m_output;
        Logger m_log;
        GatewayMetrics m_metrics;
        asio::steady_timer m_requestTimer;
        asio::steady_timer m_silenceTimer;
        asio::steady_timer m_maintenanceTimer;
        asio::signal_set m_signals;
        TimePoint m_tickedAt {};
        /// The last time in which the process was held up.
        TimePoint m_heldUpSince {};
        TimePoint m_heldUpUntil {};
        /// When the requests that were open near the end of the grace time were answered.
        std::optional<TimePoint> m_answeredAt;
        /// Requests that were answered since the process had to exit.
        std::size_t m_unfinishedRequests = 0;
        std::unique_ptr<HttpClient> m_http;
        std::unique_ptr<KeyValueService> m_store;
        std::optional<GatewayContext> m_context;
        std::optional<RequestDispatcher> m_requests;
        std::optional<PeerExchange> m_peers;
        std::optional<StoreSession> m_storeSession;
        /// As reported last.
        std::uint64_t m_memoryRefusals = 0;
        std::optional<PlacementCoordinator> m_placement;
        std::shared_ptr<ClientAccount> m_clients;
        CallerLimits m_callerLimits;
        std::unique_ptr<HttpServer> m_callerServer;
        std::unique_ptr<HttpServer> m_readinessServer;
        std::unique_ptr<HttpServer> m_metricsServer;
    };

} // namespace

absl::StatusOr<std::unique_ptr<Gateway>> Gateway::create(
    GatewaySettings settings, const Translator& translator, const StoreFactory& storeFactory)
{
    auto gateway = std::make_unique<SingleLoopGateway>(std::move(settings), translator);
    const absl::Status status = gateway->initialize(storeFactory);
    if (!status.ok())
        return status;
    return gateway;
}

} // namespace fuchsialb
