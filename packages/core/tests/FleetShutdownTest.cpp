#include "fuchsialb/Fleet.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;
using namespace std::chrono_literals;

// Guards against requests that are taken late in the grace time of a shutdown and cut at its end.
SCENARIO("a host that shuts down takes the requests alone that it can finish")
{
    GIVEN("a grace time, short or long")
    {
        const Duration grace = GENERATE(Duration(1s), Duration(3s), Duration(8s), Duration(30s));
        const ShutdownSchedule schedule(grace);

        THEN("each request that is taken may last as long as expected before the process exits")
        {
            for (Duration elapsed { 0 }; elapsed < grace; elapsed += 50ms) {
                for (const Duration expected : { Duration(100ms), Duration(1500ms), Duration(6s), Duration(20s) }) {
                    if (schedule.accepts(elapsed, expected))
                        CHECK(elapsed + expected < schedule.exitTime());
                }
            }
        }
        THEN("the process has answered all before it exits, and exits before it is killed")
        {
            CHECK(schedule.answerTime() < schedule.exitTime());
            CHECK(schedule.exitTime() < grace);
        }
    }
    GIVEN("the usual grace time, and answers that were given late because the process was held up")
    {
        const ShutdownSchedule schedule(8s);

        THEN("the process doesn't exit before they are written, while time is left")
        {
            CHECK_FALSE(schedule.exitsAfterAnswers(7700ms, 0ms, true));
            CHECK_FALSE(schedule.exitsAfterAnswers(7750ms, 50ms, true));
            CHECK_FALSE(schedule.exitsAfterAnswers(7850ms, 150ms, false));
            CHECK(schedule.exitsAfterAnswers(7850ms, 150ms, true));
            CHECK(schedule.exitsAfterAnswers(7950ms, 250ms, false));
        }
        THEN("a process that was held up beyond the grace time still writes answers once")
        {
            CHECK_FALSE(schedule.exitsAfterAnswers(9s, 0ms, true));
            CHECK(schedule.exitsAfterAnswers(9025ms, 25ms, false));
        }
    }
    GIVEN("the usual grace time")
    {
        const ShutdownSchedule schedule(8s);

        THEN("short requests are taken while callers may not know of the shutdown")
        {
            CHECK(schedule.accepts(2400ms, 1500ms));
            CHECK_FALSE(schedule.accepts(2600ms, 1500ms));
        }
        THEN("long ones are left to other hosts") { CHECK_FALSE(schedule.accepts(100ms, 20s)); }
    }
}

// Guards against streams that are taken in a stop because most are short, and cut at its end.
SCENARIO("the longest of the latest durations bounds those to come")
{
    RecentDurations durations;

    GIVEN("too few durations")
    {
        for (int i = 0; i < 29; ++i)
            durations.record(1s);
        THEN("nothing is known") { CHECK_FALSE(durations.longest()); }
    }
    GIVEN("many short durations and one long one")
    {
        durations.record(9s);
        for (int i = 0; i < 199; ++i)
            durations.record(1s);
        THEN("the long one counts until it is out of date")
        {
            CHECK(durations.longest() == Duration(9s));
            durations.record(1s);
            CHECK(durations.longest() == Duration(1s));
        }
    }
}
