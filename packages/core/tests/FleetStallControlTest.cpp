#include "tests/support/FleetSamples.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

RunnerEntry entry(const char* id, const char* address, const char* dataCentre, const char* service)
{
    RunnerEntry result;
    result.id = EndpointId(id);
    result.address = address;
    result.dataCentre = DataCentreId(dataCentre);
    result.service = TargetId(service);
    return result;
}

} // namespace

// Guards against a choice of the second runner that says nothing about the link of this host.
TEST_CASE("A stall is checked with a runner that is likely to answer")
{
    const TimePoint now { 100s };
    const DataCentreId east("east");
    const RunnerEntry first = entry("first", "10.0.0.1:80", "east", "model");
    const RunnerEntry second = entry("second", "10.0.0.2:80", "east", "model");
    const Path path { { first.id, first.address, {}, east }, { second.id, second.address, {}, east } };
    RunnerDirectory runners;
    runners.put(first);
    const auto selected = [&](const std::set<EndpointId>& asked = {}) {
        const RunnerDirectory::Runner* control = selectStallControl(runners, path, asked, east, now);
        return control ? control->entry.id.value() : "none";
    };
    const auto add = [&](const char* id, const char* address, const char* dataCentre, const char* service) {
        runners.put(entry(id, address, dataCentre, service));
    };

    SECTION("the first runner is never its own control")
    {
        CHECK(selected() == "none");

        SECTION("nor is another registration of the same address")
        {
            add("same", "10.0.0.1:80", "east", "model");
            CHECK(selected() == "none");
        }
    }

    SECTION("a runner that isn't on the path precedes one that is")
    {
        runners.put(second);
        CHECK(selected() == "second");
        add("third", "10.0.0.3:80", "east", "model");
        CHECK(selected() == "third");

        SECTION("unless only the one on the path succeeded lately")
        {
            runners.recordSuccess(second.id, now - 1s);
            CHECK(selected() == "second");
        }

        SECTION("unless it has been asked already")
        {
            CHECK(selected({ EndpointId("third") }) == "second");
            CHECK(selected({ EndpointId("third"), second.id }) == "third");
        }

        SECTION("unless it is suspended")
        {
            runners.markDeadByPeer(EndpointId("third"), now, 2s);
            CHECK(selected() == "second");
        }
    }

    SECTION("a suspended runner is better than none")
    {
        runners.put(second);
        runners.markDead(second.id, now, 2s);
        CHECK(selected() == "second");
    }

    SECTION("a runner of another service and data centre that succeeded lately precedes one that didn't")
    {
        add("near", "10.0.0.3:80", "east", "model");
        add("far", "10.1.0.1:80", "west", "plain");
        CHECK(selected() == "near");
        runners.recordSuccess(EndpointId("far"), now - 1s);
        CHECK(selected() == "far");

        SECTION("but not after some time")
        {
            runners.recordSuccess(EndpointId("far"), now - 6s);
            CHECK(selected() == "near");
        }

        SECTION("and the own data centre precedes the more recent success")
        {
            runners.recordSuccess(EndpointId("near"), now - 3s);
            CHECK(selected() == "near");
        }
    }

    SECTION("among equals, the runner that succeeded last is asked")
    {
        add("a", "10.0.0.3:80", "east", "model");
        add("b", "10.0.0.4:80", "east", "model");
        runners.recordSuccess(EndpointId("a"), now - 2s);
        runners.recordSuccess(EndpointId("b"), now - 1s);
        CHECK(selected() == "b");
    }

    SECTION("without any success, a runner of the same service precedes others")
    {
        add("plain", "10.0.0.3:80", "east", "plain");
        add("stage", "10.0.0.4:80", "east", "model");
        CHECK(selected() == "stage");
    }
}
