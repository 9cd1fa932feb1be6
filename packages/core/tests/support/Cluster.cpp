#include "Cluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace fuchsialb {

namespace {

    constexpr Duration tickPeriod = std::chrono::milliseconds(10);
    constexpr Duration hostListPeriod = std::chrono::seconds(1);
    constexpr Duration loadPeriod = std::chrono::milliseconds(500);
    constexpr Duration tokenPeriod = std::chrono::milliseconds(20);
    constexpr Duration stageTimeout = std::chrono::milliseconds(200);
    constexpr std::uint32_t layers = 4;
    constexpr std::uint32_t layersPerStage = 2;
    constexpr std::uint32_t replicas = 2;

    const TargetId model { "model" };
    const TargetId service { "registry" };
    const OrganisationId organisation { "observers" };

    std::string dataCentreName(int index) { return fmt::format("dc-{}", index + 1); }

} // namespace

std::string clusterToken(const std::string& prompt, std::uint32_t position)
{
    return fmt::format("{:x}", hash64(prompt, position) & 0xffff);
}

Cluster::Cluster(ClusterOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    // Time 0 is the default of many time points, so the run starts later.
    m_clock.advance(std::chrono::seconds(100));
    seedStore();
    for (int dataCentre = 0; dataCentre < options.dataCentres; ++dataCentre) {
        for (int i = 0; i < options.hostsPerDataCentre; ++i) {
            Host host;
            host.id = HostId(fmt::format("host-{}", m_hosts.size() + 1));
            host.dataCentre = DataCentreId(dataCentreName(dataCentre));
            m_hostIndex.emplace(host.id, static_cast<int>(m_hosts.size()));
            m_hosts.push_back(std::move(host));
        }
    }
    for (Host& host : m_hosts)
        start(host);
}

Configuration Cluster::configuration() const
{
    Configuration configuration;
    configuration.version = ConfigurationVersion(1);
    configuration.targets.emplace(model, Target { model, TargetKind::Model, layers, true, Bytes(8192), 1 });
    configuration.targets.emplace(service, Target { service, TargetKind::Service, 0, false, Bytes(8192), 1 });
    configuration.organisations.emplace(organisation, Organisation { organisation, 1.0 });
    AcceleratorKind kind { AcceleratorKindId("a"), std::chrono::microseconds(500), std::chrono::microseconds(10),
        std::chrono::nanoseconds(1000) };
    configuration.acceleratorKinds.emplace(kind.id, kind);
    LinkClass link { LinkClassId("lan"), std::chrono::microseconds(100), BytesPerSecond(1e9) };
    configuration.linkClasses.emplace(link.id, link);
    configuration.ranks[Rank::Urgent]
        = { 0.5, std::chrono::milliseconds(720), std::chrono::milliseconds(60), std::chrono::seconds(5) };
    configuration.ranks[Rank::Recording]
        = { 0.3, std::chrono::seconds(5), std::chrono::milliseconds(100), std::chrono::seconds(30) };
    configuration.ranks[Rank::Summary]
        = { 0.2, std::chrono::seconds(60), std::chrono::seconds(1), std::chrono::seconds(600) };
    for (int dataCentre = 0; dataCentre < m_options.dataCentres; ++dataCentre) {
        const std::string name = dataCentreName(dataCentre);
        for (std::uint32_t i = 0; dataCentre < m_options.modelDataCentres && i < replicas * layers / layersPerStage;
             ++i) {
            Endpoint runner;
            runner.id = EndpointId(fmt::format("{}-runner-{}", name, i));
            runner.dataCentre = DataCentreId(name);
            runner.group = GroupId(name + "-model");
            runner.target = model;
            runner.address = fmt::format("127.0.0.1:{}", 1000 + configuration.endpoints.size());
            runner.layers.first = i / replicas * layersPerStage;
            runner.layers.end = runner.layers.first + layersPerStage;
            runner.acceleratorKind = kind.id;
            runner.link = link.id;
            runner.maxConcurrency = 8;
            configuration.endpoints.emplace(runner.id, runner);
        }
        Endpoint registry;
        registry.id = EndpointId(name + "-registry");
        registry.dataCentre = DataCentreId(name);
        registry.group = GroupId(name + "-registry");
        registry.target = service;
        registry.address = fmt::format("127.0.0.1:{}", 1000 + configuration.endpoints.size());
        registry.link = link.id;
        registry.maxConcurrency = 16;
        configuration.endpoints.emplace(registry.id, registry);
    }
    return configuration;
}

