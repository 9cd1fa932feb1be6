#include "ClusterScenario.h"

#include "Cluster.h"

#include <fmt/format.h>

#include <optional>

namespace fuchsialb {

namespace {

    /// Draws one failure that the brief of the system names.
    void drawFailure(Cluster& cluster)
    {
        Random& random = cluster.random();
        const int host = static_cast<int>(random.below(static_cast<std::uint64_t>(cluster.hosts())));
        const Duration after = std::chrono::milliseconds(random.below(4000));
        const Duration length = std::chrono::milliseconds(200 + random.below(6000));
        const int dataCentre = static_cast<int>(random.below(2)) + 1;
        switch (random.below(9)) {
        case 0:
            cluster.at(after, [&cluster, host] { cluster.crash(host); });
            cluster.at(after + length, [&cluster, host] { cluster.restart(host); });
            break;
        case 1:
            cluster.at(after, [&cluster, host, length] { cluster.pause(host, length); });
            break;
        case 2:
            cluster.at(after, [&cluster, host] { cluster.drain(host); });
            break;
        case 3:
            cluster.at(after, [&cluster, length] { cluster.partition({ 0, 1 }, length); });
            break;
        case 4:
            cluster.at(after, [&cluster, host, length] { cluster.partition({ host }, length); });
            break;
        case 5:
            cluster.at(after, [&cluster, length] { cluster.storeOutage(length); });
            break;
        case 6:
            cluster.at(after, [&cluster, length, dataCentre] {
                cluster.crashEndpoint(fmt::format("dc-{}-runner-{}", dataCentre, cluster.random().below(4)), length);
            });
            break;
        case 7:
            cluster.at(after, [&cluster, length, dataCentre] {
                cluster.crashEndpoint(fmt::format("dc-{}-registry", dataCentre), length);
            });
            break;
        default: {
            ClusterFaults& faults = cluster.faults();
            faults.messageLoss = 0.02;
            faults.messageRepeat = 0.05;
            faults.maxDelay = std::chrono::milliseconds(5 + random.below(200));
            faults.storeAnswerLost = 0.1;
            faults.storeRefused = 0.05;
            faults.callRefused = 0.1;
            faults.callAnswerLost = 0.1;
            faults.stageFails = 0.01;
            faults.tokenRepeat = 0.1;
        }
        }
    }

    /// Some answers outlast a partition of seconds, so that an old scheduler still sends when it ends.
    std::uint32_t answerLength(Random& random)
    {
        const bool lasting = random.below(3) == 0;
        return static_cast<std::uint32_t>(lasting ? 200 + random.below(200) : 8 + random.below(24));
    }

    /// Some deadlines end while a lost scheduler is being replaced.
    std::optional<Duration> answerDeadline(Random& random)
    {
        if (random.below(2) == 0)
            return std::nullopt;
        return std::chrono::milliseconds(1000 + random.below(5000));
    }

} // namespace

void sendWork(Cluster& cluster)
{
    for (int i = 0; i < 12; ++i) {
        const int host = static_cast<int>(cluster.random().below(static_cast<std::uint64_t>(cluster.hosts())));
        cluster.at(std::chrono::milliseconds(cluster.random().below(5000)), [&cluster, host, i] {
            if (i % 2 == 0)
                cluster.callService(host, fmt::format("key-{}", i), 3);
            else
                cluster.complete(host, answerLength(cluster.random()), answerDeadline(cluster.random()));
        });
    }
    // Callers that do not wait for an answer before they send the same key through another host.
    for (int i = 0; i < 2; ++i) {
        const Duration after = std::chrono::milliseconds(500 + 1700 * i);
        cluster.at(after, [&cluster, i] { cluster.callService(i, fmt::format("hasty-{}", i), 1); });
        cluster.at(after + std::chrono::milliseconds(cluster.random().below(400)),
            [&cluster, i] { cluster.callService(i + 2, fmt::format("hasty-{}", i), 1); });
    }
}

std::vector<std::string> playScenario(std::uint64_t seed, RouterFault fault)
{
    ClusterOptions options;
    options.seed = seed;
    options.routerFault = fault;
    Cluster cluster(options);
    cluster.run(std::chrono::seconds(3));
    const int failures = 1 + static_cast<int>(seed % 3);
    for (int i = 0; i < failures; ++i)
        drawFailure(cluster);
    sendWork(cluster);
    cluster.run(std::chrono::seconds(12));
    cluster.faults() = {};
    cluster.run(std::chrono::seconds(45));
    return checkCluster(cluster.record(), { clusterLayers, true });
}

} // namespace fuchsialb
