#include "support/ControlSpreadWorld.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace fuchsialb;
using namespace fuchsialb::test;
using namespace std::chrono_literals;

namespace {

std::string name(int i) { return "h" + std::to_string(i); }

/// Hosts h0.. in `perCentre` hosts of each of `centres` data centres.
void settle(ControlSpreadWorld& world, int centres, int perCentre)
{
    for (int i = 0; i < centres * perCentre; ++i)
        world.start(name(i), "dc" + std::to_string(i / perCentre));
    world.net.publishHostList();
    world.net.runFor(6s);
}

int hostsAt(ControlSpreadWorld& world, ConfigurationVersion version)
{
    int count = 0;
    for (const auto& [id, host] : world.net.hosts)
        count += host.membership && world.of(id.value()).status().inForce == version ? 1 : 0;
    return count;
}

int watching(ControlSpreadWorld& world)
{
    int count = 0;
    for (const auto& [id, host] : world.net.hosts)
        count += host.membership && world.of(id.value()).status().watching ? 1 : 0;
    return count;
}

} // namespace

// Guards against a daemon that misses a version, and against more watches than the store may get.
TEST_CASE("An accepted configuration reaches every daemon")
{
    ControlSpreadWorld world(1);
    settle(world, 3, 8);
    CHECK(watching(world) == 6);
    // Over one chunk of the store and several of a pull.
    const ConfigurationVersion first = world.publish(40'000);
    world.net.runFor(2s);
    CHECK(hostsAt(world, first) == 24);

    SECTION("a burst of versions ends at the newest, and is coalesced")
    {
        ConfigurationVersion last;
        for (int i = 0; i < 20; ++i) {
            last = world.publish(25'000);
            world.net.runFor(2ms);
        }
        world.net.runFor(3s);
        CHECK(hostsAt(world, last) == 24);
        CHECK(world.history.size() < 24 * 20);
    }

    SECTION("a data centre without a path to the store gets it from the others")
    {
        world.store.reachable
            = [&](const HostId& host) { return world.net.hosts.at(host).dataCentre.value() != "dc1"; };
        world.net.runFor(10s);
        const ConfigurationVersion next = world.publish();
        world.net.runFor(6s);
        CHECK(hostsAt(world, next) == 24);
    }

    SECTION("when both watchers lose the store another member takes over, and gives it back")
    {
        std::set<HostId> blind;
        for (const auto& [id, host] : world.net.hosts) {
            if (world.of(id.value()).status().watching)
                blind.insert(id);
        }
        world.store.reachable = [&](const HostId& host) { return !blind.contains(host); };
        const ConfigurationVersion next = world.publish();
        world.net.runFor(6s);
        CHECK(hostsAt(world, next) == 24);
        CHECK(watching(world) > 6);
        blind.clear();
        world.net.runFor(6s);
        CHECK(watching(world) == 6);
    }

    SECTION("a daemon that starts while the store is down takes the newest version of its peers")
    {
        world.store.reachable = [](const HostId&) { return false; };
        world.start("h99", "dc0");
        world.net.publishHostList();
        world.net.runFor(5s);
        CHECK(world.of("h99").status().inForce == first);
    }

    SECTION("a store restored from older data raises the alarm and reverts nothing")
    {
        const auto backup = world.store.contentsByKey;
        const ConfigurationVersion second = world.publish();
        world.net.runFor(3s);
        world.store.restore(backup);
        world.net.runFor(12s);
        CHECK(hostsAt(world, second) == 24);
        int alarms = 0;
        for (const auto& [id, host] : world.net.hosts)
            alarms += world.of(id.value()).status().storeBehind ? 1 : 0;
        CHECK(alarms >= 6);
    }
}
