#include "tests/support/FleetDataCentre.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

const TargetId model("model");
const PromptPartId common("common");
const PromptPartId rare("rare");
const PromptPartId bad("bad");

using Parts = std::vector<PromptPartId>;

RunnerProcess process(int number) { return { EndpointId("r" + std::to_string(number)), 1000 + number }; }

bool isQuarantined(const CrashEvidence& evidence, const PromptPartId& part)
{
    return evidence.quarantine(model, { part }) != nullptr;
}

} // namespace

// Guards against requests that end runner after runner because no two crashes are seen to have a part in common.
SCENARIO("the part that explains the crashes is quarantined")
{
    CrashEvidence evidence;
    TimePoint now { 100s };
    const auto crash
        = [&](int number, const Parts& parts) { evidence.recordCrash(process(number), model, parts, now, now); };
    const auto answer = [&](const Parts& parts) { evidence.recordAnswer(model, parts, now, now); };

    GIVEN("requests that share their first part, most of which are answered")
    {
        for (int i = 0; i < 40; ++i)
            answer({ common });

        WHEN("one runner ends under a request with another part")
        {
            crash(1, { common, bad });

            THEN("nothing is quarantined, and the request is suspect")
            {
                CHECK(evidence.quarantined().empty());
                CHECK(evidence.isSuspect(process(1), model, { common, bad }));
            }
            AND_WHEN("another request with both parts is answered")
            {
                now += 100ms;
                answer({ common, bad });

                THEN("the request is no longer suspect")
                {
                    CHECK_FALSE(evidence.isSuspect(process(1), model, { common, bad }));
                }
            }
            AND_WHEN("a request that had begun to be answered before goes on")
            {
                evidence.recordAnswer(model, { common, bad }, now - 50ms, now + 50ms);

                THEN("that says nothing of what happened later")
                {
                    CHECK(evidence.isSuspect(process(1), model, { common, bad }));
                }
            }
            AND_WHEN("a second runner ends under a request with that part, beside others")
            {
                now += 300ms;
                crash(2, { common, bad });
                crash(2, { common });
                crash(2, { common, rare });

                THEN("that part alone is quarantined")
                {
                    CHECK(isQuarantined(evidence, bad));
                    CHECK_FALSE(isQuarantined(evidence, common));
                    CHECK_FALSE(isQuarantined(evidence, rare));
                }
                THEN("the requests beside it are free to run elsewhere")
                {
                    CHECK(evidence.isSuspect(process(2), model, { common, bad }));
                    CHECK_FALSE(evidence.isSuspect(process(2), model, { common }));
                    CHECK_FALSE(evidence.isSuspect(process(2), model, { common, rare }));
                }
            }
        }

        WHEN("many runners end at the same moment under sound requests, as in a loss of power")
        {
            for (int i = 0; i < 13; ++i) {
                crash(i, { common });
                crash(i, { common, rare });
                now += 10ms;
            }

            THEN("nothing is quarantined") { CHECK(evidence.quarantined().empty()); }
        }

        WHEN("a rare part happens to be at two runners that end under another one")
        {
            crash(1, { common, bad });
            crash(1, { common, rare });
            now += 300ms;
            crash(2, { common, bad });
            now += 300ms;
            crash(3, { common, bad });
            crash(3, { common, rare });

            THEN("it isn't quarantined, since the other part explains these crashes")
            {
                CHECK(isQuarantined(evidence, bad));
                CHECK_FALSE(isQuarantined(evidence, rare));
            }
        }
    }

    GIVEN("a part that was answered now and then before runners began to end under it")
    {
        for (int i = 0; i < 6; ++i)
            answer({ common, bad });
        for (int i = 0; i < 200; ++i)
            answer({ common });

        WHEN("runners end under it one after the other")
        {
            for (int i = 0; i < 5; ++i) {
                now += 300ms;
                crash(i, { common, bad });
                now += 50ms;
                answer({ common });
            }

            THEN("it is quarantined by the fifth crash")
            {
                CHECK(isQuarantined(evidence, bad));
                CHECK_FALSE(isQuarantined(evidence, common));
            }
        }
    }

    GIVEN("a part that was answered most often of all")
    {
        for (int i = 0; i < 1000; ++i)
            answer({ common, bad });

        WHEN("runners end under it one after the other, and no request with it is answered")
        {
            for (int i = 0; i < 5; ++i) {
                CHECK_FALSE(isQuarantined(evidence, bad));
                now += 300ms;
                crash(i, { common, bad });
            }

            THEN("it is quarantined by the fifth crash, as the one that fewer requests share")
            {
                CHECK(isQuarantined(evidence, bad));
                CHECK_FALSE(isQuarantined(evidence, common));
            }
        }
        WHEN("runners end under other requests, and those with it are answered in between")
        {
            for (int i = 0; i < 20; ++i) {
                now += 300ms;
                crash(i, { common, bad });
                now += 100ms;
                answer({ common, bad });
            }

            THEN("nothing is quarantined") { CHECK(evidence.quarantined().empty()); }
        }
    }

    GIVEN("a host that has just started and was told of crashes only")
    {
        WHEN("the crashes have two parts in common")
        {
            crash(1, { common, bad });
            now += 300ms;
            crash(2, { common, bad });

            THEN("the one that fewer requests share is quarantined")
            {
                CHECK(isQuarantined(evidence, bad));
                CHECK_FALSE(isQuarantined(evidence, common));
            }
        }
    }

    GIVEN("crashes under a part that every request of a service has")
    {
        crash(1, { common });
        now += 300ms;
        crash(2, { common });

        THEN("it is quarantined for that service, and for no other one")
        {
            CHECK(isQuarantined(evidence, common));
            CHECK(evidence.quarantine(TargetId("other"), { common }) == nullptr);
        }
    }
}

