#include "tests/support/FleetDataCentre.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;
using namespace fuchsialb::test;

// Guards against links that are full for seconds after each change of the configuration.
TEST_CASE("Hosts that read a new configuration from the store send no copies of it to each other")
{
    constexpr std::size_t hostCount = 36;
    FleetDataCentre dataCentre(hostCount);
    dataCentre.run(2s);
    REQUIRE(dataCentre.copies == 0);

    SECTION("when all read it at about the same time")
    {
        for (std::size_t i = 0; i < hostCount; ++i) {
            if (i == hostCount / 2)
                dataCentre.step();
            const Duration readAt = dataCentre.now.time_since_epoch();
            static_cast<void>(dataCentre.hosts[i]->configuration.accept(table(9), readAt));
        }
        dataCentre.run(5s);
        CHECK(dataCentre.copies == 0);
    }

    SECTION("one that can't read the store gets a single copy within two seconds")
    {
        for (std::size_t i = 1; i < hostCount; ++i)
            CHECK(dataCentre.hosts[i]->configuration.accept(table(9), dataCentre.now.time_since_epoch()));
        dataCentre.run(2s);
        CHECK(dataCentre.withConfiguration(9) == hostCount);
        CHECK(dataCentre.copies == 1);
    }

    SECTION("when only one can read the store, it sends one copy at a time and all get theirs")
    {
        CHECK(dataCentre.hosts[3]->configuration.accept(table(9), dataCentre.now.time_since_epoch()));
        dataCentre.run(6s);
        CHECK(dataCentre.withConfiguration(9) == hostCount);
        CHECK(dataCentre.copies < 2 * hostCount);
        CHECK(dataCentre.mostCopiesAtOnce == 1);
    }
}
