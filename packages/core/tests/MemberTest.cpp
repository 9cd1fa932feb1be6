#include "support/ControlWorld.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace fuchsialb;
using namespace fuchsialb::test;
using namespace std::chrono_literals;

namespace {

std::string name(int i) { return "h" + std::to_string(i); }

/// Starts `count` hosts h0, h1, ... in data centre `dc`, gives them the host list and lets them meet.
void settle(ControlWorld& world, int count, const std::string& dc = "dc1", int first = 0)
{
    for (int i = first; i < first + count; ++i)
        world.start(name(i), dc);
    world.publishHostList();
    world.runFor(5s);
}

bool accepts(ControlWorld& world, const std::string& viewer, const std::string& host)
{
    const auto accepting = world.of(viewer).accepting(world.hosts.at(HostId(host)).dataCentre);
    return std::binary_search(accepting.begin(), accepting.end(), HostId(host));
}

/// \return How many running hosts but `host` itself hold it as a member that accepts work.
int viewsWith(ControlWorld& world, const std::string& host)
{
    int views = 0;
    for (const auto& [id, other] : world.hosts)
        views += other.membership && id != HostId(host) && accepts(world, id.value(), host) ? 1 : 0;
    return views;
}

GroupLoad loadOf(const std::string& group, std::uint32_t running)
{
    GroupLoad load;
    load.group = GroupId(group);
    load.running = running;
    return load;
}

} // namespace

// Guards against members that are missed, revived by old gossip or never accepted again.
TEST_CASE("Members of a data centre find each other and notice who is lost")
{
    ControlWorld world(1);
    settle(world, 20);
    for (int i = 0; i < 20; ++i)
        CHECK(world.of(name(i)).accepting(DataCentreId("dc1")).size() == 20);

    SECTION("a crashed host disappears from every view and stays out")
    {
        world.crash("h3");
        world.runFor(15s);
        CHECK(viewsWith(world, "h3") == 0);
        const std::uint64_t revision = world.of("h0").revision();
        world.runFor(60s);
        CHECK(viewsWith(world, "h3") == 0);
        CHECK(world.of("h0").revision() == revision);

        SECTION("and is accepted again after its restart")
        {
            world.start("h3", "dc1");
            world.publishHostList();
            world.runFor(3s);
            CHECK(viewsWith(world, "h3") == 19);
        }
    }

    SECTION("a host paused for 30 s is declared dead and rejoins with a higher incarnation")
    {
        const Incarnation before = world.of("h3").self().incarnation;
        world.pause("h3", 30s);
        world.runFor(25s);
        CHECK(viewsWith(world, "h3") == 0);
        world.runFor(10s);
        CHECK(world.of("h3").self().incarnation > before);
        CHECK(viewsWith(world, "h3") == 19);
        CHECK(world.of("h3").accepting(DataCentreId("dc1")).size() == 20);
    }

    SECTION("two halves that lost each other meet again")
    {
        world.cut = [](const HostId& a, const HostId& b) { return (a < HostId("h15")) != (b < HostId("h15")); };
        world.runFor(60s);
        CHECK_FALSE(accepts(world, "h0", "h5"));
        world.cut = [](const HostId&, const HostId&) { return false; };
        world.runFor(60s);
        CHECK(viewsWith(world, "h0") == 19);
        CHECK(viewsWith(world, "h5") == 19);
    }
}

// Guards against a view that gives new work to a leaving host, and against one that shows it as accepting again.
TEST_CASE("A leaving host is known as leaving everywhere within 3 s")
{
    ControlWorld world(2);
    world.faults.loss = 0.05;
    settle(world, 40);
    world.of("h7").leave();
    world.runFor(3s);
    CHECK(viewsWith(world, "h7") == 0);
    world.runFor(20s);
    CHECK(viewsWith(world, "h7") == 0);
    // It still is a member, so its dispatched work goes on.
    const auto& members = world.of("h0").members();
    CHECK(
        std::any_of(members.begin(), members.end(), [](const Member& member) { return member.host == HostId("h7"); }));
}

