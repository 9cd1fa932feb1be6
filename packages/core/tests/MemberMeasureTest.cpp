#include "support/ControlWorld.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace fuchsialb;
using namespace fuchsialb::test;
using namespace std::chrono_literals;

namespace {

constexpr int groups = 417;
constexpr int dataCentres = 11;
constexpr std::uint64_t budget = 15'000;

std::string hostName(int dc, int i) { return fmt::format("host-{:02}-{:04}", dc, i); }
std::string centreName(int dc) { return fmt::format("nam-bo-{:02}", dc); }

/// Gives each group's load to the member that rendezvous chooses, and the watchers an answer of the store.
void schedule(ControlWorld& world, int dc, std::uint64_t answers)
{
    const DataCentreId centre(centreName(dc));
    const std::vector<HostId> hosts = world.of(hostName(dc, 0)).accepting(centre);
    std::map<HostId, std::vector<GroupLoad>> loads;
    for (int group = dc; group < groups; group += dataCentres) {
        GroupLoad load;
        load.group = GroupId(fmt::format("model-a/{}/{:02}", centre.value(), group));
        loads[rendezvous(load.group.value(), hosts, 1).at(0)].push_back(load);
    }
    for (const auto& [host, own] : loads)
        world.of(host.value()).setLoads(own);
    for (const HostId& watcher : rendezvous("watch", hosts, 2))
        world.of(watcher.value()).setStoreAnswers(answers);
}

struct Traffic {
    std::uint64_t mean = 0;
    std::uint64_t busiest = 0;
    std::uint64_t busiestBridge = 0;
};

/// Control traffic of the members of data centre 0 in bytes a second, sent and received, over 60 s.
Traffic traffic(int members)
{
    constexpr std::uint64_t seconds = 60;
    ControlWorld world(static_cast<std::uint64_t>(members));
    world.tickInterval = 100ms;
    for (int i = 0; i < members; ++i)
        world.start(hostName(0, i), centreName(0));
    for (int dc = 1; dc < dataCentres; ++dc) {
        for (int i = 0; i < 3; ++i)
            world.start(hostName(dc, i), centreName(dc));
    }
    world.publishHostList();
    // The updates about all members that start at once are repeated for about a second each.
    world.runFor(std::chrono::seconds(members));
    for (std::uint64_t second = 0; second < 20 + seconds; ++second) {
        if (second == 20) {
            for (auto& [id, host] : world.hosts)
                host.bytes = 0;
        }
        for (int dc = 0; dc < dataCentres; ++dc)
            schedule(world, dc, second + 1);
        // 9,600 changes of the configuration a day.
        if (second % 9 == 0) {
            for (auto& [id, host] : world.hosts)
                host.membership->setConfiguration(ConfigurationVersion(second + 1));
        }
        world.runFor(1s);
    }
    Traffic result;
    const auto bridges = rendezvous("bridge", world.of(hostName(0, 0)).accepting(DataCentreId(centreName(0))), 2);
    for (int i = 0; i < members; ++i) {
        const HostId id(hostName(0, i));
        const std::uint64_t rate = world.hosts.at(id).bytes / seconds;
        result.mean += rate / static_cast<std::uint64_t>(members);
        std::uint64_t& most
            = std::find(bridges.begin(), bridges.end(), id) != bridges.end() ? result.busiestBridge : result.busiest;
        most = std::max(most, rate);
    }
    return result;
}

bool holds(const Membership& viewer, const HostId& host)
{
    const auto& members = viewer.members();
    return std::any_of(members.begin(), members.end(), [&](const Member& member) { return member.host == host; });
}

} // namespace

// Guards against control traffic above the 15 KB/s that a daemon may use at the design scale.
TEST_CASE("Control traffic of a daemon", "[.measure]")
{
    // The larger sizes take minutes and run only on request, with FUCHSIALB_MEASURE set.
    const int members = GENERATE(20, 50, 155, 300);
    if (members > 50 && !std::getenv("FUCHSIALB_MEASURE"))
        return;
    DYNAMIC_SECTION(members << " members")
    {
        const Traffic rate = traffic(members);
        std::printf("members %d: mean %lu B/s, busiest %lu B/s, busiest bridge %lu B/s\n", members, rate.mean,
            rate.busiest, rate.busiestBridge);
        if (members <= 155) {
            CHECK(rate.busiest < budget);
            CHECK(rate.busiestBridge < budget);
        }
    }
}

