#include "fuchsialb/Base.h"
#include "fuchsialb/Fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>

using namespace fuchsialb;
using namespace std::chrono_literals;

namespace {

const TargetId service { "plain" };
const DataCentreId east { "east" };

/// A host with a slow run at the endpoint "a", hedges to spare, and two other endpoints.
struct SlowRun {
    TimePoint now { 100s };
    RunnerDirectory runners;
    LoadLedger ledger;
    RequestRateLimits limits;
    SharedRetryBudget retryBudget { { 0.5, 10s, 10 } };
    HedgePolicy policy { 0.125, 10s };
    std::set<EndpointId> excluded;
    std::uint32_t attempts = 1;
    Duration timeLeft = 1s;
    std::size_t hosts = 1;
    bool isStopping = false;
    bool isQuarantined = false;
    bool hostWasHeldUp = false;

    SlowRun()
    {
        for (const char* id : { "a", "b", "c" }) {
            RunnerEntry entry;
            entry.id = EndpointId(id);
            entry.dataCentre = DataCentreId(id == std::string("c") ? "west" : "east");
            entry.service = service;
            runners.put(entry);
        }
        ledger.reserve({ { EndpointId("a"), "a:1", {} } }, 0);
        for (int i = 0; i < 40; ++i) {
            policy.recordRequest(service, now);
            retryBudget.recordRequest(service, now);
            policy.recordDuration(service, EndpointId("a"), 30ms, now);
        }
        policy.recordStart(EndpointId("a"), now - 50ms);
    }

    HedgePolicy::Decision decide()
    {
        return policy.decide({ service, EndpointId("a"), now - 50ms, now + timeLeft, attempts, 2, excluded,
                                 isQuarantined, hostWasHeldUp },
            { runners, ledger, limits, east, hosts, isStopping }, retryBudget, now);
    }
};

void learn(HedgeDelay& delay, int answers, Duration took, TimePoint& now)
{
    for (int i = 0; i < answers; ++i)
        delay.record(took, now += 1s);
}

} // namespace

// Guards against hedges that go out too early, for too many requests, or never again after a change.
TEST_CASE("A run is slow when it takes longer than nearly all answers lately took")
{
    HedgeDelay delay;
    TimePoint now { 100s };

    SECTION("a new host can't tell")
    {
        learn(delay, HedgeDelay::minAnswers - 1, 30ms, now);
        CHECK_FALSE(delay.at(now));
        learn(delay, 1, 30ms, now);
        CHECK(delay.at(now) == Duration(30ms));
    }
    SECTION("one answer in twenty takes longer")
    {
        Random random(GENERATE(1U, 2U, 3U));
        for (int i = 0; i < 1000; ++i)
            delay.record(std::chrono::milliseconds(1 + random.below(100)), now += 20ms);
        CHECK(*delay.at(now) > 90ms);
        CHECK(*delay.at(now) < 100ms);
    }
    SECTION("a service that gets slower is followed within one window, a faster one within two")
    {
        learn(delay, 40, 30ms, now);
        learn(delay, 40, 300ms, now);
        CHECK(*delay.at(now) >= 200ms);
        learn(delay, 80, 30ms, now);
        CHECK(*delay.at(now) == Duration(30ms));
    }
    SECTION("what an idle service took long ago doesn't count")
    {
        learn(delay, 40, 30ms, now);
        CHECK_FALSE(delay.at(now + 6min));
        learn(delay, 1, 30ms, now += 6min);
        CHECK_FALSE(delay.at(now));
    }
}

