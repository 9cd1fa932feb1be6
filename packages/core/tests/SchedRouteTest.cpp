#include "fuchsialb/Base.h"
#include "tests/support/SchedDriver.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

Endpoint runner(const std::string& id, LayerRange layers)
{
    Endpoint endpoint = schedModel(1, 4).endpoints.at(EndpointId("a0"));
    endpoint.id = EndpointId(id);
    endpoint.layers = layers;
    return endpoint;
}

std::string namesOf(const std::vector<RouteStage>& stages)
{
    std::string names;
    for (const RouteStage& stage : stages)
        names += stage.endpoint.value() + " ";
    return names;
}

/// Reports of all runners ten times a second, with one step time for all but `slow`.
void report(SchedDriver& driver, Duration by, const std::string& slow, Duration slowStep)
{
    const TimePoint end = driver.clock.now() + by;
    while (driver.clock.now() < end) {
        for (const char* id : { "a0", "a1", "a2", "b0", "b1", "b2" })
            driver.scheduler->onLoadReport({ EndpointId(id), 1, 0, id == slow ? slowStep : 20ms });
        driver.advance(100ms);
    }
}

} // namespace

// Guards against a route that skips or repeats layers (P1), and against needlessly slow routes.
TEST_CASE("The planner finds the cheapest chain through all layers")
{
    Configuration configuration = schedModel(0, 4);
    const auto add = [&configuration](const Endpoint& endpoint) { configuration.endpoints[endpoint.id] = endpoint; };
    RunnerFleet fleet { GroupId("g") };
    const RoutePlanner planner(configuration.targets.at(TargetId("t")));

    SECTION("ranges that differ are joined only where they meet")
    {
        add(runner("first", { 0, 3 }));
        add(runner("second", { 3, 8 }));
        add(runner("overlapping", { 2, 8 }));
        fleet.configure(configuration, {});
        CHECK(namesOf(planner.plan(fleet, {})->stages) == "first second ");
        add(runner("short", { 0, 2 }));
        fleet.configure(configuration, {});
        fleet.find(EndpointId("first"))->onFailure({}, false);
        RouteDemand demand;
        demand.usable = [](const RunnerModel& each) { return each.available(); };
        CHECK(namesOf(planner.plan(fleet, demand)->stages) == "short overlapping ");
        fleet.find(EndpointId("overlapping"))->onFailure({}, false);
        CHECK_FALSE(planner.plan(fleet, demand));
    }

    SECTION("a group with a missing layer is refused")
    {
        add(runner("first", { 0, 3 }));
        add(runner("second", { 4, 8 }));
        ManualClock clock;
        Random random(1);
        const auto created = GroupScheduler::create(GroupId("g"), configuration, clock, random);
        CHECK(reasonOf(created.status()) == Reason::NoRoute);
    }

    SECTION("slow links, slow accelerators and load count")
    {
        add(runner("a", { 0, 8 }));
        add(runner("b", { 0, 8 }));
        const std::string costly = GENERATE("link", "accelerator", "load", "reported load");
        Endpoint& endpoint = configuration.endpoints[EndpointId("a")];
        configuration.acceleratorKinds[AcceleratorKindId("old")] = { AcceleratorKindId("old"), 9ms, 50us, 10us };
        if (costly == "accelerator")
            endpoint.acceleratorKind = AcceleratorKindId("old");
        if (costly == "link") {
            endpoint.layers = { 0, 4 };
            configuration.endpoints[EndpointId("b")].layers = { 0, 4 };
            add(runner("c", { 4, 8 }));
            endpoint.link = LinkClassId("far");
            configuration.linkClasses[LinkClassId("far")] = { LinkClassId("far"), 5ms, BytesPerSecond(1e7) };
        }
        fleet.configure(configuration, {});
        if (costly == "load")
            fleet.find(EndpointId("a"))->acquire();
        if (costly == "reported load")
            fleet.find(EndpointId("a"))->onReport({ EndpointId("a"), 3, 2, 0us }, {});
        CHECK(planner.plan(fleet, {})->stages.front().endpoint == EndpointId("b"));
    }

    SECTION("a cached prefix attracts until queueing costs more")
    {
        add(runner("a", { 0, 8 }));
        add(runner("b", { 0, 8 }));
        fleet.configure(configuration, {});
        RouteDemand demand;
        demand.positions = 100;
        demand.tokens = 4;
        demand.held = [](const RunnerModel& each) { return each.endpoint().id == EndpointId("b") ? 100.0 : 0.0; };
        CHECK(namesOf(planner.plan(fleet, demand)->stages) == "b ");
        // Prefill of 100 tokens is 8 ms; each sequence ahead costs 4 tokens x 8 layers x 50 us = 1.6 ms.
        for (int i = 0; i < 4; ++i)
            fleet.find(EndpointId("b"))->acquire();
        CHECK(namesOf(planner.plan(fleet, demand)->stages) == "b ");
        for (int i = 0; i < 2; ++i)
            fleet.find(EndpointId("b"))->acquire();
        CHECK(namesOf(planner.plan(fleet, demand)->stages) == "a ");
    }
}

