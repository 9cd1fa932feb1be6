#include "EndpointClient.h"

#include "EndpointJson.h"
#include "EventStreamReader.h"
#include "RunStream.h"

#include <fmt/format.h>

#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace fuchsialb {

namespace {

    using internal::RunStream;

    std::string urlOf(const std::string& address, std::string_view path)
    {
        return fmt::format("http://{}{}", address, path);
    }

    Reason reasonOfFailure(const HttpFailure& failure) { return reasonOf(failure.status); }

    class EndpointClientImpl final : public EndpointClient, public std::enable_shared_from_this<EndpointClientImpl> {
    public:
        EndpointClientImpl(HttpClient& http, const Clock& clock, Options options, Sink sink)
            : m_http(http)
            , m_clock(clock)
            , m_options(options)
            , m_sink(std::move(sink))
        {
        }

        void run(const StartRun& action) override;
        void cancel(const CancelRun& action) override;
        void importState(const ImportState& action) override;
        void replayState(const ReplayState& action) override;
        void call(const ServiceCall& action) override;
        void poll(const PollEndpoints& action) override;
        void tick() override;

    private:
        struct Polled {
            PollEndpoints::Entry entry;
            std::uint64_t cacheSequence = 0;
            bool loadInFlight = false;
            bool cacheInFlight = false;
        };

        HttpRequest post(const std::string& address, std::string_view path, std::string body) const;
        void startStateOrder(HttpRequest request, RequestId id, AttemptId attempt, Epoch epoch);
        void probe(const std::shared_ptr<RunStream>& stream);
        void endStream(const std::shared_ptr<RunStream>& stream);
        void pollLoad(const EndpointId& endpoint, Polled& polled);
        void pollCache(const EndpointId& endpoint, Polled& polled);
        void loadAnswered(const EndpointId& endpoint);
        void cacheAnswered(const EndpointId& endpoint, std::uint64_t sequence);

        HttpClient& m_http;
        const Clock& m_clock;
        Options m_options;
        Sink m_sink;
        std::mutex m_mutex;
        std::map<std::pair<AttemptId, Epoch>, std::shared_ptr<RunStream>> m_streams;
        std::map<EndpointId, Polled> m_polled;
        TimePoint m_lastPoll {};
    };

    HttpRequest EndpointClientImpl::post(const std::string& address, std::string_view path, std::string body) const
    {
        HttpRequest request;
        request.method = "POST";
        request.url = urlOf(address, path);
        request.headers = { { "content-type", "application/json" } };
        request.body = std::move(body);
        request.timeout = m_options.orderTimeout;
        return request;
    }

    void EndpointClientImpl::run(const StartRun& action)
    {
        auto stream = std::make_shared<RunStream>(action, m_clock.now(), m_sink);
        {
            const std::lock_guard lock(m_mutex);
            m_streams[{ action.attempt, action.epoch }] = stream;
        }
        HttpRequest request = post(action.route.front().address, "/v1/pipeline/run", internal::runBody(action));
        request.timeout = Duration(0);
        if (!action.traceParent.empty())
            request.headers.emplace_back("traceparent", action.traceParent);
        HttpHandlers handlers;
        const auto self = weak_from_this();
        handlers.onPiece = [this, stream](std::string_view piece) { stream->onPiece(piece, m_clock.now()); };
        handlers.onResponse = [self, stream](const HttpResponse& response) {
            stream->onResponse(response);
            if (const auto client = self.lock())
                client->endStream(stream);
        };
        handlers.onFailure = [self, stream](const HttpFailure& failure) {
            stream->onFailure(reasonOfFailure(failure), failure.notSent);
            if (const auto client = self.lock())
                client->endStream(stream);
        };
        const auto exchange = m_http.start(std::move(request), std::move(handlers));
        if (!exchange.ok()) {
            stream->onFailure(reasonOf(exchange.status()), true);
            endStream(stream);
            return;
        }
        stream->setExchange(*exchange);
    }

    void EndpointClientImpl::endStream(const std::shared_ptr<RunStream>& stream)
    {
        const std::lock_guard lock(m_mutex);
        m_streams.erase({ stream->action().attempt, stream->action().epoch });
    }

    void EndpointClientImpl::cancel(const CancelRun& action)
    {
        std::shared_ptr<RunStream> stream;
        {
            const std::lock_guard lock(m_mutex);
            if (const auto it = m_streams.find({ action.attempt, action.epoch }); it != m_streams.end())
                stream = it->second;
        }
        if (stream) {
            stream->silence();
            if (const auto exchange = stream->exchange())
                m_http.cancel(*exchange);
        }
        for (const RouteStage& stage : action.route) {
            HttpRequest request
                = post(stage.address, "/v1/pipeline/cancel", internal::cancelBody(action.request, action.epoch));
            // An engine that misses the cancel refuses the old epoch later, so the answer does not matter.
            static_cast<void>(
                m_http.start(std::move(request), { {}, [](const HttpResponse&) {}, [](const HttpFailure&) {} }));
        }
    }

