#include "Service.h"

#include <fmt/format.h>

#include <utility>

namespace fuchsialb::standins {

absl::StatusOr<std::unique_ptr<Service>> Service::create(Options options)
{
    std::unique_ptr<Service> service(new Service(std::move(options)));
    const absl::Status status = service->start();
    if (!status.ok())
        return status;
    return service;
}

Service::Service(Options options)
    : m_options(std::move(options))
    , m_loop(Loop::create())
{
}

Service::~Service()
{
    m_server.reset();
    m_loop->stop();
}

absl::Status Service::start()
{
    HttpServer::Options options;
    options.address = m_options.address;
    options.port = m_options.port;
    auto server = HttpServer::create(options, [this](ServerRequest request, Reply reply) {
        m_loop->post([this, request = std::move(request), reply = std::move(reply)] { handle(request, reply); });
    });
    if (!server.ok())
        return server.status();
    m_server = std::move(*server);
    m_loop->post([this] { reportLoad(); });
    return absl::OkStatus();
}

void Service::handle(const ServerRequest& request, const Reply& reply)
{
    if (request.path == "/v1/faults") {
        onFaults(parseObject(request.body));
        return reply->send(jsonResponse(200, Json::object()));
    }
    if (request.path == "/v1/record")
        return reply->send(jsonResponse(200, { { "id", m_options.id }, { "calls", m_calls } }));
    if (m_hung) {
        m_held.push_back(reply);
        return;
    }
    if (request.path == "/v1/load")
        return reply->send(
            jsonResponse(200, { { "id", m_options.id }, { "running", m_reportedRunning }, { "waiting", 0 } }));
    if (m_random.chance(m_failBefore))
        return reply->send(errorResponse(503, "refused-before-running"));
    run(request, reply);
}

void Service::run(const ServerRequest& request, const Reply& reply)
{
    const std::string* header = request.header("idempotency-key");
    const std::string key = header ? *header : std::string();
    if (m_options.deduplicates && !key.empty() && !m_keys.insert(key).second)
        return reply->send(errorResponse(409, "repeated-key"));
    const std::string digest = fmt::format("{:016x}", hash64(request.body));
    m_calls.push_back({ { "method", request.method }, { "path", request.path }, { "query", request.query },
        { "idempotency_key", key }, { "body_digest", digest } });
    const Json answer { { "endpoint", m_options.id }, { "call", m_calls.size() }, { "body_digest", digest } };
    ++m_running;
    const bool dropped = m_random.chance(m_dropAnswer);
    m_loop->after(m_options.work + m_delay, [this, reply, answer, dropped] {
        --m_running;
        if (dropped)
            reply->abort();
        else
            reply->send(jsonResponse(200, answer));
    });
}

void Service::onFaults(const Json& faults)
{
    m_failBefore = field(faults, "fail_before", 0.0);
    m_dropAnswer = field(faults, "drop_answer", 0.0);
    m_delay = std::chrono::milliseconds(field<std::int64_t>(faults, "delay_ms", 0));
    m_random = Random(field<std::uint64_t>(faults, "seed", 1));
    m_hung = field(faults, "hang", false);
    // Calls that came during the hang have not run; their connections are closed.
    if (!m_hung)
        m_held.clear();
}

void Service::reportLoad()
{
    m_reportedRunning = m_running;
    m_loop->after(std::max<Duration>(m_options.reportLag, std::chrono::milliseconds(1)), [this] { reportLoad(); });
}

} // namespace fuchsialb::standins
