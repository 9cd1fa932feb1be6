#include "Engine.h"

#include <utility>

namespace fuchsialb::standins {

absl::StatusOr<std::unique_ptr<Engine>> Engine::create(Options options, std::shared_ptr<HttpClient> client)
{
    std::unique_ptr<Engine> engine(new Engine(std::move(options), std::move(client)));
    const absl::Status status = engine->start();
    if (!status.ok())
        return status;
    return engine;
}

Engine::Engine(Options options, std::shared_ptr<HttpClient> client)
    : m_options(std::move(options))
    , m_client(std::move(client))
    , m_loop(Loop::create())
    , m_states(m_options.layers, m_options.cacheTokens)
{
}

Engine::~Engine()
{
    // The loop ends first, since a crash destroys the server on it. Tasks that are posted later are dropped.
    m_loop->stop();
    m_server.reset();
}

absl::Status Engine::start()
{
    HttpServer::Options options;
    options.address = m_options.address;
    options.port = m_options.port;
    // An exported state of a long prompt is large.
    options.maxBody = Bytes(256'000'000);
    auto server = HttpServer::create(options, [this](ServerRequest request, Reply reply) {
        m_loop->post([this, request = std::move(request), reply = std::move(reply)] {
            if (request.path == "/v1/faults")
                onFaults(parseObject(request.body), reply);
            else
                guard([this, request, reply] { handle(request, reply); });
        });
    });
    if (!server.ok())
        return server.status();
    m_port = (*server)->port();
    m_loop->post([this, handle = std::make_shared<std::unique_ptr<HttpServer>>(std::move(*server))] {
        m_server = std::move(*handle);
        reportLoad();
        keepAlive();
    });
    return absl::OkStatus();
}

void Engine::guard(std::function<void()> task)
{
    if (m_crashed)
        return;
    if (m_hung)
        m_held.push_back(std::move(task));
    else
        task();
}

std::function<void(std::function<void()>)> Engine::poster()
{
    // Answers of other stages may come when this engine is gone; its loop then drops them.
    return [this, weak = std::weak_ptr(m_loop)](std::function<void()> task) {
        if (const auto loop = weak.lock())
            loop->post([this, task = std::move(task)] { guard(task); });
    };
}

void Engine::crash()
{
    m_crashed = true;
    m_held.clear();
    m_runs.clear();
    m_waiting.clear();
    m_server.reset();
    if (m_options.onCrash)
        m_options.onCrash();
}

} // namespace fuchsialb::standins
