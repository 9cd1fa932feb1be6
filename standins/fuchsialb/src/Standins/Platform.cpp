#include "Platform.h"

#include <utility>

namespace fuchsialb::standins {

namespace {

    // Leases run out this much later at most.
    constexpr std::chrono::milliseconds leaseCheckPeriod { 50 };
    // An empty answer ends a watch after this long, whatever the client asked for.
    constexpr std::uint64_t maxWatchMilliseconds = 10'000;
    constexpr std::int64_t maxValueBytes = 1'048'576;

    constexpr std::string_view keyPath = "/v1/kv/";

    std::optional<std::uint64_t> expectation(const ServerRequest& request)
    {
        const std::string text = request.parameter("expect");
        return text.empty() ? std::nullopt : std::optional(numberOr(text, ~std::uint64_t { 0 }));
    }

} // namespace

absl::StatusOr<std::unique_ptr<Platform>> Platform::create(Options options)
{
    std::unique_ptr<Platform> platform(new Platform(std::move(options)));
    const absl::Status status = platform->start();
    if (!status.ok())
        return status;
    return platform;
}

Platform::Platform(Options options)
    : m_options(std::move(options))
    , m_loop(Loop::create())
    , m_hosts(m_options.hosts)
{
}

Platform::~Platform()
{
    m_server.reset();
    m_loop->stop();
}

absl::Status Platform::start()
{
    HttpServer::Options options;
    options.address = m_options.address;
    options.port = m_options.port;
    options.maxBody = Bytes(maxValueBytes);
    auto server = HttpServer::create(options, [this](ServerRequest request, Reply reply) {
        m_loop->post([this, request = std::move(request), reply = std::move(reply)] { handle(request, reply); });
    });
    if (!server.ok())
        return server.status();
    m_server = std::move(*server);
    m_loop->post([this] { expireLater(); });
    return absl::OkStatus();
}

void Platform::handle(const ServerRequest& request, const Reply& reply)
{
    if (request.path == "/v1/faults")
        return reply->send(onFaults(request));
    if (request.path == "/v1/stats")
        return reply->send(jsonResponse(200, { { "calls", m_calls }, { "watching", m_watches.size() } }));
    if (request.path == "/v1/hosts" && request.method == "PUT")
        return reply->send(onHosts(request));
    count(request);
    if (m_outage)
        return reply->abort();
    const bool loseAnswer = m_loseAnswers > 0 && m_random.chance(m_loseAnswers);
    if (m_delay == Duration::zero())
        return act(request, reply, loseAnswer);
    m_loop->after(m_delay, [this, request, reply, loseAnswer] { act(request, reply, loseAnswer); });
}

void Platform::count(const ServerRequest& request)
{
    const bool isKey = request.path.starts_with(keyPath);
    const bool isLease = request.path.starts_with("/v1/leases");
    const std::string path = isKey ? "/v1/kv" : isLease ? "/v1/leases" : request.path;
    ++m_calls[request.method + " " + path];
}

void Platform::act(const ServerRequest& request, const Reply& reply, bool loseAnswer)
{
    if (m_outage)
        return reply->abort();
    if (request.path == "/v1/watch" && !loseAnswer)
        return watch(request, reply);
    const std::uint64_t before = m_store.revision();
    HttpResponse response = respond(request);
    if (m_store.revision() != before)
        answerWatches();
    if (loseAnswer)
        reply->abort();
    else
        reply->send(std::move(response));
}

HttpResponse Platform::respond(const ServerRequest& request)
{
    if (request.path.starts_with(keyPath))
        return onKey(request);
    if (request.path == "/v1/list")
        return onList(request);
    if (request.path.starts_with("/v1/leases"))
        return onLeases(request);
    if (request.path == "/v1/hosts")
        return onHosts(request);
    return errorResponse(404, "no-such-path");
}

HttpResponse Platform::onKey(const ServerRequest& request)
{
    const std::string key = request.path.substr(keyPath.size());
    if (request.method == "GET") {
        const auto* entry = m_store.find(key);
        if (!entry)
            return errorResponse(404, "no-such-key");
        return { 200, { { "version", std::to_string(entry->version) } }, entry->value };
    }
    const auto expect = expectation(request);
    if (request.method == "PUT") {
        const auto version = m_store.put(key, request.body, expect, numberOr(request.parameter("lease"), 0));
        if (version)
            return { 200, { { "version", std::to_string(*version) } }, {} };
    } else if (request.method == "DELETE") {
        if (m_store.remove(key, expect))
            return { 200, {}, {} };
    } else
        return errorResponse(405, "no-such-method");
    const auto* entry = m_store.find(key);
    return { 409, { { "version", std::to_string(entry ? entry->version : 0) } }, {} };
}

HttpResponse Platform::onList(const ServerRequest& request) const
{
    Json keys = Json::array();
    for (const auto& [key, entry] : m_store.list(request.parameter("prefix")))
        keys.push_back({ { "key", key }, { "version", entry.version } });
    return jsonResponse(200, { { "revision", m_store.revision() }, { "keys", std::move(keys) } });
}

HttpResponse Platform::onLeases(const ServerRequest& request)
{
    const TimePoint now = SystemClock().now();
    constexpr std::string_view prefix = "/v1/leases/";
    if (!request.path.starts_with(prefix)) {
        const std::chrono::milliseconds ttl(numberOr(request.parameter("ttl_ms"), 1000));
        return jsonResponse(200, { { "lease", m_store.grantLease(ttl, now) } });
    }
    const std::string id = request.path.substr(prefix.size(), request.path.find('/', prefix.size()) - prefix.size());
    if (!m_store.renewLease(numberOr(id, 0), now))
        return errorResponse(404, "no-such-lease");
    return jsonResponse(200, Json::object());
}

HttpResponse Platform::onHosts(const ServerRequest& request)
{
    if (request.method != "PUT")
        return { 200, { { "content-type", "application/json" } }, m_hosts };
    m_loop->after(m_options.hostLag, [this, hosts = request.body] { m_hosts = hosts; });
    return jsonResponse(200, Json::object());
}

HttpResponse Platform::onFaults(const ServerRequest& request)
{
    const Json faults = parseObject(request.body);
    m_outage = field(faults, "outage", false);
    m_delay = std::chrono::milliseconds(field<std::int64_t>(faults, "delay_ms", 0));
    m_loseAnswers = field(faults, "lose_answers", 0.0);
    m_random = Random(field<std::uint64_t>(faults, "seed", 1));
    if (m_outage) {
        for (const Watch& watch : std::exchange(m_watches, {}))
            watch.reply->abort();
    }
    return jsonResponse(200, Json::object());
}

void Platform::watch(const ServerRequest& request, const Reply& reply)
{
    Watch watch { request.parameter("prefix"), numberOr(request.parameter("after"), 0), reply };
    const std::uint64_t wait
        = std::min(numberOr(request.parameter("wait_ms"), maxWatchMilliseconds), maxWatchMilliseconds);
    if (!m_store.changes(watch.prefix, watch.after).empty() || wait == 0)
        return reply->send(changesResponse(watch));
    m_watches.push_back(std::move(watch));
    const auto remove = [this, reply] {
        return std::erase_if(m_watches, [&](const Watch& waiting) { return waiting.reply == reply; }) > 0;
    };
    reply->onClosed([this, remove] { m_loop->post([remove] { remove(); }); });
    m_loop->after(std::chrono::milliseconds(wait), [this, remove, ended = m_watches.back()] {
        if (remove())
            ended.reply->send(changesResponse(ended));
    });
}

HttpResponse Platform::changesResponse(const Watch& watch) const
{
    Json changes = Json::array();
    for (const auto& change : m_store.changes(watch.prefix, watch.after))
        changes.push_back({ { "key", change.key }, { "revision", change.revision }, { "version", change.version } });
    return jsonResponse(200, { { "revision", m_store.revision() }, { "changes", std::move(changes) } });
}

void Platform::answerWatches()
{
    for (auto waiting = m_watches.begin(); waiting != m_watches.end();) {
        if (m_store.changes(waiting->prefix, waiting->after).empty()) {
            ++waiting;
            continue;
        }
        waiting->reply->send(changesResponse(*waiting));
        waiting = m_watches.erase(waiting);
    }
}

void Platform::expireLater()
{
    if (m_store.expireLeases(SystemClock().now()))
        answerWatches();
    m_loop->after(leaseCheckPeriod, [this] { expireLater(); });
}

} // namespace fuchsialb::standins