void Cluster::seedStore()
{
    const std::string encoding = encodeConfiguration(configuration());
    ConfigurationHead head { ConfigurationVersion(1), hash128(encoding), {} };
    for (const std::string& chunk : splitChunks(encoding, 65536)) {
        head.chunks.push_back(hash128(chunk));
        m_store[chunkKey(hash128(chunk))] = { 1, chunk };
    }
    m_store[std::string(configurationHeadKey)] = { 1, encodeHead(head) };
}

std::vector<ListedHost> Cluster::hostList() const
{
    std::vector<ListedHost> list;
    for (const Host& host : m_hosts)
        list.push_back({ host.id, host.dataCentre, host.id.value(), false });
    return list;
}

void Cluster::start(Host& host)
{
    const int index = m_hostIndex.at(host.id);
    ++host.life;
    host.paused = false;
    host.safeToStop = false;
    host.waiting.clear();
    host.random = std::make_unique<Random>(m_random.next());
    RouterOptions options;
    options.self = host.id;
    options.dataCentre = host.dataCentre;
    options.address = host.id.value();
    options.incarnation = Incarnation(host.incarnation++);
    options.claims.unixSeconds = [this] { return elapsed().count() / 1'000'000; };
    options.fault = m_options.routerFault;
    auto router = Router::create(std::move(options), m_clock, *host.random);
    assert(router.ok());
    host.router = std::move(*router);
    const std::uint64_t life = host.life;
    const auto every = [this, index, life](Duration period, auto make) {
        const auto repeat = std::make_shared<std::function<void()>>();
        *repeat = [this, index, life, period, make, weak = std::weak_ptr(repeat)] {
            const Host& owner = m_hosts[static_cast<std::size_t>(index)];
            if (owner.life != life || !owner.router)
                return;
            if (!owner.paused)
                deliver(index, make());
            if (const auto again = weak.lock())
                at(period, [again] { (*again)(); });
        };
        at(Duration(static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(period.count())))),
            [repeat] { (*repeat)(); });
    };
    every(tickPeriod, [] { return Event(Tick {}); });
    every(hostListPeriod, [this] { return Event(HostsListed { hostList() }); });
}

void Cluster::at(Duration after, std::function<void()> action)
{
    m_due.emplace(std::pair(m_clock.now() + after, m_nextDue++), std::move(action));
}

void Cluster::run(Duration duration)
{
    const TimePoint end = m_clock.now() + duration;
    while (!m_due.empty() && m_due.begin()->first.first <= end) {
        auto node = m_due.extract(m_due.begin());
        m_clock.set(std::max(m_clock.now(), node.key().first));
        node.mapped()();
    }
    m_clock.set(end);
}

Duration Cluster::delay()
{
    return Duration(
        100 + static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(m_options.faults.maxDelay.count()))));
}

void Cluster::deliver(int index, Event event)
{
    Host& host = m_hosts[static_cast<std::size_t>(index)];
    if (!host.router)
        return;
    if (host.paused) {
        host.waiting.push_back(std::move(event));
        return;
    }
    host.router->handle(event);
    if (const auto configuration = host.router->configuration()) {
        std::vector<std::uint64_t>& versions = m_record.versions[index];
        if (versions.empty() || versions.back() != configuration->version.value())
            versions.push_back(configuration->version.value());
    }
    carryOut(index);
}

void Cluster::deliverLater(int index, Duration after, Event event)
{
    const std::uint64_t life = m_hosts[static_cast<std::size_t>(index)].life;
    at(after, [this, index, life, event = std::move(event)] {
        if (m_hosts[static_cast<std::size_t>(index)].life == life)
            deliver(index, event);
    });
}

