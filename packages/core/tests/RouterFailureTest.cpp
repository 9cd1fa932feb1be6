#include "support/ClusterScenario.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>
#include <vector>

using namespace fuchsialb;

namespace {

constexpr std::uint64_t defaultSeeds = 1000;

std::uint64_t seeds()
{
    const char* value = std::getenv("FUCHSIALB_SEEDS");
    return value ? std::strtoull(value, nullptr, 10) : defaultSeeds;
}

} // namespace

// Guards the guarantees P1 to P4 and P7 against crashes, pauses, drains, partitions, store outages, lost answers, dead
// endpoints and bad networks, one to three at a time.
TEST_CASE("No guarantee is broken by failures alone or together")
{
    const std::uint64_t count = seeds();
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        const std::vector<std::string> violations = playScenario(seed, RouterFault::None);
        if (!violations.empty()) {
            INFO("seed " << seed << ": " << violations.front());
            CHECK(violations.empty());
        }
    }
    CHECK(count > 0);
}

// Guards against a simulation in which nothing is served, so that no guarantee could break.
TEST_CASE("Without failures every request is completed")
{
    Cluster cluster(ClusterOptions {});
    cluster.run(std::chrono::seconds(3));
    sendWork(cluster);
    cluster.run(std::chrono::seconds(20));
    CHECK(checkCluster(cluster.record(), { clusterLayers, true }).empty());
    std::size_t completed = 0;
    for (const auto& [id, call] : cluster.record().calls) {
        REQUIRE(call.results.size() == 1);
        const Result& result = call.results.front();
        // A hasty caller may meet its own first attempt.
        const bool hasty = call.request.idempotencyKey.starts_with("hasty");
        INFO(reasonName(result.reason) << " " << result.detail);
        CHECK((result.outcome == Outcome::Completed || hasty));
        completed += result.outcome == Outcome::Completed ? 1 : 0;
    }
    CHECK(completed >= 14);
}

// Guards against a data centre without a group of its own that refuses work until the loads of the others arrive.
TEST_CASE("A data centre without runners is served by another soon after its start")
{
    ClusterOptions options;
    options.modelDataCentres = 1;
    Cluster cluster(options);
    cluster.run(std::chrono::seconds(3));
    for (int i = 0; i < 4; ++i)
        cluster.complete(2 + i % 2, 8);
    cluster.run(std::chrono::seconds(2));
    for (const auto& [id, call] : cluster.record().calls) {
        REQUIRE(call.results.size() == 1);
        INFO(reasonName(call.results.front().reason) << " " << call.results.front().detail);
        CHECK(call.results.front().outcome == Outcome::Completed);
    }
    CHECK(cluster.record().calls.size() == 4);
}