    void EndpointClientImpl::startStateOrder(HttpRequest request, RequestId id, AttemptId attempt, Epoch epoch)
    {
        HttpHandlers handlers;
        handlers.onResponse = [sink = m_sink, id, attempt, epoch](const HttpResponse& response) {
            sink(StateMoved { id, attempt, epoch, response.status == 200 });
        };
        handlers.onFailure = [sink = m_sink, id, attempt, epoch](const HttpFailure&) {
            sink(StateMoved { id, attempt, epoch, false });
        };
        if (!m_http.start(std::move(request), std::move(handlers)).ok())
            m_sink(StateMoved { id, attempt, epoch, false });
    }

    void EndpointClientImpl::importState(const ImportState& action)
    {
        startStateOrder(post(action.to.address, "/v1/kv/import", internal::importBody(action)), action.request,
            action.attempt, action.epoch);
    }

    void EndpointClientImpl::replayState(const ReplayState& action)
    {
        startStateOrder(post(action.upstream.address, "/v1/pipeline/replay", internal::replayBody(action)),
            action.request, action.attempt, action.epoch);
    }

    void EndpointClientImpl::call(const ServiceCall& action)
    {
        const RequestId id = action.call.request;
        const AttemptId attempt = action.call.attempt;
        HttpRequest request;
        request.method = action.method;
        request.url = urlOf(action.call.address, action.path);
        request.body = action.body;
        request.timeout = action.call.timeout;
        if (!action.contentType.empty())
            request.headers.emplace_back("content-type", action.contentType);
        if (!action.idempotencyKey.empty())
            request.headers.emplace_back("idempotency-key", action.idempotencyKey);
        if (!action.traceParent.empty())
            request.headers.emplace_back("traceparent", action.traceParent);
        HttpHandlers handlers;
        handlers.onResponse = [sink = m_sink, id, attempt](HttpResponse response) {
            std::string contentType;
            for (const auto& [name, value] : response.headers) {
                if (name == "content-type")
                    contentType = value;
            }
            sink(ServiceReplied { id, attempt, response.status, std::move(contentType), std::move(response.body) });
        };
        handlers.onFailure = [sink = m_sink, id, attempt](const HttpFailure& failure) {
            const FailureProof proof = failure.notSent ? FailureProof::NotStarted : FailureProof::MayHaveRun;
            sink(ServiceFailed { id, attempt, proof, reasonOfFailure(failure) });
        };
        const auto exchange = m_http.start(std::move(request), std::move(handlers));
        if (!exchange.ok())
            m_sink(ServiceFailed { id, attempt, FailureProof::NotStarted, reasonOf(exchange.status()) });
    }

    void EndpointClientImpl::poll(const PollEndpoints& action)
    {
        const std::lock_guard lock(m_mutex);
        std::map<EndpointId, Polled> polled;
        for (const PollEndpoints::Entry& entry : action.endpoints) {
            const auto known = m_polled.find(entry.endpoint);
            if (known != m_polled.end() && known->second.entry == entry)
                polled.emplace(entry.endpoint, known->second);
            else
                polled.emplace(entry.endpoint, Polled { entry });
        }
        m_polled = std::move(polled);
    }

    void EndpointClientImpl::pollLoad(const EndpointId& endpoint, Polled& polled)
    {
        HttpRequest request;
        request.url = urlOf(polled.entry.address, "/v1/load");
        request.timeout = m_options.probeTimeout;
        HttpHandlers handlers;
        const auto self = weak_from_this();
        handlers.onResponse = [self, sink = m_sink, endpoint](const HttpResponse& response) {
            if (const auto report = internal::parseLoad(endpoint, response); report.ok())
                sink(*report);
            if (const auto client = self.lock())
                client->loadAnswered(endpoint);
        };
        handlers.onFailure = [self, endpoint](const HttpFailure&) {
            if (const auto client = self.lock())
                client->loadAnswered(endpoint);
        };
        polled.loadInFlight = m_http.start(std::move(request), std::move(handlers)).ok();
    }

    void EndpointClientImpl::loadAnswered(const EndpointId& endpoint)
    {
        const std::lock_guard lock(m_mutex);
        if (const auto it = m_polled.find(endpoint); it != m_polled.end())
            it->second.loadInFlight = false;
    }

