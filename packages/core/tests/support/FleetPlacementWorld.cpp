#include "FleetPlacementWorld.h"

#include "FleetSamples.h"

#include <fmt/format.h>

#include <algorithm>

namespace fuchsialb::test {

EngineProfile mixedEngine()
{
    EngineProfile engine;
    engine.layers = 80;
    engine.layerMegabytes = 1750;
    engine.cacheBytesPerToken = 590'000;
    engine.slots = 192;
    engine.stepMilliseconds = 0.85;
    engine.stepMillisecondsPerSequence = 0.0046;
    engine.stepMillisecondsPerThousandTokens = 0.006;
    engine.loadTime = 14s;
    engine.usualPromptTokens = 770;
    engine.usualOutputTokens = 170;
    engine.accelerators = { { AcceleratorKindId("huge"), 72'000, 1.4 }, { AcceleratorKindId("large"), 72'000, 2.4 },
        { AcceleratorKindId("middle"), 21'600, 16 }, { AcceleratorKindId("small"), 14'400, 5.3 } };
    return engine;
}

PlacementWorld::PlacementWorld(EngineProfile engine)
    : m_engine(std::move(engine))
    , m_driver(DataCentreId("east"), fleetService())
{
}

void PlacementWorld::add(const std::string& name, const std::string& accelerator, int count)
{
    for (int i = 0; i < count; ++i)
        addPlaced(name, accelerator, {});
}

void PlacementWorld::addPlaced(const std::string& name, const std::string& accelerator, const LayerRange& layers)
{
    RunnerEntry entry;
    int number = 0;
    do {
        entry.id = EndpointId(fmt::format("{}-{}", name, number++));
    } while (m_directory.find(entry.id));
    entry.address = fmt::format("10.0.0.{}:80", ++m_added);
    entry.dataCentre = DataCentreId("east");
    entry.service = fleetService();
    entry.accelerator = AcceleratorKindId(accelerator);
    entry.layers = layers;
    entry.startedAt = 1000;
    m_directory.put(entry);
}

void PlacementWorld::remove(const EndpointId& runner)
{
    m_directory.remove(runner);
    std::erase_if(m_loads, [&](const Load& load) { return load.runner == runner; });
}

void PlacementWorld::settle() { run(10s); }

void PlacementWorld::run(Duration duration)
{
    constexpr Duration tick = 100ms;
    const TimePoint end = m_now + duration;
    for (; m_now < end; m_now += tick) {
        finishLoads();
        for (const PlacementOrder& order : m_driver.nextOrders(m_directory, m_ledger, m_engine, m_now, 1s)) {
            const RunnerEntry& entry = m_directory.find(order.runner)->entry;
            m_memoryKept
                = m_memoryKept && order.layers.count() <= m_engine.maxLayers(*m_engine.accelerator(entry.accelerator));
            std::uint32_t added = 0;
            for (std::uint32_t layer = order.layers.first; layer < order.layers.end; ++layer)
                added += layer >= entry.layers.first && layer < entry.layers.end ? 0 : 1;
            m_driver.handleOutcome(order.runner, OrderOutcome::Begun, m_now);
            m_directory.recordOrder(order.runner);
            m_loads.push_back({ order.runner, order.layers, m_now + m_engine.loadTime * added / m_engine.layers });
        }
    }
    finishLoads();
}

void PlacementWorld::finishLoads()
{
    for (const Load& load : m_loads) {
        if (load.doneAt > m_now)
            continue;
        RunnerEntry entry = m_directory.find(load.runner)->entry;
        entry.layers = load.layers;
        m_directory.put(entry);
    }
    std::erase_if(m_loads, [&](const Load& load) { return load.doneAt <= m_now; });
}

std::vector<EndpointId> PlacementWorld::runners() const
{
    std::vector<EndpointId> list;
    for (const auto& [id, runner] : m_directory.runners())
        list.push_back(id);
    return list;
}

std::vector<PlacementNode> PlacementWorld::nodes() const
{
    std::vector<PlacementNode> list;
    for (const auto& [id, runner] : m_directory.runners())
        list.push_back({ id, runner.entry.accelerator, runner.entry.layers });
    return list;
}

std::size_t PlacementWorld::holders(std::uint32_t layer) const
{
    const auto list = nodes();
    return static_cast<std::size_t>(std::count_if(list.begin(), list.end(),
        [&](const PlacementNode& node) { return layer >= node.layers.first && layer < node.layers.end; }));
}

PlacementRoom PlacementWorld::room() const { return PlacementPlanner::room(nodes(), m_engine, std::nullopt); }

bool PlacementWorld::hasGap() const { return PlacementPlanner::hasGap(nodes(), m_engine); }

PathRequest PlacementWorld::request(const std::string& id) const
{
    PathRequest request { fleetService(), DataCentreId("east"), m_engine.usualTokens(), 1, {} };
    request.requestId = id;
    return request;
}

std::size_t PlacementWorld::admitStreams(std::size_t most)
{
    const PathFinder finder(m_directory, m_ledger);
    for (std::size_t i = 0; i < most; ++i) {
        const std::string id = fmt::format("request-{}", i);
        const auto path = finder.find(request(id), m_engine, m_now);
        if (!path)
            return i;
        m_ledger.reserve(*path, m_engine.usualTokens());
        m_longestPath = std::max(m_longestPath, path->size());
    }
    return most;
}

std::optional<Path> PlacementWorld::pathOfUnawareHost(std::size_t requestNumber) const
{
    const std::string id = fmt::format("request-{}", requestNumber);
    const LoadLedger empty;
    return PathFinder(m_directory, empty).find(request(id), m_engine, m_now);
}

} // namespace fuchsialb::test