void Cluster::carryOut(int index)
{
    for (const Action& action : m_hosts[static_cast<std::size_t>(index)].router->takeActions())
        std::visit([&](const auto& value) { act(index, value); }, action);
}

bool Cluster::reachable(int a, int b) const
{
    if (m_clock.now() >= m_partitionEnds)
        return true;
    return m_partitioned.contains(a) == m_partitioned.contains(b);
}

void Cluster::act(int index, const SendPeer& action)
{
    const auto to = m_hostIndex.find(action.to);
    if (to == m_hostIndex.end() || !reachable(index, to->second))
        return;
    const int copies = m_random.chance(m_options.faults.messageRepeat) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (m_random.chance(m_options.faults.messageLoss))
            continue;
        // A message outlives a restart of its receiver, as one in a network would.
        at(delay(),
            [this, to = to->second, from = m_hosts[static_cast<std::size_t>(index)].id, message = action.message] {
                deliver(to, PeerReceived { from, message });
            });
    }
}

void Cluster::act(int, const DeliverToken& action)
{
    const auto call = m_record.calls.find(action.request);
    if (call != m_record.calls.end())
        call->second.tokens.push_back(action.text);
}

void Cluster::act(int index, const Finish& action)
{
    const auto call = m_record.calls.find(action.request);
    if (call == m_record.calls.end())
        return;
    call->second.results.push_back(action.result);
    auto node = m_retries.extract(action.request);
    if (node.empty() || action.result.outcome == Outcome::Completed)
        return;
    const auto& [key, retries] = node.mapped();
    if (retries <= 0)
        return;
    const int other = (index + 1 + static_cast<int>(m_random.below(static_cast<std::uint64_t>(hosts() - 1)))) % hosts();
    at(action.result.retryAfter.value_or(std::chrono::seconds(1)),
        [this, other, key = key, retries = retries] { callService(other, key, retries - 1); });
}

std::optional<std::uint32_t> Cluster::deadStage(const StartRun& run) const
{
    for (std::uint32_t i = 0; i < run.route.size(); ++i) {
        const auto back = m_endpointBackAt.find(run.route[i].endpoint.value());
        if (back != m_endpointBackAt.end() && m_clock.now() < back->second)
            return i;
    }
    return std::nullopt;
}

bool Cluster::superseded(const StartRun& run) const
{
    return std::any_of(run.route.begin(), run.route.end(), [&](const RouteStage& stage) {
        const auto newest = m_newestEpoch.find({ stage.address, run.request });
        return newest != m_newestEpoch.end() && newest->second > run.epoch;
    });
}

void Cluster::act(int index, const StartRun& action)
{
    if (const auto dead = deadStage(action); dead && *dead == 0) {
        deliverLater(index, delay(),
            RunFailed {
                action.request, action.attempt, action.epoch, 0, FailureProof::NotStarted, Reason::ConnectFailed });
        return;
    }
    if (superseded(action)) {
        deliverLater(index, delay(),
            RunFailed { action.request, action.attempt, action.epoch, 0, FailureProof::NotStarted, Reason::OldEpoch });
        return;
    }
    for (const RouteStage& stage : action.route)
        m_newestEpoch[{ stage.address, action.request }] = action.epoch;
    const auto first = static_cast<std::uint32_t>(action.generated.size());
    at(tokenPeriod + delay(), [this, index, action, first] { stepRun(index, action, first); });
}

void Cluster::stepRun(int index, const StartRun& run, std::uint32_t position)
{
    if (superseded(run))
        return;
    std::optional<std::uint32_t> failed = deadStage(run);
    if (!failed && m_random.chance(m_options.faults.stageFails))
        failed = static_cast<std::uint32_t>(m_random.below(run.route.size()));
    if (failed) {
        deliverLater(index, stageTimeout,
            RunFailed { run.request, run.attempt, run.epoch, *failed, FailureProof::MayHaveRun, Reason::StageFailed });
        return;
    }
    ClusterStep step { run.request, run.epoch, position, {} };
    for (const RouteStage& stage : run.route)
        step.layers.push_back(stage.layers);
    m_record.steps.push_back(std::move(step));
    const int copies = m_random.chance(m_options.faults.tokenRepeat) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        // One connection keeps its order; a repeated token stands for what an older connection still delivers.
        deliverLater(index, i == 0 ? Duration(50) : delay(),
            TokenReceived { run.request, run.attempt, run.epoch, position, clusterToken(run.prompt, position) });
    }
    if (position + 1 < run.maxTokens) {
        at(tokenPeriod, [this, index, run, position] { stepRun(index, run, position + 1); });
        return;
    }
    deliverLater(index, Duration(100), RunFinished { run.request, run.attempt, run.epoch, "length" });
}