// Guards against a quarantine that never ends, and against trials that end a runner each time a caller asks.
SCENARIO("a quarantined part is tried again, the more rarely the more runners ended under it")
{
    CrashEvidence evidence;
    TimePoint now { 100s };
    for (int i = 0; i < 2; ++i) {
        now += 300ms;
        evidence.recordCrash(process(i), model, { common, bad }, now, now);
    }
    REQUIRE(isQuarantined(evidence, bad));

    THEN("no trial begins at once") { CHECK_FALSE(evidence.beginTrial(model, bad, now + 29s)); }
    THEN("a part that isn't quarantined needs no trial") { CHECK_FALSE(evidence.beginTrial(model, rare, now + 1h)); }

    WHEN("the time for a trial has come")
    {
        now += 30s;
        REQUIRE(evidence.beginTrial(model, bad, now));

        THEN("no second one begins while its outcome is open")
        {
            CHECK_FALSE(evidence.beginTrial(model, bad, now + 4s));
            CHECK(evidence.beginTrial(model, bad, now + 5s));
        }
        AND_WHEN("it is answered")
        {
            evidence.recordAnswer(model, { common, bad }, now + 1s, now + 1s);

            THEN("the quarantine is over") { CHECK_FALSE(isQuarantined(evidence, bad)); }
        }
        AND_WHEN("another runner ends under it")
        {
            evidence.recordCrash(process(7), model, { common, bad }, now + 1s, now + 1s);

            THEN("the next trial comes later than this one did")
            {
                CHECK(isQuarantined(evidence, bad));
                CHECK_FALSE(evidence.beginTrial(model, bad, now + 60s));
                CHECK(evidence.beginTrial(model, bad, now + 61s));
            }
        }
    }

    WHEN("the reports are older than their lifetime")
    {
        evidence.expire(now + 10min);

        THEN("nothing is left of it")
        {
            CHECK(evidence.quarantined().empty());
            CHECK(evidence.digest() == 0);
        }
    }
}

// Guards against hosts that judge by different evidence because reports reached them in another order.
SCENARIO("hosts that have exchanged all reports hold the same ones")
{
    GIVEN("hosts that learn of crashes and answers at different times")
    {
        const auto seed = GENERATE(range(1U, 201U));
        std::mt19937 random(seed);
        const auto below = [&](std::uint32_t bound) { return static_cast<int>(random() % bound); };
        constexpr int hostCount = 4;
        std::vector<CrashEvidence> hosts(hostCount);
        TimePoint now { 100s };
        const std::vector<Parts> prompts { { common }, { common, rare }, { common, bad }, { rare } };
        for (int step = 0; step < 60; ++step) {
            now += 50ms;
            CrashEvidence& host = hosts[static_cast<std::size_t>(below(hostCount))];
            const Parts& parts = prompts[static_cast<std::size_t>(below(4))];
            const int action = below(3);
            if (action == 0)
                host.recordCrash(process(step / 5), model, parts, now, now);
            else if (action == 1)
                host.recordAnswer(model, parts, now, now);
            else
                host.merge(hosts[static_cast<std::size_t>(below(hostCount))].reports(now), now);
        }

        WHEN("each has sent its reports to all others")
        {
            for (int round = 0; round < 2; ++round) {
                for (CrashEvidence& to : hosts) {
                    for (const CrashEvidence& from : hosts)
                        to.merge(from.reports(now), now);
                }
            }

            THEN("they hold the same reports, and another exchange tells nothing new")
            {
                INFO("seed " << seed);
                for (CrashEvidence& host : hosts) {
                    CHECK(host.digest() == hosts.front().digest());
                    CHECK_FALSE(host.merge(hosts.front().reports(now), now));
                }
            }
        }
    }
}