// Guards against a cache that is credited with more than the common prefix.
TEST_CASE("The prefix index finds the longest common prefix")
{
    PrefixIndex index;
    const EndpointId id("a");
    const std::string shared(2 * PrefixIndex::blockBytes, 's');
    index.onDispatched(id, PrefixIndex::prefixes(shared + std::string(100, 'x')));
    CHECK(index.heldBytes(id, PrefixIndex::prefixes(shared + std::string(100, 'x'))) == shared.size() + 100);
    CHECK(index.heldBytes(id, PrefixIndex::prefixes(shared + std::string(300, 'y'))) == shared.size());
    CHECK(index.heldBytes(id, PrefixIndex::prefixes("other" + shared)) == 0);
    CHECK(index.heldBytes(EndpointId("b"), PrefixIndex::prefixes(shared)) == 0);
    index.onEvent(id, hash64(shared), false);
    CHECK(index.heldBytes(id, PrefixIndex::prefixes(shared + "z")) == PrefixIndex::blockBytes);
}

// Guards against full load on a runner that is slow, leaving or only just back.
TEST_CASE("The load of a runner follows its health")
{
    SchedDriver driver(schedModel(3, 8));
    const auto slots = [&driver] { return driver.scheduler->load().slots; };
    REQUIRE(slots() == 24);

    SECTION("slow but alive: its weight is divided by its slowness after 2 s")
    {
        report(driver, 1900ms, "a1", 80ms);
        CHECK(slots() == 24);
        report(driver, 400ms, "a1", 80ms);
        CHECK(slots() == 18);
        for (std::uint64_t number = 1; number <= 4; ++number)
            driver.submit(schedRequest(number));
        for (const StartRun& start : driver.all<StartRun>())
            CHECK(start.route[0].endpoint != EndpointId("a1"));
        report(driver, 200ms, "a1", 20ms);
        CHECK(slots() == 24);
    }

    SECTION("not slow: less than three times the median")
    {
        report(driver, 4s, "a1", 55ms);
        CHECK(slots() == 24);
    }

    SECTION("leaving: no new work, work in progress goes on")
    {
        driver.submit(schedRequest(1));
        const EndpointId head = driver.last<StartRun>().route[0].endpoint;
        Configuration configuration = schedModel(3, 8);
        configuration.endpoints[head].state = EndpointState::Leaving;
        driver.scheduler->configure(configuration);
        for (std::uint64_t number = 2; number <= 17; ++number)
            driver.submit(schedRequest(number));
        for (const StartRun& start : driver.all<StartRun>())
            CHECK((start.request == SchedDriver::id(1) || start.route[0].endpoint != head));
        // An endpoint that is no longer listed keeps its work as well.
        configuration.endpoints.erase(head);
        driver.scheduler->configure(configuration);
        driver.advance(2s);
        CHECK(driver.result(1).outcome == Outcome::Completed);
        CHECK(driver.all<StartRun>().size() == 17);
    }

    SECTION("joining: the limit starts at 1 and doubles every 250 ms")
    {
        Configuration configuration = schedModel(4, 8);
        driver.scheduler->configure(configuration);
        CHECK(slots() == 25);
        driver.advance(250ms);
        CHECK(slots() == 26);
        driver.advance(500ms);
        CHECK(slots() == 32);
    }
    CHECK(driver.faults.empty());
}

// Guards against picking whose cost grows with the number of organisations, and against tags that lose their order.
TEST_CASE("The fair queue serves 1,500 organisations by weight")
{
    RankTable<double> guaranteed;
    FairQueue queue(guaranteed, 100);
    constexpr std::uint64_t organisations = 1500;
    std::uint64_t order = 0;
    for (std::uint64_t round = 0; round < 20; ++round) {
        for (std::uint64_t i = 0; i < organisations; ++i) {
            const double weight = i == 0 ? 4.0 : 1.0;
            const OrganisationId organisation(std::to_string(i));
            REQUIRE(queue.push({ SchedDriver::id(++order), organisation, weight, Rank::Recording, 10.0, order }));
        }
    }
    // A request far behind a large backlog of others waits only for its share.
    CHECK(queue.costAhead(Rank::Recording, OrganisationId("new"), 1.0, 10.0) == Approx(10.0 * organisations));
    std::map<std::string, std::uint64_t> picked;
    std::map<std::string, std::uint64_t> lastOrder;
    for (std::uint64_t i = 0; i < 5 * organisations; ++i) {
        const auto item = queue.pop();
        REQUIRE(item);
        CHECK(item->order > lastOrder[item->organisation.value()]);
        lastOrder[item->organisation.value()] = item->order;
        ++picked[item->organisation.value()];
    }
    for (std::uint64_t i = 1; i < organisations; ++i) {
        // By weight, up to the one request that each may be ahead.
        CHECK(4 * picked[std::to_string(i)] <= picked["0"] + 4);
        CHECK(picked["0"] <= 4 * picked[std::to_string(i)] + 1);
    }

    SECTION("an actual cost above the estimate is paid back")
    {
        queue.correct(Rank::Recording, OrganisationId("7"), 30.0);
        std::uint64_t turns = 0;
        for (std::uint64_t i = 0; i < 3 * organisations; ++i)
            turns += queue.pop()->organisation == OrganisationId("7");
        CHECK(turns <= 1);
    }

    SECTION("a removed request is not picked")
    {
        const auto head = queue.pop();
        queue.putBack(*head);
        CHECK(queue.remove(head->request));
        CHECK_FALSE(queue.remove(head->request));
        const std::size_t left = queue.size();
        for (std::size_t i = 0; i < left; ++i)
            REQUIRE(queue.pop()->request != head->request);
        CHECK(queue.empty());
        CHECK(queue.backlog(Rank::Recording) == 0);
    }
}
