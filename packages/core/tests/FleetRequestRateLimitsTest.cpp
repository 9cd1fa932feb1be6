#include "fuchsialb/Fleet.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;
using namespace std::chrono_literals;

namespace {

const EndpointId runner { "r" };
constexpr std::int64_t firstStart = 1000;
constexpr RequestsPerSecond five { 5 };
constexpr RequestsPerSecond two { 2 };

} // namespace

// Guards against a limit that is forgotten while the runner names it, or kept when it doesn't any more.
TEST_CASE("A limit on requests holds for as long as the runner names it")
{
    const TimePoint now { 10s };
    RequestRateLimits limits;
    CHECK(limits.recordResponse(runner, firstStart, five, now - 50ms, now));
    CHECK(limits.find(runner, firstStart) == five);
    CHECK_FALSE(limits.recordResponse(runner, firstStart, five, now, now + 100ms));

    SECTION("however long it gets no requests") { CHECK(limits.statements(now + 1h).size() == 1); }

    SECTION("a response to a request that was sent later ends it")
    {
        CHECK(limits.recordResponse(runner, firstStart, std::nullopt, now + 200ms, now + 300ms));
        CHECK_FALSE(limits.find(runner, firstStart));

        SECTION("and other hosts are told so for a while")
        {
            REQUIRE(limits.statements(now + 400ms).size() == 1);
            CHECK_FALSE(limits.statements(now + 400ms).front().rate);
            CHECK(limits.statements(now + 10s).empty());
        }

        SECTION("and an older statement of another host doesn't bring it back")
        {
            CHECK_FALSE(limits.recordRelayed({ runner, firstStart, five, 300ms }, now + 500ms));
            CHECK_FALSE(limits.find(runner, firstStart));
        }

        SECTION("and a response to a request that was sent before doesn't either")
        {
            CHECK_FALSE(limits.recordResponse(runner, firstStart, five, now + 250ms, now + 400ms));
            CHECK_FALSE(limits.find(runner, firstStart));
        }

        SECTION("until the runner names one again")
        {
            CHECK(limits.recordResponse(runner, firstStart, five, now + 350ms, now + 400ms));
            CHECK(limits.find(runner, firstStart) == five);
        }
    }

    SECTION("a response to a request that was sent before it was named doesn't, as it may have been overtaken")
    {
        CHECK_FALSE(limits.recordResponse(runner, firstStart, std::nullopt, now + 90ms, now + 300ms));
        CHECK(limits.find(runner, firstStart) == five);
    }

    SECTION("the runner may name another one")
    {
        CHECK(limits.recordResponse(runner, firstStart, two, now + 1s, now + 1s));
        CHECK(limits.find(runner, firstStart) == two);
    }

    SECTION("it ends with the runner's process")
    {
        CHECK_FALSE(limits.find(runner, firstStart + 1));

        SECTION("and a late response of that one changes nothing")
        {
            CHECK(limits.recordResponse(runner, firstStart + 1, two, now + 1s, now + 1s));
            CHECK_FALSE(limits.recordResponse(runner, firstStart, five, now + 2s, now + 2s));
            CHECK_FALSE(limits.recordResponse(runner, firstStart, std::nullopt, now + 2s, now + 2s));
            CHECK(limits.find(runner, firstStart + 1) == two);
        }
    }

    SECTION("another host learns it")
    {
        RequestRateLimits other;
        for (const RequestRateLimit& statement : limits.statements(now + 1s))
            CHECK(other.recordRelayed(statement, now + 1s));
        CHECK(other.find(runner, firstStart) == five);

        SECTION("and isn't told of anything new when it comes back on the way through others")
        {
            CHECK_FALSE(limits.recordRelayed(other.statements(now + 2s).front(), now + 2s));
            CHECK_FALSE(limits.recordRelayed({ runner, firstStart, five, 0s }, now + 2s));
        }

        SECTION("and takes a newer one")
        {
            CHECK(other.recordRelayed({ runner, firstStart, two, 100ms }, now + 3s));
            CHECK(other.find(runner, firstStart) == two);
        }
    }

    SECTION("the number of runners is bounded")
    {
        for (int i = 0; i < 3000; ++i)
            limits.recordResponse(EndpointId("gone-" + std::to_string(i)), 1, five, now, now + 1s);
        CHECK(limits.statements(now + 1s).size() <= 1024);
    }
}