// Guards against a harmful part that is never seen since the prompt has many others.
SCENARIO("the part that ends runners is found wherever it stands in a long prompt")
{
    const std::size_t length = GENERATE(20U, 200U, 600U);
    const std::size_t place = GENERATE(0U, 1U, 2U);
    CAPTURE(length, place);
    const std::size_t at = place * (length - 1) / 2;
    TimePoint now { 100s };
    Parts sound;
    for (std::size_t i = 0; i < length; ++i)
        sound.emplace_back("c0ffee" + std::to_string(i));
    Parts harmful = sound;
    harmful[at] = bad;

    GIVEN("a host whose sound requests share the other parts")
    {
        CrashEvidence evidence;
        for (int i = 0; i < 40; ++i)
            evidence.recordAnswer(model, sound, now, now);

        WHEN("runners end under requests with the part, and sound ones go on")
        {
            for (int i = 0; i < 2; ++i) {
                now += 300ms;
                evidence.recordCrash(process(i), model, harmful, now, now);
            }

            THEN("it is quarantined at the second crash, and nothing else is")
            {
                CHECK(isQuarantined(evidence, bad));
                CHECK(evidence.quarantined().size() == 1);
                CHECK(evidence.quarantine(model, sound) == nullptr);
            }
            AND_WHEN("a sound one has been answered since")
            {
                now += 100ms;
                evidence.recordAnswer(model, sound, now, now);

                THEN("the reports name the part alone")
                {
                    for (const CrashReport& report : evidence.reports(now)) {
                        REQUIRE(report.suspects.size() == 1);
                        CHECK(report.suspects.front().part == bad);
                    }
                }
            }
        }
    }

    GIVEN("hosts that have just started, each of which sees one crash")
    {
        FleetDataCentre dataCentre(5);
        dataCentre.run(3s);
        for (int i = 0; i < 2; ++i) {
            Host& host = *dataCentre.hosts[static_cast<std::size_t>(i)];
            host.crashes.recordCrash(process(i), model, harmful, dataCentre.now, dataCentre.now);
            dataCentre.run(300ms);
            host.crashes.recordAnswer(model, sound, dataCentre.now, dataCentre.now);
        }

        WHEN("a second has passed")
        {
            dataCentre.run(1s);

            THEN("all of them have quarantined the part alone")
            {
                for (const auto& host : dataCentre.hosts) {
                    CHECK(isQuarantined(host->crashes, bad));
                    CHECK(host->crashes.quarantined().size() == 1);
                }
            }
        }
    }
}

// Guards against memory and messages that grow with hostile prompts, and against evidence that is lost for it.
TEST_CASE("the number of suspect parts is bounded, and those of several crashes are kept")
{
    CrashEvidence evidence;
    TimePoint now { 100s };
    const std::size_t bound = CrashEvidence::Limits().maxSuspects;
    for (int crash = 0; crash < 8; ++crash) {
        now += 300ms;
        Parts parts;
        for (int i = 0; i < 1000; ++i)
            parts.emplace_back(std::to_string(crash * 1000 + i));
        parts[static_cast<std::size_t>(crash * 100)] = bad;
        evidence.recordCrash(process(crash), model, parts, now, now);
        std::size_t suspects = 0;
        for (const CrashReport& report : evidence.reports(now))
            suspects += report.suspects.size();
        CHECK(suspects <= bound);
    }
    CHECK(isQuarantined(evidence, bad));
    CHECK(evidence.quarantined().size() == 1);
}

// Guards against memory that grows with hostile prompts.
TEST_CASE("the number of reports is bounded, and those that tell nothing any more go first")
{
    CrashEvidence evidence;
    TimePoint now { 100s };
    evidence.recordCrash(process(0), model, { bad }, now, now);
    for (int i = 1; i < 1000; ++i) {
        now += 1ms;
        evidence.recordCrash(process(i), model, { PromptPartId("p" + std::to_string(i)) }, now, now);
        evidence.recordAnswer(model, { PromptPartId("p" + std::to_string(i)) }, now + 1ms, now + 1ms);
    }
    CHECK(evidence.reports(now).size() == CrashEvidence::Limits().maxReports);
    CHECK(evidence.isSuspect(process(0), model, { bad }));
}

// Guards against evidence that reaches the hosts of a data centre too late, each of which ends a runner meanwhile.
SCENARIO("evidence of crashes reaches all hosts of a data centre within a second")
{
    const std::size_t count = GENERATE(5U, 36U);
    FleetDataCentre dataCentre(count);
    dataCentre.run(3s);

    GIVEN("two hosts under whose requests a runner has ended")
    {
        Host& first = *dataCentre.hosts.front();
        Host& last = *dataCentre.hosts.back();
        first.crashes.recordCrash(process(1), model, { common, bad }, dataCentre.now, dataCentre.now);
        dataCentre.run(300ms);
        last.crashes.recordCrash(process(2), model, { common, bad }, dataCentre.now, dataCentre.now);

        WHEN("a second has passed")
        {
            dataCentre.run(1s);

            THEN("each host has quarantined the part")
            {
                for (const auto& host : dataCentre.hosts)
                    CHECK(isQuarantined(host->crashes, bad));
            }
            AND_WHEN("one host hears an answer to a request with the part")
            {
                last.crashes.recordAnswer(model, { common, bad }, dataCentre.now, dataCentre.now);
                dataCentre.run(1s);

                THEN("all hosts end the quarantine")
                {
                    for (const auto& host : dataCentre.hosts)
                        CHECK(host->crashes.quarantined().empty());
                }
            }
        }
    }
}
