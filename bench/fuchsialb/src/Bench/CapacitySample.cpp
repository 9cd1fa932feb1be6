#include "CapacitySample.h"

#include <fmt/format.h>

#include <chrono>

namespace fuchsialb::bench {

using namespace std::chrono_literals;

namespace {

    constexpr std::uint32_t stages = 4;
    constexpr std::uint32_t layersPerStage = 8;

    void addRunner(Configuration& configuration, std::uint32_t index, std::uint32_t dataCentres, std::uint32_t size)
    {
        const std::uint32_t group = index / size;
        const std::uint32_t stage = index % size % stages;
        Endpoint runner;
        runner.id = EndpointId(fmt::format("runner-{:04}", index));
        runner.dataCentre = DataCentreId(fmt::format("dc-{:02}", group % dataCentres));
        runner.group = GroupId(fmt::format("group-{:03}", group));
        runner.target = TargetId("model");
        runner.address = fmt::format("10.{}.{}.{}:8000", group % dataCentres, index / 250, 1 + index % 250);
        runner.layers = { stage * layersPerStage, (stage + 1) * layersPerStage };
        runner.acceleratorKind = AcceleratorKindId("kind-1");
        runner.link = LinkClassId("lan");
        runner.maxConcurrency = 64;
        configuration.endpoints.emplace(runner.id, runner);
    }

} // namespace

Configuration sampleConfiguration(
    std::uint32_t runners, std::uint32_t organisations, std::uint32_t dataCentres, std::uint32_t runnersPerGroup)
{
    Configuration configuration;
    configuration.version = ConfigurationVersion(1);
    Target model;
    model.id = TargetId("model");
    model.layers = stages * layersPerStage;
    model.claimShards = 64;
    configuration.targets.emplace(model.id, model);
    const AcceleratorKind kind { AcceleratorKindId("kind-1"), 500us, 10us, 1000ns };
    configuration.acceleratorKinds.emplace(kind.id, kind);
    const LinkClass link { LinkClassId("lan"), 100us, BytesPerSecond(1e9) };
    configuration.linkClasses.emplace(link.id, link);
    for (std::uint32_t i = 0; i < organisations; ++i) {
        const OrganisationId id(fmt::format("organisation-{:04}", i));
        configuration.organisations.emplace(id, Organisation { id, 1.0 });
    }
    configuration.ranks[Rank::Urgent] = { 0.5, 720ms, 60ms, 5s };
    configuration.ranks[Rank::Recording] = { 0.3, 5s, 100ms, 30s };
    configuration.ranks[Rank::Summary] = { 0.2, 60s, 1s, 600s };
    for (std::uint32_t i = 0; i < runners; ++i)
        addRunner(configuration, i, dataCentres, runnersPerGroup);
    return configuration;
}

Request sampleRequest(std::uint64_t number, std::uint32_t maxTokens)
{
    Request request;
    request.id = RequestId(Bits128 { 1, number });
    request.organisation = OrganisationId("organisation-0000");
    request.rank = Rank::Summary;
    request.target = TargetId("model");
    request.prompt = fmt::format("{:08} {}", number, std::string(391, 'x'));
    request.promptTokens = 100;
    request.maxTokens = maxTokens;
    return request;
}

} // namespace fuchsialb::bench
