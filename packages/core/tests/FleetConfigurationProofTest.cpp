#include "tests/support/FleetDataCentre.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;
using namespace fuchsialb::test;

// Guards against refused keys and unready hosts after each change of the configuration.
TEST_CASE("A new configuration is trusted as long as its predecessor was")
{
    ConfigurationInForce configuration(5s);
    CHECK(configuration.accept(table(7), 10s));
    configuration.confirm(ConfigurationVersion(7), 30s);

    SECTION("although the watch that reported it was begun long before")
    {
        CHECK(configuration.accept(table(8), 12s));
        CHECK(configuration.provenAt() == Duration(30s));
        CHECK(configuration.keysTrusted(34s));
    }

    SECTION("but no longer, so that a removed key stops working in time")
    {
        CHECK(configuration.accept(table(8), 12s));
        CHECK_FALSE(configuration.keysTrusted(35s));
    }
}