void Cluster::act(int, const CancelRun& action)
{
    for (const RouteStage& stage : action.route) {
        Epoch& newest = m_newestEpoch[{ stage.address, action.request }];
        newest = std::max(newest, Epoch(action.epoch.value() + 1));
    }
}

void Cluster::act(int index, const ImportState& action)
{
    deliverLater(index, delay(), StateMoved { action.request, action.attempt, action.epoch, m_random.chance(0.9) });
}

void Cluster::act(int index, const ReplayState& action)
{
    deliverLater(index, delay(), StateMoved { action.request, action.attempt, action.epoch, m_random.chance(0.9) });
}

void Cluster::act(int index, const ServiceCall& action)
{
    const RequestId request = action.call.request;
    const AttemptId attempt = action.call.attempt;
    const auto back = m_endpointBackAt.find(action.call.endpoint.value());
    const bool dead = back != m_endpointBackAt.end() && m_clock.now() < back->second;
    if (dead || m_random.chance(m_options.faults.callRefused)) {
        deliverLater(
            index, delay(), ServiceFailed { request, attempt, FailureProof::NotStarted, Reason::ConnectFailed });
        return;
    }
    at(delay(), [this, action] {
        m_record.executions.push_back(
            { action.call.request, action.idempotencyKey, action.call.endpoint.value(), elapsed() });
    });
    if (m_random.chance(m_options.faults.callAnswerLost)) {
        deliverLater(index, m_options.faults.maxDelay * 2,
            ServiceFailed { request, attempt, FailureProof::MayHaveRun, Reason::ConnectionLost });
        return;
    }
    deliverLater(
        index, m_options.faults.maxDelay * 2, ServiceReplied { request, attempt, 200, "text/plain", action.body });
}

void Cluster::answerStore(int index, StoreOperationId operation, const std::function<StoreAnswer()>& apply, bool write)
{
    ++m_storeOperations;
    StoreAnswer failed;
    failed.operation = operation;
    failed.kind = StoreAnswer::Kind::Failed;
    if (m_clock.now() < m_storeBackAt || m_random.chance(m_options.faults.storeRefused)) {
        deliverLater(index, delay(), failed);
        return;
    }
    const bool lost = m_random.chance(m_options.faults.storeAnswerLost);
    at(delay(), [this, index, apply, lost, write, failed] {
        StoreAnswer answer = apply();
        if (lost) {
            answer = failed;
            answer.kind = write ? StoreAnswer::Kind::Lost : StoreAnswer::Kind::Failed;
        }
        deliverLater(index, delay(), answer);
    });
}

void Cluster::act(int index, const StoreRead& action)
{
    answerStore(
        index, action.operation,
        [this, action] {
            StoreAnswer answer;
            answer.operation = action.operation;
            const auto value = m_store.find(action.key);
            answer.kind = value == m_store.end() ? StoreAnswer::Kind::Missing : StoreAnswer::Kind::Ok;
            if (value != m_store.end()) {
                answer.version = KeyVersion(value->second.version);
                answer.value = value->second.bytes;
            }
            return answer;
        },
        false);
}

void Cluster::act(int index, const StoreCompareAndSwap& action)
{
    answerStore(
        index, action.operation,
        [this, action] {
            StoreAnswer answer;
            answer.operation = action.operation;
            Value& value = m_store[action.key];
            if (value.version != action.expected.value()) {
                answer.kind = StoreAnswer::Kind::Conflict;
                answer.version = KeyVersion(value.version);
                return answer;
            }
            value = { value.version + 1, action.value };
            answer.kind = StoreAnswer::Kind::Ok;
            answer.version = KeyVersion(value.version);
            return answer;
        },
        true);
}

