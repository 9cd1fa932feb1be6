#include "fuchsialb/Net.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace fuchsialb;

TEST_CASE("Log lines are one line of key=value pairs")
{
    std::vector<std::string> lines;
    std::int64_t now = 1'000'000;
    Logger logger([&](std::string_view line) { lines.emplace_back(line); }, [&] { return now; }, 2);

    // Guards against a caller's header forging a second log line or a second key.
    SECTION("values of callers are escaped")
    {
        logger.log(LogLine("request").add("organisation", "a b\nevent=\"x\""));
        REQUIRE(lines.size() == 1);
        CHECK(lines[0] == "time_us=1000000 event=request organisation=\"a b\\x0aevent=\\\"x\\\"\"");
    }

    // Guards against a hostile peer filling the log.
    SECTION("the rate of each event is bounded")
    {
        for (int i = 0; i < 5; ++i)
            logger.log(LogLine("drop"));
        logger.log(LogLine("other"));
        CHECK(lines.size() == 3);

        AND_WHEN("the next second begins")
        {
            now += 1'000'000;
            logger.log(LogLine("drop"));
            CHECK(lines.back() == "time_us=2000000 event=drop dropped_before=3");
        }
    }
}
