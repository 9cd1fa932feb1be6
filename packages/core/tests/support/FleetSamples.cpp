#include "FleetSamples.h"

#include <fmt/format.h>

namespace fuchsialb::test {

EngineProfile fleetEngine()
{
    EngineProfile engine;
    engine.layers = 40;
    engine.layerMegabytes = 1000;
    engine.cacheBytesPerToken = 40 * 20'000.0;
    engine.slots = 96;
    engine.stepMilliseconds = 1;
    engine.loadTime = 4s;
    engine.usualPromptTokens = 500;
    engine.usualOutputTokens = 100;
    engine.accelerators = { { AcceleratorKindId("large"), 20'000, 1 }, { AcceleratorKindId("middle"), 10'000, 4 },
        { AcceleratorKindId("small"), 6'000, 8 } };
    return engine;
}

TargetId fleetService() { return TargetId("reading"); }

std::vector<PlacementNode> fleetNodes()
{
    std::vector<PlacementNode> nodes { { EndpointId("r0"), AcceleratorKindId("large"), {} } };
    for (int i = 1; i <= 4; ++i)
        nodes.push_back({ EndpointId(fmt::format("r{}", i)), AcceleratorKindId("middle"), {} });
    for (int i = 5; i <= 8; ++i)
        nodes.push_back({ EndpointId(fmt::format("r{}", i)), AcceleratorKindId("small"), {} });
    return nodes;
}

std::vector<RunnerEntry> fleetEntries()
{
    std::vector<RunnerEntry> entries;
    for (const PlacementNode& node : fleetNodes()) {
        RunnerEntry entry;
        entry.id = node.runner;
        entry.address = fmt::format("10.0.0.{}:80", entries.size() + 1);
        entry.dataCentre = DataCentreId("east");
        entry.service = fleetService();
        entry.accelerator = node.accelerator;
        entry.startedAt = 1000;
        entries.push_back(entry);
    }
    return entries;
}

std::vector<RunnerEntry> placedEntries(std::uint32_t parts)
{
    std::vector<RunnerEntry> entries;
    const std::uint32_t size = fleetEngine().layers / parts;
    for (const char* dataCentre : { "east", "west" }) {
        for (std::uint32_t i = 0; i < parts; ++i) {
            RunnerEntry entry;
            entry.id = EndpointId(fmt::format("{}-{}", dataCentre, i));
            entry.address = fmt::format("10.{}.0.{}:80", dataCentre[0] == 'e' ? 1 : 2, i + 1);
            entry.dataCentre = DataCentreId(dataCentre);
            entry.service = fleetService();
            entry.accelerator = AcceleratorKindId("large");
            entry.layers = { i * size, (i + 1) * size };
            entry.startedAt = 1000;
            entries.push_back(entry);
        }
    }
    return entries;
}

} // namespace fuchsialb::test
