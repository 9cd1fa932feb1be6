#include "tests/support/FleetDataCentre.h"
#include "tests/support/FleetSamples.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

/// Delivers all beats that are due at `now`; the boot clock equals the monotonic one.
std::vector<BeatExchange::ConfigurationUpdate> exchange(std::vector<Host*> hosts, TimePoint now)
{
    std::vector<BeatExchange::ConfigurationUpdate> updates;
    for (Host* from : hosts) {
        for (const auto& outgoing :
            from->beats.dueBeats(now, now.time_since_epoch(), false, "text of " + from->id.value())) {
            for (Host* to : hosts) {
                if (to->id != outgoing.to)
                    continue;
                if (auto update = to->beats.receive(from->id, outgoing.beat, now))
                    updates.push_back(*update);
            }
        }
    }
    return updates;
}

} // namespace

// Guards against a data centre with no leader or with several ones after registrations expired or hosts died.
TEST_CASE("Hosts know each other by their beats")
{
    Host a("a", "east");
    Host b("b", "east");
    Host w("w", "west");
    TimePoint now { 100s };
    for (Host* host : { &a, &b, &w }) {
        for (const Host* other : { &a, &b, &w })
            host->directory.put(other->registration(), now);
    }
    const auto exchangeFor = [&](Duration time, std::vector<Host*> hosts) {
        for (const TimePoint end = now + time; now < end; now += 100ms)
            static_cast<void>(exchange(hosts, now));
    };
    exchangeFor(3s, { &a, &b, &w });

    SECTION("the live host with the lowest id sends the placement orders of its data centre")
    {
        CHECK(a.directory.ordersPlacement(DataCentreId("east"), now));
        CHECK_FALSE(b.directory.ordersPlacement(DataCentreId("east"), now));
        CHECK(w.directory.ordersPlacement(DataCentreId("west"), now));
        CHECK_FALSE(a.directory.ordersPlacement(DataCentreId("west"), now));
    }

    SECTION("expired registrations have no effect while beats arrive")
    {
        for (Host* host : { &a, &b, &w })
            host->directory.replaceAll({}, now);
        exchangeFor(12s, { &a, &b, &w });
        CHECK(a.directory.ordersPlacement(DataCentreId("east"), now));
        CHECK_FALSE(b.directory.ordersPlacement(DataCentreId("east"), now));
    }

    SECTION("another host becomes leader after a leader's death, although that is still registered")
    {
        exchangeFor(2s, { &b, &w });
        CHECK(b.directory.ordersPlacement(DataCentreId("east"), now));
    }

    SECTION("loads are summed over all hosts, and a dead host's load is removed")
    {
        const Path path { { EndpointId("r"), "10.0.0.1:80", { 0, 10 } } };
        a.ledger.reserve(path, 100);
        b.ledger.reserve(path, 50);
        w.ledger.reserve(path, 30);
        exchangeFor(2s, { &a, &b, &w });
        CHECK(b.ledger.at(EndpointId("r")).cache == Approx(1800));
        CHECK(w.ledger.at(EndpointId("r")).cache == Approx(1800));
        exchangeFor(5s, { &b, &w });
        CHECK(b.ledger.at(EndpointId("r")).cache == Approx(800));
    }

    SECTION("a runner found dead by one host isn't used by the others")
    {
        for (Host* host : { &a, &b }) {
            for (const RunnerEntry& entry : placedEntries(2))
                host->runners.put(entry);
        }
        b.runners.markDead(EndpointId("east-0"), now, 3s);
        exchangeFor(300ms, { &a, &b });
        CHECK_FALSE(a.runners.find(EndpointId("east-0"))->usable(now));

        SECTION("unless it has answered them")
        {
            a.runners.recordSuccess(EndpointId("east-1"), now);
            b.runners.markDead(EndpointId("east-1"), now, 3s);
            exchangeFor(200ms, { &a, &b });
            CHECK(a.runners.find(EndpointId("east-1"))->usable(now));
        }
    }
}

// Guards against a revoked API key that still works at a host without a connection to the store.
TEST_CASE("A configuration is trusted for a bounded time after its last proof")
{
    ConfigurationInForce configuration(5s);

    SECTION("versions never go back")
    {
        CHECK(configuration.accept(table(7), 10s));
        CHECK_FALSE(configuration.accept(table(6), 11s));
        CHECK(configuration.version() == ConfigurationVersion(7));
        CHECK_FALSE(configuration.accept(table(7), 12s));
        CHECK(configuration.provenAt() == Duration(12s));
    }

    SECTION("keys are trusted until the last proof is too old")
    {
        CHECK_FALSE(configuration.keysTrusted(0s));
        CHECK(configuration.accept(table(7), 10s));
        CHECK(configuration.keysTrusted(14s));
        CHECK_FALSE(configuration.keysTrusted(15s));
        configuration.confirm(ConfigurationVersion(8), 20s);
        CHECK_FALSE(configuration.keysTrusted(20s));
        configuration.confirm(ConfigurationVersion(7), 14s);
        CHECK(configuration.keysTrusted(18s));
    }

    SECTION("a peer's proof counts from the time of the beat that it answers")
    {
        Host a("a", "east");
        Host b("b", "east");
        TimePoint now { 100s };
        a.directory.put(b.registration(), now);
        b.directory.put(a.registration(), now);
        CHECK(a.configuration.accept(table(7), 99s));
        CHECK(b.configuration.accept(table(7), 90s));
        static_cast<void>(exchange({ &a, &b }, now));
        const Duration firstBeat = now.time_since_epoch();
        now += 200ms;
        static_cast<void>(exchange({ &a, &b }, now));
        // The proof is 1 s older than the echoed beat, regardless of the delay of the answer.
        CHECK(b.configuration.provenAt() <= firstBeat - 1s + 200ms);
        CHECK(b.configuration.provenAt() > Duration(98s));

        SECTION("and a newer configuration comes with it")
        {
            CHECK(a.configuration.accept(table(9), 100s));
            std::vector<BeatExchange::ConfigurationUpdate> updates;
            for (int i = 0; i < 10 && updates.empty(); ++i) {
                now += 200ms;
                updates = exchange({ &a, &b }, now);
            }
            REQUIRE_FALSE(updates.empty());
            CHECK(updates.front().configurationText == "text of a");
            CHECK(updates.front().provenAt <= now.time_since_epoch());
        }
    }
}
