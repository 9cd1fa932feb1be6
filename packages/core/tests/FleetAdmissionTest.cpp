#include "tests/support/FleetSamples.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace fuchsialb;
using namespace fuchsialb::test;

// Guards against a flood of the least urgent requests that fills the KV cache or the slots of all runners, so that
// urgent requests find no free capacity (P9).
TEST_CASE("A flood of the least urgent requests leaves room for urgent ones")
{
    EngineProfile engine = fleetEngine();
    SECTION("when memory is the limit") { }
    SECTION("when slots are the limit") { engine.slots = 20; }
    RunnerDirectory directory;
    LoadLedger ledger;
    for (const RunnerEntry& entry : placedEntries(4))
        directory.put(entry);
    const PathFinder finder(directory, ledger);
    const TimePoint now { 10s };
    const auto admit = [&](std::uint32_t urgency) {
        const auto path = finder.find(
            { fleetService(), DataCentreId("east"), 600, AdmissionPolicy::cacheLimit(urgency), {} }, engine, now);
        if (path)
            ledger.reserve(*path, 600);
        return path.has_value();
    };
    int flood = 0;
    while (admit(2))
        ++flood;
    CHECK(flood > 30);
    CHECK((finder.cacheUsage(fleetService(), engine, now) > 0.8 || flood >= 2 * 0.8 * engine.slots));
    int urgent = 0;
    while (admit(0))
        ++urgent;
    CHECK(urgent * 10 > flood);
}

// Guards against new requests that overtake more urgent ones or the retries of refused callers.
TEST_CASE("Waiting requests are admitted by urgency, then those that came back, then by arrival")
{
    AdmissionQueue queue;
    const TimePoint now { 10s };
    queue.push(1, { 1, false, now + 1s });
    queue.push(2, { 0, false, now + 1s });
    queue.push(3, { 1, true, now + 1s });
    queue.push(4, { 0, false, now + 2s });
    CHECK(queue.order() == std::vector<AdmissionQueue::Key> { 2, 4, 3, 1 });
    CHECK(queue.hasWaiting(0));

    SECTION("expired requests are removed")
    {
        CHECK(queue.takeExpired(now + 1s).size() == 3);
        CHECK(queue.order() == std::vector<AdmissionQueue::Key> { 4 });
    }

    SECTION("removed requests are no longer waiting")
    {
        queue.remove(2);
        queue.remove(4);
        CHECK_FALSE(queue.hasWaiting(0));
        CHECK(queue.hasWaiting(1));
    }
}

// Guards against callers that were refused in one burst and retry all at once, or that are told to retry later than
// they wait.
TEST_CASE("Refused callers come back over a span, within the time that they wait")
{
    std::set<Duration> times;
    for (int i = 0; i < 10; ++i)
        times.insert(AdmissionPolicy::retryAfter(4s, 20s, i / 10.0));
    CHECK(times.size() == 10);
    CHECK(*times.begin() >= 2s);
    CHECK(*times.rbegin() <= 20s / 3);
    CHECK(AdmissionPolicy::retryAfter(4s, 900ms, 0.9) == 300ms);
}

// Guards against retries that multiply an overload over all hosts together.
TEST_CASE("Repeats stay within the share of a host")
{
    SharedRetryBudget budget({ 0.2, 10s, 100 });
    const TimePoint now { 10s };
    const TargetId service("model");
    const LoadLedger ledger;
    const auto tryTake = [&](TimePoint at) {
        return budget.tryTake({ service, SharedRetryBudget::Purpose::Resume }, { 10, 10, ledger }, at);
    };
    for (int i = 0; i < 50; ++i)
        budget.recordRequest(service, now);
    int taken = 0;
    while (tryTake(now))
        ++taken;
    CHECK(taken > 10);
    CHECK(taken <= 100 / 10 + 50 * 0.2);
    CHECK_FALSE(tryTake(now + 9s));
    budget.giveBack();
    CHECK(tryTake(now + 9s));
    CHECK_FALSE(tryTake(now + 9s));
    CHECK(tryTake(now + 10s));
}

