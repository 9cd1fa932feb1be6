#include "CapacityFleet.h"
#include "CapacityMeasurements.h"
#include "CapacitySample.h"
#include "CapacityScale.h"

#include <algorithm>

namespace fuchsialb::bench {

using namespace std::chrono_literals;

namespace {

    // Group loads of other data centres go round every 15 s, so a window holds whole rounds.
    constexpr Duration settling = 40s;
    constexpr int windowSeconds = 30;
    constexpr std::uint32_t smallDataCentre = 3;
    constexpr std::uint32_t groupsOfDataCentre = 38;

    struct MemberCost {
        double bytes = 0;
        double messages = 0;
        double cpu = 0;
        double memory = 0;
        double bridgeBytes = 0;
        double bridgeMessages = 0;
        double bridgeCpu = 0;
        double largestBytes = 0;
    };

    MemberCost memberCost(std::uint32_t members)
    {
        CapacityFleet fleet(false);
        fleet.addDataCentre(members, members / 4);
        for (int other = 1; other < static_cast<int>(scale::dataCentres); ++other)
            fleet.addDataCentre(smallDataCentre, groupsOfDataCentre);
        fleet.publishHostList();
        fleet.runFor(settling);
        fleet.resetCounts();
        fleet.runFor(std::chrono::seconds(windowSeconds));
        const std::vector<HostId> bridges = fleet.bridges(0);
        MemberCost cost;
        const double plain = members - 2.0;
        for (const CapacityFleet::Host* host : fleet.hostsOf(0)) {
            const bool bridge = std::find(bridges.begin(), bridges.end(), host->id) != bridges.end();
            const double share = windowSeconds * (bridge ? 2.0 : plain);
            const double bytes = host->bytes / windowSeconds;
            double& largest = bridge ? cost.bridgeBytes : cost.largestBytes;
            largest = std::max(largest, bytes);
            if (!bridge)
                cost.bytes += bytes / plain;
            (bridge ? cost.bridgeMessages : cost.messages) += host->messages / share;
            (bridge ? cost.bridgeCpu : cost.cpu) += host->cpu / share;
        }
        cost.memory = CapacityFleet::membershipBytes(*fleet.hostsOf(0).front());
        return cost;
    }

    /// \return Store calls a second of all watchers, 2 in each of `dataCentres` data centres of 5 daemons.
    double watcherCalls(std::uint32_t dataCentres)
    {
        CapacityFleet fleet(true);
        fleet.publish(sampleConfiguration(40, 10, 11, 12));
        for (std::uint32_t i = 0; i < dataCentres; ++i)
            fleet.addDataCentre(5, 1);
        fleet.publishHostList();
        fleet.runFor(settling);
        fleet.resetCounts();
        fleet.runFor(std::chrono::seconds(windowSeconds));
        double calls = 0;
        for (std::uint32_t i = 0; i < dataCentres; ++i) {
            for (const CapacityFleet::Host* host : fleet.hostsOf(i))
                calls += host->storeCalls / windowSeconds;
        }
        return calls;
    }

    /// \return Bytes that a daemon that is no watcher has to be sent for one change of the configuration.
    double changeBytes(std::uint32_t runners)
    {
        constexpr std::uint32_t hosts = 6;
        CapacityFleet fleet(true);
        Configuration configuration = sampleConfiguration(runners, 10, 11, 12);
        fleet.publish(configuration);
        fleet.addDataCentre(hosts, 1);
        fleet.publishHostList();
        fleet.runFor(settling);
        fleet.resetCounts();
        configuration.version = ConfigurationVersion(2);
        configuration.endpoints.begin()->second.state = EndpointState::Leaving;
        fleet.publish(configuration);
        fleet.runFor(std::chrono::seconds(windowSeconds));
        double bytes = 0;
        for (const CapacityFleet::Host* host : fleet.hostsOf(0))
            bytes += host->configBytes;
        return bytes / (hosts - 2);
    }

} // namespace

void measureMembership(CapacityReport& report, bool)
{
    const std::string x = "members of the data centre";
    CapacitySeries bytes { "member_bytes", x, "sealed bytes/s sent by a daemon that is no bridge, mean", true, {} };
    CapacitySeries messages { "member_messages", x, "messages/s sent by a daemon", true, {} };
    CapacitySeries largest { "member_bytes_largest", x, "the same, busiest daemon", true, {} };
    CapacitySeries bridge { "bridge_bytes", x, "sealed bytes/s sent by the busier bridge", true, {} };
    CapacitySeries bridgeMessages { "bridge_messages", x, "messages/s sent by a bridge", true, {} };
    CapacitySeries cpu { "member_cpu_us", x, "CPU us/s of a daemon", false, {} };
    CapacitySeries bridgeCpu { "bridge_cpu_us", x, "CPU us/s of a bridge", false, {} };
    CapacitySeries memory { "member_memory", x, "bytes of a daemon", true, {} };
    for (std::uint32_t members : { 20U, 50U, 100U, 155U }) {
        const MemberCost cost = memberCost(members);
        const double size = members;
        bytes.points.push_back({ size, cost.bytes });
        messages.points.push_back({ size, cost.messages });
        largest.points.push_back({ size, cost.largestBytes });
        bridge.points.push_back({ size, cost.bridgeBytes });
        bridgeMessages.points.push_back({ size, cost.bridgeMessages });
        cpu.points.push_back({ size, cost.cpu });
        bridgeCpu.points.push_back({ size, cost.bridgeCpu });
        memory.points.push_back({ size, cost.memory });
    }
    for (const CapacitySeries& series : { bytes, messages, largest, bridge, bridgeMessages, cpu, bridgeCpu, memory })
        report.add(series);
}

void measureWatchers(CapacityReport& report, bool)
{
    CapacitySeries calls { "watcher_calls", "data centres, 2 watchers each", "store calls/s", true, {} };
    for (std::uint32_t dataCentres : { 1U, 3U, 6U, 11U })
        calls.points.push_back({ double(dataCentres), watcherCalls(dataCentres) });
    report.add(calls);
    CapacitySeries change { "config_change_bytes", "runners, 10 organisations, one runner changed",
        "sealed bytes to a daemon", true, {} };
    for (std::uint32_t runners : { 40U, 500U, 2000U })
        change.points.push_back({ double(runners), changeBytes(runners) });
    report.add(change);
}

} // namespace fuchsialb::bench
