#include "CoreLoop.h"

#include <utility>

namespace fuchsialb {

namespace {

    constexpr Duration tickPeriod = std::chrono::milliseconds(5);
    constexpr Duration publishPeriod = std::chrono::milliseconds(100);

} // namespace

CoreLoop::CoreLoop(Ring<Event>& ring, Parts parts)
    : m_ring(ring)
    , m_parts(std::move(parts))
    , m_status(std::make_shared<const RouterStatus>(m_parts.router->status()))
{
}

CoreLoop::~CoreLoop() { stop(); }

void CoreLoop::start()
{
    m_thread = std::thread([this] { run(); });
}

void CoreLoop::stop()
{
    m_stop = true;
    if (m_thread.joinable())
        m_thread.join();
}

std::shared_ptr<const RouterStatus> CoreLoop::status() const
{
    const std::lock_guard lock(m_statusMutex);
    return m_status;
}

void CoreLoop::run()
{
    Event event;
    while (!m_stop) {
        if (m_ring.popWait(event, tickPeriod))
            handle(std::move(event));
        const TimePoint now = m_parts.clock->now();
        if (now - m_lastTick >= tickPeriod) {
            m_lastTick = now;
            handle(Tick {});
            m_parts.endpoints->tick();
        }
        if (now - m_lastPublish >= publishPeriod) {
            m_lastPublish = now;
            publish();
        }
    }
}

void CoreLoop::handle(Event event)
{
    if (const auto* answer = std::get_if<StoreAnswer>(&event))
        m_parts.metrics->storeAnswer(answer->kind);
    m_parts.tracer->before(event);
    m_parts.router->handle(event);
    carryOut();
}

void CoreLoop::carryOut()
{
    for (Action& action : m_parts.router->takeActions()) {
        m_parts.tracer->before(action);
        std::visit([this](const auto& value) { act(value); }, action);
    }
    auto inForce = m_parts.router->configuration();
    if (inForce != m_configuration) {
        m_configuration = std::move(inForce);
        m_parts.logger->log(LogLine("configuration-in-force")
                                .add("version", static_cast<std::int64_t>(m_configuration->version.value())));
        m_parts.outputs.configurationInForce(*m_configuration);
    }
}

void CoreLoop::publish()
{
    auto status = std::make_shared<const RouterStatus>(m_parts.router->status());
    const std::lock_guard lock(m_statusMutex);
    m_status = std::move(status);
}

void CoreLoop::act(const StoreRead& action)
{
    m_parts.metrics->storeCall("read");
    m_parts.outputs.read(action);
}

void CoreLoop::act(const StoreCompareAndSwap& action)
{
    m_parts.metrics->storeCall("compare-and-swap");
    m_parts.outputs.compareAndSwap(action);
}

void CoreLoop::act(const StoreWatch& action)
{
    m_parts.metrics->storeCall("watch");
    m_parts.outputs.watch(action);
}

void CoreLoop::act(const Decision& action)
{
    m_parts.metrics->decision(action.reason);
    m_parts.decisions->add(unixMicroseconds(), action);
}

} // namespace fuchsialb