// Guards against hosts that together send more than the operator's share, because they hear late or not of each other.
TEST_CASE("All hosts together keep to the share of hedges without hearing of each other")
{
    constexpr double ratio = 0.05;
    Random random(GENERATE(1U, 2U, 3U));
    std::vector<HedgeBudget> hosts(10, HedgeBudget(ratio, 10s));
    double requests = 0;
    double hedges = 0;
    TimePoint now { 100s };
    for (int i = 0; i < 60'000; ++i, now += 2ms) {
        // Every second a host joins or starts again, unheard of by the others.
        if (i % 500 == 0 && hosts.size() < 100)
            hosts.emplace_back(ratio, 10s);
        else if (i % 500 == 0)
            hosts[random.below(hosts.size())] = HedgeBudget(ratio, 10s);
        // Low indexes get more requests.
        HedgeBudget& host = hosts[random.below(1 + random.below(hosts.size()))];
        host.recordRequest(now);
        ++requests;
        // No request is slow in the first minute, and all are afterwards.
        if (i < 30'000 || !host.hasOne())
            continue;
        host.take();
        ++hedges;
        CHECK(hedges <= ratio * requests);
        // What was kept from calm times: ten seconds of requests, or one hedge a host.
        CHECK(hedges <= ratio * (i - 30'000 + 5000) + static_cast<double>(hosts.size()));
    }
    CHECK(hedges >= 0.9 * ratio * 30'000);
}

// Guards against hedges that take room, time or budgets from what matters more.
TEST_CASE("A hedge gives way to everything else")
{
    SlowRun slow;
    const auto withheld = [&](HedgeObstacle obstacle) { return slow.decide() == HedgePolicy::Decision(obstacle); };
    const EndpointId b("b");
    const EndpointId c("c");

    SECTION("to nothing else, it goes to another endpoint") { CHECK(slow.decide() == HedgePolicy::Decision(b)); }
    SECTION("to the number of runners of the route")
    {
        slow.attempts = 2;
        CHECK(withheld(HedgeObstacle::Attempts));
    }
    SECTION("to a near deadline")
    {
        slow.timeLeft = 29ms;
        CHECK(withheld(HedgeObstacle::Deadline));
    }
    SECTION("to a shutdown")
    {
        slow.isStopping = true;
        CHECK(withheld(HedgeObstacle::Stopping));
    }
    SECTION("to a quarantine")
    {
        slow.isQuarantined = true;
        CHECK(withheld(HedgeObstacle::Quarantine));
    }
    SECTION("to answers that wait unread")
    {
        slow.hostWasHeldUp = true;
        CHECK(withheld(HedgeObstacle::HostHeldUp));
    }
    SECTION("to a service that turns requests away, for some seconds")
    {
        slow.policy.recordRefusal(service, slow.now - 4s);
        CHECK(withheld(HedgeObstacle::Shortage));
        slow.policy.recordRefusal(service, slow.now - 6s);
        CHECK(slow.decide() == HedgePolicy::Decision(b));
    }
    SECTION("to an endpoint of the service that rests")
    {
        slow.runners.recordRest(c, slow.now, 2s, 0);
        CHECK(withheld(HedgeObstacle::Shortage));
    }
    SECTION("to a limit that an endpoint has named")
    {
        slow.limits.recordResponse(c, 0, RequestsPerSecond(100), slow.now, slow.now);
        CHECK(withheld(HedgeObstacle::Shortage));
    }
    SECTION("to the requests that wait at the other endpoints already")
    {
        for (const EndpointId& busy : { b, b, c, c })
            slow.ledger.reserve({ { busy, "", {} } }, 0);
        CHECK(withheld(HedgeObstacle::NoRunner));
    }
    SECTION("to the slowness of the service as a whole")
    {
        slow.policy.recordStart(b, slow.now - 40ms);
        slow.policy.recordDuration(service, c, 40ms, slow.now - 1s);
        CHECK(withheld(HedgeObstacle::NoRunner));
    }
    SECTION("to the suspicion of an endpoint, to a drain, and to what the request was refused by")
    {
        slow.runners.recordFailure(b, slow.now, 300ms);
        CHECK(slow.decide() == HedgePolicy::Decision(c));
        slow.excluded = { c };
        CHECK(withheld(HedgeObstacle::NoRunner));
        slow.excluded = {};
        slow.runners.recordLeaving({ c, 0 });
        CHECK(withheld(HedgeObstacle::NoRunner));
    }
    SECTION("to the retries that may be needed: it leaves half of the fleet's budget")
    {
        const SharedRetryBudget::Fleet alone { 1, 1, slow.ledger };
        const auto tryTake = [&] { return slow.retryBudget.tryTake({ service }, alone, slow.now); };
        const double allowed = slow.retryBudget.usage(service, alone, slow.now).allowed;
        CHECK(allowed <= 10 + 0.5 * 40);
        while (slow.retryBudget.usage(service, alone, slow.now).taken < allowed / 2)
            REQUIRE(tryTake());
        CHECK(withheld(HedgeObstacle::RetryBudget));
        CHECK(tryTake());
    }
    SECTION("to the operator's share")
    {
        for (int i = 0; i < 5; ++i)
            CHECK(slow.decide() == HedgePolicy::Decision(b));
        CHECK(withheld(HedgeObstacle::Budget));
    }
    SECTION("to the answer itself, before it is slow")
    {
        for (int i = 0; i < 30; ++i)
            slow.policy.recordDuration(service, c, 60ms, slow.now + 31s);
        slow.now += 31s;
        CHECK(withheld(HedgeObstacle::TooEarly));
    }
}

// Guards against a second run that fails for the same cause as the first.
TEST_CASE("At equal load a hedge goes to another data centre than the slow run")
{
    SlowRun slow;
    slow.ledger.reserve({ { EndpointId("b"), "", {} } }, 0);
    slow.ledger.reserve({ { EndpointId("a"), "", {} } }, 0);
    slow.ledger.reserve({ { EndpointId("a"), "", {} } }, 0);
    CHECK(slow.decide() == HedgePolicy::Decision(EndpointId("b")));
    slow.ledger.reserve({ { EndpointId("b"), "", {} } }, 0);
    CHECK(slow.decide() == HedgePolicy::Decision(EndpointId("c")));
}