    void EndpointClientImpl::pollCache(const EndpointId& endpoint, Polled& polled)
    {
        HttpRequest request;
        request.url = urlOf(polled.entry.address, fmt::format("/v1/cache-events?after={}", polled.cacheSequence));
        request.timeout = m_options.probeTimeout;
        HttpHandlers handlers;
        const auto self = weak_from_this();
        handlers.onResponse
            = [self, sink = m_sink, endpoint, after = polled.cacheSequence](const HttpResponse& response) {
                  std::uint64_t sequence = after;
                  for (CacheChanged& change : internal::parseCacheEvents(endpoint, response, sequence))
                      sink(std::move(change));
                  if (const auto client = self.lock())
                      client->cacheAnswered(endpoint, sequence);
              };
        handlers.onFailure = [self, endpoint, after = polled.cacheSequence](const HttpFailure&) {
            if (const auto client = self.lock())
                client->cacheAnswered(endpoint, after);
        };
        polled.cacheInFlight = m_http.start(std::move(request), std::move(handlers)).ok();
    }

    void EndpointClientImpl::cacheAnswered(const EndpointId& endpoint, std::uint64_t sequence)
    {
        const std::lock_guard lock(m_mutex);
        if (const auto it = m_polled.find(endpoint); it != m_polled.end()) {
            it->second.cacheInFlight = false;
            it->second.cacheSequence = sequence;
        }
    }

    void EndpointClientImpl::probe(const std::shared_ptr<RunStream>& stream)
    {
        HttpRequest request;
        request.url = urlOf(stream->action().route.front().address, "/v1/load");
        request.timeout = m_options.probeTimeout;
        request.freshConnection = true;
        HttpHandlers handlers;
        const auto self = weak_from_this();
        const TimePoint asked = m_clock.now();
        handlers.onResponse = [self, stream, asked](const HttpResponse&) {
            const auto client = self.lock();
            if (!client || !stream->probeAnswered(asked))
                return;
            if (const auto exchange = stream->exchange())
                client->m_http.cancel(*exchange);
            client->endStream(stream);
        };
        handlers.onFailure = [self, stream](const HttpFailure&) {
            const auto client = self.lock();
            if (!client || !stream->probeFailed())
                return;
            if (const auto exchange = stream->exchange())
                client->m_http.cancel(*exchange);
            client->endStream(stream);
        };
        if (!m_http.start(std::move(request), std::move(handlers)).ok())
            stream->probeSkipped();
    }

    void EndpointClientImpl::tick()
    {
        const TimePoint now = m_clock.now();
        std::vector<std::shared_ptr<RunStream>> silent;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto& [key, stream] : m_streams) {
                if (stream->startProbe(now, m_options.silence))
                    silent.push_back(stream);
            }
            if (now - m_lastPoll >= m_options.loadPeriod) {
                m_lastPoll = now;
                for (auto& [endpoint, polled] : m_polled) {
                    if (!polled.loadInFlight)
                        pollLoad(endpoint, polled);
                    if (polled.entry.kind == TargetKind::Model && !polled.cacheInFlight)
                        pollCache(endpoint, polled);
                }
            }
        }
        for (const auto& stream : silent)
            probe(stream);
    }

    /// Keeps the shared implementation alive for callbacks that are still under way.
    class SharedEndpointClient final : public EndpointClient {
    public:
        explicit SharedEndpointClient(std::shared_ptr<EndpointClientImpl> impl)
            : m_impl(std::move(impl))
        {
        }

        void run(const StartRun& action) override { m_impl->run(action); }
        void cancel(const CancelRun& action) override { m_impl->cancel(action); }
        void importState(const ImportState& action) override { m_impl->importState(action); }
        void replayState(const ReplayState& action) override { m_impl->replayState(action); }
        void call(const ServiceCall& action) override { m_impl->call(action); }
        void poll(const PollEndpoints& action) override { m_impl->poll(action); }
        void tick() override { m_impl->tick(); }

    private:
        std::shared_ptr<EndpointClientImpl> m_impl;
    };

} // namespace

absl::StatusOr<std::unique_ptr<EndpointClient>> EndpointClient::create(
    HttpClient& http, const Clock& clock, Options options, Sink sink)
{
    if (options.silence <= Duration(0) || options.loadPeriod <= Duration(0))
        return error(Reason::InvalidInput, "silence and load period must be positive");
    return std::make_unique<SharedEndpointClient>(
        std::make_shared<EndpointClientImpl>(http, clock, options, std::move(sink)));
}

} // namespace fuchsialb