// Guards against a request that runs at more runners than its route allows: each of two runners broke off the answer,
// and when the first then refused to resume it, the refusal removed that runner's earlier run from the count.
TEST_CASE("A request runs at no more runners than its route allows")
{
    const auto runner = [](const char* id, const char* address, std::int64_t startedAt) {
        RunnerEntry entry;
        entry.id = EndpointId(id);
        entry.address = address;
        entry.startedAt = startedAt;
        return entry;
    };
    const RunnerEntry a = runner("a", "10.0.0.1:80", 1000);
    const RunnerEntry b = runner("b", "10.0.0.2:80", 1000);
    RunnerDirectory directory;
    directory.replaceAll({ a, b });
    RunHistory history(2);
    history.recordRun(a);
    CHECK(history.mayUseAnotherRunner(directory));

    SECTION("a refused run does not count")
    {
        history.discardLast();
        CHECK(history.runners().empty());
    }

    SECTION("a refusal does not undo an earlier run at the same runner")
    {
        history.recordRun(b);
        CHECK_FALSE(history.mayUseAnotherRunner(directory));
        history.recordRun(a);
        history.discardLast();
        CHECK_FALSE(history.mayUseAnotherRunner(directory));
    }

    SECTION("a runner that was found dead counts, since it may only be silent")
    {
        history.recordRun(b);
        directory.markDead(b.id, TimePoint(10s), 3s);
        CHECK_FALSE(history.mayUseAnotherRunner(directory));
    }

    SECTION("a runner that the registry lacks counts, since it may serve on")
    {
        history.recordRun(b);
        directory.remove(b.id);
        CHECK_FALSE(history.mayUseAnotherRunner(directory));
    }

    SECTION("a runner that has started again since does not count")
    {
        history.recordRun(b);
        directory.put(runner("b", "10.0.0.2:80", 2000));
        CHECK(history.mayUseAnotherRunner(directory));

        SECTION("until the request is sent to it again")
        {
            history.recordRun(runner("b", "10.0.0.2:80", 2000));
            CHECK_FALSE(history.mayUseAnotherRunner(directory));
        }
    }

    SECTION("a runner whose address belongs to another one does not count")
    {
        history.recordRun(b);
        directory.put(runner("c", "10.0.0.2:80", 2000));
        CHECK(history.mayUseAnotherRunner(directory));
    }

    SECTION("an outdated entry with an earlier start undoes no run, and the later start then proves nothing")
    {
        history.recordRun(b);
        history.recordRun(runner("b", "10.0.0.2:80", 500));
        history.discardLast();
        CHECK_FALSE(history.mayUseAnotherRunner(directory));
    }

    SECTION("an older entry with the same address says nothing")
    {
        history.recordRun(b);
        directory.put(runner("c", "10.0.0.2:80", 500));
        CHECK_FALSE(history.mayUseAnotherRunner(directory));
    }
}

// Guards against streams that wait for a dead runner, and against leaving a runner that is only slow.
TEST_CASE("A stream that has stopped is asked about, then given up")
{
    using Verdict = StallDetector::Verdict;
    TimePoint now { 10s };
    StallDetector detector({}, now);
    CHECK(detector.check(now + 400ms) == Verdict::Flowing);
    CHECK(detector.check(now + 460ms) == Verdict::Ask);
    CHECK(detector.check(now + 500ms) == Verdict::Flowing);
    CHECK(detector.check(now + 800ms) == Verdict::Ask);
    CHECK(detector.check(now + 1300ms) == Verdict::GiveUp);
    detector.recordEvent(now + 1300ms);
    CHECK(detector.check(now + 1400ms) == Verdict::Flowing);
}