// Guards against treating the lagging host list as proof.
TEST_CASE("The host list is a hint")
{
    ControlWorld world(3);
    settle(world, 5);
    std::vector<ListedHost> list;
    for (int i = 0; i < 5; ++i)
        list.push_back({ HostId(name(i)), DataCentreId("dc1"), world.of(name(i)).self().address, false });
    Membership& h0 = world.of("h0");
    h0.onHostList(list);

    SECTION("it does not remove a host that answers, nor add one that does not")
    {
        list.pop_back();
        list.push_back({ HostId("ghost"), DataCentreId("dc1"), "10.9.9.9:1", false });
        h0.onHostList(list);
        world.runFor(10s);
        CHECK(h0.accepting(DataCentreId("dc1")).size() == 5);
        CHECK(accepts(world, "h0", "h4"));
    }

    SECTION("it confirms the death of a suspect at once")
    {
        world.crash("h4");
        const auto isSuspect = [&] {
            const auto& all = h0.members();
            return std::any_of(all.begin(), all.end(),
                [](const Member& m) { return m.host == HostId("h4") && m.state == MemberState::Suspect; });
        };
        for (int i = 0; i < 200 && !isSuspect(); ++i)
            world.runFor(50ms);
        REQUIRE(isSuspect());
        list.pop_back();
        h0.onHostList(list);
        CHECK_FALSE(accepts(world, "h0", "h4"));
    }

    SECTION("a host that it marks leaving takes no new work in any view")
    {
        list[2].leaving = true;
        h0.onHostList(list);
        CHECK_FALSE(accepts(world, "h0", "h2"));
        world.runFor(3s);
        CHECK(viewsWith(world, "h2") == 0);
        CHECK(world.of("h2").self().state == MemberState::Leaving);
    }
}

// Guards against loads that don't reach entry daemons or are shown long after their scheduler is gone.
TEST_CASE("Loads reach the data centre each second and other data centres at a reduced rate")
{
    ControlWorld world(4);
    settle(world, 20);
    settle(world, 8, "dc2", 20);
    settle(world, 8, "dc3", 30);
    world.runFor(35s);
    world.of("h3").setLoads({ loadOf("g1", 7) });
    world.runFor(2s);
    for (int i = 0; i < 20; ++i) {
        const GroupLoad* load = world.of(name(i)).load(GroupId("g1"));
        REQUIRE(load);
        CHECK(load->running == 7);
        CHECK(world.of(name(i)).loadAge(GroupId("g1")) <= 2s);
    }
    world.runFor(62s);
    for (int i : { 20, 27, 30, 37 })
        CHECK(world.of(name(i)).load(GroupId("g1")));

    SECTION("and expire with their scheduler")
    {
        world.crash("h3");
        world.runFor(7s);
        CHECK_FALSE(world.of("h0").load(GroupId("g1")));
        world.runFor(180s);
        CHECK_FALSE(world.of("h20").load(GroupId("g1")));
    }
}

// Guards against data centres that do not know each other's bridges, or keep dead ones.
TEST_CASE("Two bridges of each data centre are known in the others")
{
    ControlWorld world(5);
    settle(world, 6);
    settle(world, 6, "dc2", 10);
    settle(world, 6, "dc3", 20);
    world.runFor(65s);
    const auto bridgesOf = [&](const std::string& dc, int first) {
        std::vector<HostId> hosts = world.of(name(first)).accepting(DataCentreId(dc));
        hosts = rendezvous("bridge", hosts, 2);
        std::sort(hosts.begin(), hosts.end());
        return hosts;
    };
    for (int viewer : { 0, 3, 5, 20, 25 })
        CHECK(world.of(name(viewer)).accepting(DataCentreId("dc2")) == bridgesOf("dc2", 10));

    SECTION("the loss of one is followed by its successor")
    {
        const HostId lost = bridgesOf("dc2", 10).front();
        world.crash(lost.value());
        world.runFor(180s);
        const std::string survivor = lost == HostId("h10") ? "h11" : "h10";
        std::vector<HostId> expected = rendezvous("bridge", world.of(survivor).accepting(DataCentreId("dc2")), 2);
        std::sort(expected.begin(), expected.end());
        CHECK(world.of("h0").accepting(DataCentreId("dc2")) == expected);
    }

    SECTION("one that leaves is known as leaving in every data centre within 3 s")
    {
        const HostId leaving = bridgesOf("dc2", 10).front();
        world.of(leaving.value()).leave();
        world.runFor(3s);
        CHECK(viewsWith(world, leaving.value()) == 0);
    }
}