void Cluster::act(int index, const StoreWatch& action)
{
    ++m_storeOperations;
    pollWatch(index, action, m_clock.now() + action.wait);
}

void Cluster::pollWatch(int index, const StoreWatch& watch, TimePoint until)
{
    StoreAnswer answer;
    answer.operation = watch.operation;
    if (m_clock.now() < m_storeBackAt) {
        deliverLater(index, delay(), answer);
        return;
    }
    const Value& value = m_store[watch.key];
    if (value.version != watch.after.value()) {
        answer.kind = StoreAnswer::Kind::Ok;
        answer.version = KeyVersion(value.version);
        answer.value = value.bytes;
        deliverLater(index, delay(), answer);
    } else if (m_clock.now() >= until) {
        answer.kind = StoreAnswer::Kind::Missing;
        deliverLater(index, delay(), answer);
    } else {
        at(std::chrono::milliseconds(50), [this, index, watch, until] { pollWatch(index, watch, until); });
    }
}

void Cluster::act(int, const PollEndpoints&) { }

void Cluster::submit(int index, Request request, std::string key, int retries)
{
    const RequestId id = request.id;
    ClusterCall call;
    call.request = request;
    call.host = index;
    Host& host = m_hosts[static_cast<std::size_t>(index)];
    call.entryLost = !host.router;
    m_record.calls.emplace(id, std::move(call));
    if (!key.empty())
        m_retries.emplace(id, std::pair(std::move(key), retries));
    deliver(index, RequestArrived { std::move(request) });
}

void Cluster::callService(int host, const std::string& key, int retries)
{
    Request request;
    request.id = RequestId(m_random.bits128());
    request.organisation = organisation;
    request.rank = Rank::Recording;
    request.kind = TargetKind::Service;
    request.target = service;
    request.idempotencyKey = key;
    request.method = "POST";
    request.path = "/sheets";
    request.body = "body of " + key;
    request.bodyDigest = hash64(request.body);
    submit(host, std::move(request), key, retries);
}

void Cluster::complete(int host, std::uint32_t maxTokens, std::optional<Duration> deadline)
{
    Request request;
    request.id = RequestId(m_random.bits128());
    request.organisation = organisation;
    request.rank = Rank::Urgent;
    request.kind = TargetKind::Model;
    request.target = model;
    request.timeLeft = deadline;
    request.prompt = fmt::format("prompt {}", m_random.below(1000));
    request.promptTokens = 3;
    request.maxTokens = maxTokens;
    submit(host, std::move(request), {}, 0);
}

void Cluster::crash(int index)
{
    Host& host = m_hosts[static_cast<std::size_t>(index)];
    host.router.reset();
    ++host.life;
    for (auto& [id, call] : m_record.calls) {
        if (call.host == index && call.results.empty())
            call.entryLost = true;
    }
    // A restarted host knows no version yet.
    m_record.versions.erase(index);
}

void Cluster::restart(int index)
{
    Host& host = m_hosts[static_cast<std::size_t>(index)];
    if (!host.router)
        start(host);
}

void Cluster::pause(int index, Duration duration)
{
    Host& host = m_hosts[static_cast<std::size_t>(index)];
    if (!host.router)
        return;
    host.paused = true;
    const std::uint64_t life = host.life;
    at(duration, [this, index, life] {
        Host& woken = m_hosts[static_cast<std::size_t>(index)];
        if (woken.life != life)
            return;
        woken.paused = false;
        for (Event& event : std::exchange(woken.waiting, {}))
            deliver(index, std::move(event));
    });
}

void Cluster::drain(int index) { deliver(index, DrainRequested {}); }

void Cluster::partition(std::set<int> side, Duration duration)
{
    m_partitioned = std::move(side);
    m_partitionEnds = m_clock.now() + duration;
}

void Cluster::storeOutage(Duration duration) { m_storeBackAt = m_clock.now() + duration; }

void Cluster::crashEndpoint(const std::string& endpoint, Duration duration)
{
    m_endpointBackAt[endpoint] = m_clock.now() + duration;
}

} // namespace fuchsialb
