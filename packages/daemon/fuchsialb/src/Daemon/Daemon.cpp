#include "Daemon.h"

#include "AdminFront.h"
#include "CallerFront.h"
#include "CoreLoop.h"
#include "PlatformLink.h"
#include "RequestTracer.h"
#include "fuchsialb/Endpoint.h"
#include "fuchsialb/Net.h"
#include "fuchsialb/Router.h"
#include "fuchsialb/Store.h"

#include <absl/strings/str_split.h>

#include <condition_variable>
#include <random>
#include <utility>

namespace fuchsialb {

namespace {

    constexpr std::size_t eventRingCapacity = 16384;
    constexpr std::size_t decisionCapacity = 20000;
    constexpr std::size_t maxExchanges = 16384;

    std::uint64_t drawSeed()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32) | device();
    }

    HttpServer::Options serverOptions(const Settings& settings, const SocketAddress& address)
    {
        HttpServer::Options options;
        options.address = address.ip;
        options.port = address.port;
        options.maxBody = settings.maxBody;
        options.maxHeaders = settings.maxHeaders;
        options.maxConnections = settings.maxConnections;
        options.readTimeout = settings.clientTimeout;
        options.writeTimeout = settings.clientTimeout;
        return options;
    }

    class DaemonImpl final : public Daemon {
    public:
        explicit DaemonImpl(const Settings& settings)
            : m_settings(settings)
            , m_seed(settings.seed.value_or(drawSeed()))
            , m_random(m_seed)
            , m_spanRandom(m_seed + 1)
            , m_logger(standardErrorSink(), unixMicroseconds, settings.logRate)
            , m_decisions(decisionCapacity)
            , m_ring(eventRingCapacity)
            , m_spans(m_logger, unixMicroseconds, settings.host.value(), m_spanRandom)
            , m_tracer(m_spans)
        {
        }

        ~DaemonImpl() override
        {
            m_callerServer.reset();
            m_adminServer.reset();
            if (m_core)
                m_core->stop();
            m_peers.reset();
            m_platform.reset();
            m_endpoints.reset();
            m_http.reset();
        }

        absl::Status start();
        void drain() override;
        bool draining() const override { return m_draining; }
        bool waitUntilDrained() override;

    private:
        absl::Status startClients();
        absl::Status startPeers();
        absl::Status startCore();
        absl::Status startServers();
        CoreOutputs coreOutputs();
        std::vector<ListedHost> seedHosts() const;
        bool push(Event event);
        void safeToStop();

        Settings m_settings;
        std::uint64_t m_seed;
        SystemClock m_clock;
        Random m_random;
        Random m_spanRandom;
        Logger m_logger;
        Metrics m_metrics;
        DecisionLog m_decisions;
        Ring<Event> m_ring;
        SpanRecorder m_spans;
        RequestTracer m_tracer;
        Incarnation m_incarnation { static_cast<std::uint64_t>(unixMicroseconds()) };
        std::unique_ptr<HttpClient> m_http;
        std::unique_ptr<EndpointClient> m_endpoints;
        std::unique_ptr<PlatformLink> m_platform;
        std::unique_ptr<PeerTransport> m_peers;
        std::unique_ptr<CallerFront> m_callers;
        std::unique_ptr<CoreLoop> m_core;
        std::unique_ptr<AdminFront> m_admin;
        std::unique_ptr<HttpServer> m_callerServer;
        std::unique_ptr<HttpServer> m_adminServer;
        std::mutex m_drainMutex;
        std::condition_variable m_drained;
        bool m_isSafeToStop = false;
        std::atomic<bool> m_draining { false };
    };

    bool DaemonImpl::push(Event event)
    {
        if (m_ring.push(std::move(event)))
            return true;
        m_metrics.ringFull("events");
        return false;
    }

    absl::Status DaemonImpl::startClients()
    {
        HttpClient::Options options;
        options.capacity = maxExchanges;
        auto http = HttpClient::create(options);
        if (!http.ok())
            return http.status();
        m_http = std::move(*http);
        auto endpoints = EndpointClient::create(*m_http, m_clock, {}, [this](Event event) { push(std::move(event)); });
        if (!endpoints.ok())
            return endpoints.status();
        m_endpoints = std::move(*endpoints);
        auto platform = PlatformLink::create(
            m_settings.store, m_settings.hostListPeriod, m_clock, [this](Event event) { push(std::move(event)); });
        if (!platform.ok())
            return platform.status();
        m_platform = std::move(*platform);
        return absl::OkStatus();
    }

    absl::Status DaemonImpl::startPeers()
    {
        PeerTransport::Options options;
        options.bindAddress = m_settings.peerListen.text();
        options.keys = { m_settings.fleet, m_settings.fleetKey, m_settings.previousFleetKey };
        options.self = m_settings.host;
        options.incarnation = m_incarnation;
        auto peers = PeerTransport::create(
            options,
            [this](HostId from, PeerMessage message) {
                push(PeerReceived { std::move(from), std::move(message) });
            },
            [this](const absl::Status& dropped) {
                m_metrics.peerDropped(reasonOf(dropped));
                m_logger.log(LogLine("peer-message-dropped")
                                 .add("reason", reasonName(reasonOf(dropped)))
                                 .add("detail", std::string_view(dropped.message().data(), dropped.message().size())));
            });
        if (!peers.ok())
            return peers.status();
        m_peers = std::move(*peers);
        return absl::OkStatus();
    }

    CoreOutputs DaemonImpl::coreOutputs()
    {
        CoreOutputs outputs;
        outputs.deliver = [this](const DeliverToken& token) { m_callers->deliver(token); };
        outputs.finish = [this](const Finish& finish) { m_callers->finish(finish); };
        outputs.read = [this](const StoreRead& operation) { m_platform->read(operation); };
        outputs.compareAndSwap
            = [this](const StoreCompareAndSwap& operation) { m_platform->compareAndSwap(operation); };
        outputs.watch = [this](const StoreWatch& operation) { m_platform->watch(operation); };
        outputs.sendPeer = [this](const SendPeer& send) {
            if (send.address.empty() || !m_peers->send(send.to, send.address, send.message))
                m_metrics.peerDropped(Reason::QueueFull);
        };
        outputs.safeToStop = [this] { safeToStop(); };
        outputs.configurationInForce = [this](const Configuration& configuration) {
            m_callers->setDefaultRank(configuration.defaultRank);
            m_callers->setReady(!m_draining);
        };
        return outputs;
    }

    std::vector<ListedHost> DaemonImpl::seedHosts() const
    {
        std::vector<ListedHost> hosts;
        for (const std::string& seed : m_settings.seeds) {
            const std::vector<std::string> parts = absl::StrSplit(seed, '@');
            hosts.push_back({ HostId(parts[0]), DataCentreId(parts[1]), parts[2], false });
        }
        return hosts;
    }

    absl::Status DaemonImpl::startCore()
    {
        RouterOptions options;
        options.self = m_settings.host;
        options.dataCentre = m_settings.dataCentre;
        options.address = m_settings.peerListen.text();
        options.incarnation = m_incarnation;
        options.claims.unixSeconds = [] { return unixMicroseconds() / 1'000'000; };
        auto router = Router::create(std::move(options), m_clock, m_random);
        if (!router.ok())
            return router.status();
        m_callers = std::make_unique<CallerFront>(CallerFront::Options { m_settings.traceSample, m_seed + 2 }, m_clock,
            m_metrics, [this](Event event) { return push(std::move(event)); });
        CoreLoop::Parts parts;
        parts.router = std::move(*router);
        parts.endpoints = m_endpoints.get();
        parts.tracer = &m_tracer;
        parts.decisions = &m_decisions;
        parts.metrics = &m_metrics;
        parts.logger = &m_logger;
        parts.clock = &m_clock;
        parts.outputs = coreOutputs();
        m_core = std::make_unique<CoreLoop>(m_ring, std::move(parts));
        if (!m_settings.seeds.empty())
            push(HostsListed { seedHosts() });
        m_core->start();
        m_platform->start();
        return absl::OkStatus();
    }

    absl::Status DaemonImpl::startServers()
    {
        AdminFront::Parts parts;
        parts.core = m_core.get();
        parts.decisions = &m_decisions;
        parts.metrics = &m_metrics;
        parts.drain = [this] { drain(); };
        parts.peerBytes = [this] { return std::pair(m_peers->bytesSent(), m_peers->bytesReceived()); };
        m_admin = std::make_unique<AdminFront>(std::move(parts));
        auto admin = HttpServer::create(serverOptions(m_settings, m_settings.adminListen),
            [this](const ServerRequest& request, const std::shared_ptr<HttpReply>& reply) {
                m_admin->handle(request, reply);
            });
        if (!admin.ok())
            return admin.status();
        m_adminServer = std::move(*admin);
        auto callers = HttpServer::create(serverOptions(m_settings, m_settings.listen),
            [this](const ServerRequest& request, const std::shared_ptr<HttpReply>& reply) {
                m_callers->handle(request, reply);
            });
        if (!callers.ok())
            return callers.status();
        m_callerServer = std::move(*callers);
        return absl::OkStatus();
    }

    absl::Status DaemonImpl::start()
    {
        for (const auto step :
            { &DaemonImpl::startClients, &DaemonImpl::startPeers, &DaemonImpl::startCore, &DaemonImpl::startServers }) {
            absl::Status status = (this->*step)();
            if (!status.ok())
                return status;
        }
        m_logger.log(LogLine("started")
                         .add("host", m_settings.host.value())
                         .add("data_centre", m_settings.dataCentre.value())
                         .add("listen", m_settings.listen.text())
                         .add("admin", m_settings.adminListen.text())
                         .add("peer", m_settings.peerListen.text())
                         .add("seed", static_cast<std::int64_t>(m_seed)));
        return absl::OkStatus();
    }

    void DaemonImpl::drain()
    {
        if (m_draining.exchange(true))
            return;
        m_logger.log(LogLine("drain-started"));
        m_callers->setReady(false);
        push(DrainRequested {});
    }

    void DaemonImpl::safeToStop()
    {
        m_logger.log(LogLine("safe-to-stop"));
        const std::lock_guard lock(m_drainMutex);
        m_isSafeToStop = true;
        m_drained.notify_all();
    }

    bool DaemonImpl::waitUntilDrained()
    {
        std::unique_lock lock(m_drainMutex);
        const bool finished = m_drained.wait_for(lock, m_settings.drainTimeout, [this] { return m_isSafeToStop; });
        if (!finished)
            m_logger.log(LogLine("drain-timed-out"));
        return finished;
    }

} // namespace

absl::StatusOr<std::unique_ptr<Daemon>> Daemon::create(const Settings& settings)
{
    auto daemon = std::make_unique<DaemonImpl>(settings);
    absl::Status status = daemon->start();
    if (!status.ok())
        return status;
    return daemon;
}

} // namespace fuchsialb