// Guards against a host that was stopped itself and takes the time for its runners' silence.
TEST_CASE("A host that was held up doubts itself first")
{
    using Verdict = StallDetector::Verdict;
    const TimePoint now { 10s };
    HostPauseDetector host(250ms);
    CHECK_FALSE(host.tick(now));
    CHECK_FALSE(host.tick(now + 250ms));
    CHECK_FALSE(host.overdue(now + 500ms));

    SECTION("a late tick is noticed before and by the tick, once")
    {
        CHECK(host.overdue(now + 501ms));
        CHECK(host.tick(now + 2s) == Duration(1750ms));
        CHECK_FALSE(host.overdue(now + 2s));
        CHECK_FALSE(host.tick(now + 2s + 25ms));
        CHECK(host.heldUpWithin(1s, now + 2900ms));
        CHECK_FALSE(host.tick(now + 2s + 50ms));
        for (TimePoint later = now + 2s + 100ms; later < now + 3s; later += 100ms)
            CHECK_FALSE(host.tick(later));
        CHECK_FALSE(host.heldUpWithin(1s, now + 3s));
    }

    SECTION("a stream's pause starts anew")
    {
        StallDetector detector({}, now);
        detector.recordHostPause(now + 2s);
        CHECK(detector.check(now + 2s) == Verdict::Flowing);
        CHECK(detector.check(now + 2460ms) == Verdict::Ask);
        CHECK(detector.lastEvent() == now);

        SECTION("but once only, so that a dead runner is still noticed by a host that is held up again")
        {
            detector.recordHostPause(now + 3s);
            CHECK(detector.check(now + 3300ms) == Verdict::GiveUp);
        }

        SECTION("and again after an event")
        {
            detector.recordEvent(now + 3s);
            detector.recordHostPause(now + 5s);
            CHECK(detector.check(now + 5s) == Verdict::Flowing);
        }
    }
}

// Guards against a suspension that continues after the runner has restarted.
TEST_CASE("A failing runner is passed over for a time that grows, and is forgiven on its restart")
{
    RunnerDirectory directory;
    RunnerEntry entry = fleetEntries().front();
    directory.put(entry);
    TimePoint now { 10s };
    directory.recordFailure(entry.id, now, 100ms);
    CHECK_FALSE(directory.find(entry.id)->usable(now + 99ms));
    CHECK(directory.find(entry.id)->usable(now + 100ms));
    now += 100ms;
    directory.recordFailure(entry.id, now, 100ms);
    CHECK_FALSE(directory.find(entry.id)->usable(now + 199ms));

    SECTION("a success resets the suspension time")
    {
        now += 200ms;
        directory.recordSuccess(entry.id, now);
        directory.recordFailure(entry.id, now, 100ms);
        CHECK(directory.find(entry.id)->usable(now + 100ms));
    }

    SECTION("an answer of a runner that was found dead ends the suspension, since it was only silent")
    {
        now += 200ms;
        directory.markDead(entry.id, now, 3s);
        CHECK_FALSE(directory.find(entry.id)->usable(now + 100ms));
        directory.recordSuccess(entry.id, now + 100ms);
        CHECK(directory.find(entry.id)->usable(now + 100ms));
        CHECK_FALSE(directory.find(entry.id)->lost(now + 100ms));
    }

    SECTION("a later refusal doesn't count as a finding of death")
    {
        now += 200ms;
        directory.markDead(entry.id, now, 3s);
        now += 7s;
        directory.recordFailure(entry.id, now, 300ms);
        CHECK_FALSE(directory.find(entry.id)->dead(now));
        CHECK_FALSE(directory.find(entry.id)->markedDeadLocally);
    }

    SECTION("a restart under the same id ends the suspension")
    {
        entry.startedAt += 1;
        directory.put(entry);
        CHECK(directory.find(entry.id)->usable(now));
    }

    SECTION("a new listing keeps the suspension of a runner that is still listed")
    {
        directory.replaceAll({ entry });
        CHECK_FALSE(directory.find(entry.id)->usable(now));
        directory.replaceAll({});
        CHECK_FALSE(directory.find(entry.id));
    }
}