// Guards against a probe storm when a rack is lost.
TEST_CASE("Messages when a rack of 12 of 155 hosts is lost", "[.measure]")
{
    ControlWorld world(7);
    for (int i = 0; i < 155; ++i)
        world.start(hostName(0, i), centreName(0));
    world.publishHostList();
    world.runFor(30s);
    const auto sent = [&](Duration length) {
        for (auto& [id, host] : world.hosts)
            host.sends = 0;
        world.runFor(length);
        std::uint64_t most = 0;
        for (const auto& [id, host] : world.hosts)
            most = std::max(most, host.membership ? host.sends : 0);
        return most;
    };
    const std::uint64_t before = sent(10s);
    for (int i = 0; i < 12; ++i)
        world.crash(hostName(0, i));
    const std::uint64_t after = sent(10s);
    std::printf("busiest host in 10 s: %lu messages before, %lu after the loss of a rack\n", before, after);
    // Each second: 1 probe, 3 requests for indirect ones, up to 8 made for others with as many replies passed on, and
    // the replies to the probes of others, of which 3 in a second are rare.
    CHECK(after <= 10 * (1 + 3 + 8 + 8 + 3));
}

// Guards against a detector that is slower than its parameters say: up to a round of missed probes, 1 s for a probe to
// fail, 4 s of suspicion and the spread of the news.
TEST_CASE("False suspicions and detection time", "[.measure]")
{
    constexpr int members = 50;
    ControlWorld world(11);
    for (int i = 0; i < members; ++i)
        world.start(hostName(0, i), centreName(0));
    world.publishHostList();
    world.runFor(10s);

    const auto incarnations = [&] {
        std::uint64_t sum = 0;
        for (auto& [id, host] : world.hosts)
            sum += host.membership->self().incarnation.value();
        return sum;
    };
    // A host raises its incarnation once for each suspicion that reaches it.
    std::uint64_t before = incarnations();
    world.faults.loss = 0.01;
    world.runFor(600s);
    std::printf("1%% loss: %lu suspicions of %d hosts in 600 s\n", incarnations() - before, members);
    CHECK(incarnations() - before < 10);

    int declaredDead = 0;
    constexpr int pauses = 50;
    for (int i = 0; i < pauses; ++i) {
        const HostId paused(hostName(0, i % members));
        const Membership& viewer = world.of(hostName(0, (i + 1) % members));
        world.pause(paused.value(), 5s);
        bool dead = false;
        for (int step = 0; step < 40; ++step) {
            world.runFor(250ms);
            dead = dead || !holds(viewer, paused);
        }
        declaredDead += dead ? 1 : 0;
        world.runFor(10s);
    }
    std::printf("pauses of 5 s: %d of %d declared dead\n", declaredDead, pauses);

    std::vector<Duration> first;
    std::vector<Duration> all;
    for (int i = 0; i < members; ++i) {
        const HostId crashed(hostName(0, i));
        world.crash(crashed.value());
        const TimePoint at = world.clock.now();
        int views = members - 1;
        bool one = false;
        while (views > 0 && world.clock.now() - at < 60s) {
            world.runFor(50ms);
            views = 0;
            for (const auto& [id, host] : world.hosts)
                views += host.membership && holds(*host.membership, crashed) ? 1 : 0;
            if (views < members - 1 && !one) {
                one = true;
                first.push_back(world.clock.now() - at);
            }
        }
        all.push_back(world.clock.now() - at);
        world.start(crashed.value(), centreName(0));
        world.publishHostList();
        world.runFor(10s);
    }
    std::sort(first.begin(), first.end());
    std::sort(all.begin(), all.end());
    const auto seconds = [](Duration time) { return static_cast<double>(time.count()) / 1e6; };
    std::printf("crash: first view %.2f s median, %.2f s p99; all views %.2f s median, %.2f s p99\n",
        seconds(first[members / 2]), seconds(first.back()), seconds(all[members / 2]), seconds(all.back()));
    CHECK(all.back() < 15s);
}
