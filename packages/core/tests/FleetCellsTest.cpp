#include "tests/support/FleetDataCentre.h"
#include "tests/support/FleetSamples.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

const Path path { { EndpointId("r"), "10.0.0.1:80", { 0, 10 } } };

/// \return The living hosts that consider themselves leaders of the data centre.
std::vector<HostId> leaders(const FleetDataCentre& dataCentre)
{
    std::vector<HostId> list;
    for (const Host* host : dataCentre.living()) {
        if (host->directory.isLeader(dataCentre.now))
            list.push_back(host->id);
    }
    return list;
}

/// \return Number of living hosts that know of this load in total at the runner of `path`.
std::size_t hostsWithCache(const FleetDataCentre& dataCentre, double cache)
{
    const std::vector<Host*> living = dataCentre.living();
    return static_cast<std::size_t>(std::count_if(living.begin(), living.end(),
        [&](const Host* host) { return host->ledger.at(EndpointId("r")).cache == Approx(cache); }));
}

/// \return The living host with the lowest id in the cell of the directory's host.
HostId cellLeader(const FleetDataCentre& dataCentre, const HostDirectory& directory)
{
    const std::vector<Host*> living = dataCentre.living();
    const auto leader
        = std::find_if(living.begin(), living.end(), [&](const Host* host) { return directory.inOwnCell(host->id); });
    REQUIRE(leader != living.end());
    return (*leader)->id;
}

} // namespace

// Guards against hosts that admit against a part of the load, or hear of a dead runner or leader late, because beats go
// through the leaders of cells.
TEST_CASE("The hosts of a large data centre know its load, dead runners and leader")
{
    constexpr std::size_t hostCount = 36;
    FleetDataCentre dataCentre(hostCount);
    dataCentre.run(4s);
    REQUIRE(dataCentre.hosts.front()->directory.cells() > 1);

    SECTION("all know the load of all")
    {
        for (const auto& host : dataCentre.hosts)
            host->ledger.reserve(path, 10);
        dataCentre.run(1s);
        CHECK(hostsWithCache(dataCentre, 3600) == hostCount);

        SECTION("without that of a dead host")
        {
            dataCentre.kill(HostId("host-020"));
            dataCentre.run(3s);
            CHECK(hostsWithCache(dataCentre, 3500) == hostCount - 1);
        }

        SECTION("also three seconds after the leader of a cell died")
        {
            const HostId leader = cellLeader(dataCentre, dataCentre.hosts.back()->directory);
            dataCentre.kill(leader);
            dataCentre.run(3s);
            CHECK(hostsWithCache(dataCentre, 3500) == hostCount - 1);
        }

        SECTION("also at each moment while the leader of a cell shuts down")
        {
            dataCentre.stop(cellLeader(dataCentre, dataCentre.hosts.back()->directory));
            for (int i = 0; i < 60; ++i) {
                CAPTURE(i);
                dataCentre.step();
                CHECK(hostsWithCache(dataCentre, 3600) == hostCount);
            }
        }

        SECTION("also while the second host of a cell doesn't hear the first")
        {
            const HostId first = cellLeader(dataCentre, dataCentre.hosts.back()->directory);
            const std::vector<Host*> living = dataCentre.living();
            const auto second = std::find_if(living.begin(), living.end(), [&](const Host* host) {
                return first < host->id && dataCentre.hosts.back()->directory.inOwnCell(host->id);
            });
            REQUIRE(second != living.end());
            dataCentre.cut(first, (*second)->id);
            dataCentre.run(3s);
            // The second lacks the load of the first only.
            for (int i = 0; i < 30; ++i) {
                dataCentre.step();
                CHECK(hostsWithCache(dataCentre, 3600) == hostCount - 1);
                CHECK(hostsWithCache(dataCentre, 3500) == 1);
                CHECK(leaders(dataCentre).size() == 1);
            }
        }

        SECTION("also when several die at once and the cells change")
        {
            for (std::size_t i = 0; i < 24; ++i)
                dataCentre.kill(dataCentre.hosts[i]->id);
            std::vector<RegisteredHost> left;
            for (const Host* host : dataCentre.living())
                left.push_back(host->registration());
            for (Host* host : dataCentre.living())
                host->directory.replaceAll(left, dataCentre.now);
            dataCentre.run(14s);
            CHECK(dataCentre.living().front()->directory.cells() < dataCentre.hosts.front()->directory.cells());
            CHECK(hostsWithCache(dataCentre, 1200) == hostCount - 24);
        }
    }

    SECTION("exactly one host leads the data centre, and another one after its death")
    {
        CHECK(leaders(dataCentre) == std::vector<HostId> { HostId("host-000") });
        dataCentre.kill(HostId("host-000"));
        dataCentre.run(3s);
        CHECK(leaders(dataCentre) == std::vector<HostId> { HostId("host-001") });
    }

    SECTION("a runner that any host found dead is used by none within a second")
    {
        for (const auto& host : dataCentre.hosts) {
            for (const RunnerEntry& entry : placedEntries(2))
                host->runners.put(entry);
        }
        dataCentre.hosts.back()->runners.markDead(EndpointId("east-0"), dataCentre.now, 3s);
        dataCentre.run(1s);
        for (const auto& host : dataCentre.hosts)
            CHECK_FALSE(host->runners.find(EndpointId("east-0"))->usable(dataCentre.now));

        SECTION("and is used by all again when the time is over")
        {
            dataCentre.run(3s);
            for (const auto& host : dataCentre.hosts)
                CHECK(host->runners.find(EndpointId("east-0"))->usable(dataCentre.now));
        }
    }

    SECTION("a proof of the configuration that one host has reaches all within a second and a half")
    {
        dataCentre.run(10s);
        const Duration provenAt = dataCentre.now.time_since_epoch();
        dataCentre.hosts.front()->configuration.confirm(ConfigurationVersion(7), provenAt);
        dataCentre.run(1500ms);
        for (const auto& host : dataCentre.hosts)
            CHECK(host->configuration.provenAt() >= provenAt - 1s);
    }

    SECTION("registrations that lapse for less than ten seconds have no effect")
    {
        for (const auto& host : dataCentre.hosts)
            host->directory.replaceAll({}, dataCentre.now);
        dataCentre.run(8s);
        std::vector<RegisteredHost> registrations;
        for (const auto& host : dataCentre.hosts)
            registrations.push_back(host->registration());
        for (const auto& host : dataCentre.hosts) {
            host->directory.replaceAll(registrations, dataCentre.now);
            host->ledger.reserve(path, 10);
        }
        dataCentre.run(1s);
        CHECK(hostsWithCache(dataCentre, 3600) == hostCount);
        CHECK(leaders(dataCentre).size() == 1);
    }
}
