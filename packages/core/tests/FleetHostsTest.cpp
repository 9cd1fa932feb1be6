#include "tests/support/FleetSamples.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

/// One host with all that its beats are about.
struct Host {
    HostId id;
    DataCentreId dataCentre;
    HostBoard board;
    LoadLedger ledger;
    RunnerDirectory runners;
    ConfigurationInForce configuration { 5s };
    BeatExchange beats;

    Host(const char* name, const char* place)
        : id(name)
        , dataCentre(place)
        , board(id, dataCentre)
        , beats({ id, dataCentre, std::string(name) + ":1", board, ledger, runners, configuration })
    {
    }

    RegisteredHost registration() const { return { id, dataCentre, id.value() + ":1" }; }
};

std::shared_ptr<const RoutingTable> table(std::uint64_t version)
{
    auto made = std::make_shared<RoutingTable>();
    made->version = ConfigurationVersion(version);
    return made;
}

/// Delivers all beats that are due at `now`; the boot clock runs with the monotonic one.
std::vector<BeatExchange::News> exchange(std::vector<Host*> hosts, TimePoint now)
{
    std::vector<BeatExchange::News> news;
    for (Host* from : hosts) {
        for (const auto& outgoing :
            from->beats.due(now, now.time_since_epoch(), false, "text of " + from->id.value())) {
            for (Host* to : hosts) {
                if (to->id != outgoing.to)
                    continue;
                if (auto taken = to->beats.take(from->id, outgoing.beat, now))
                    news.push_back(*taken);
            }
        }
    }
    return news;
}

} // namespace

// Guards against a duty that nobody or everybody has when registrations lapse or hosts die.
TEST_CASE("Hosts know each other by their beats")
{
    Host a("a", "east");
    Host b("b", "east");
    Host w("w", "west");
    TimePoint now { 100s };
    for (Host* host : { &a, &b, &w }) {
        for (const Host* other : { &a, &b, &w })
            host->board.put(other->registration(), now);
    }
    const auto beatFor = [&](Duration time, std::vector<Host*> hosts) {
        for (const TimePoint end = now + time; now < end; now += 100ms)
            static_cast<void>(exchange(hosts, now));
    };
    beatFor(3s, { &a, &b, &w });

    SECTION("the lowest one that is alive gives the orders of its data centre")
    {
        CHECK(a.board.givesOrders(DataCentreId("east"), now));
        CHECK_FALSE(b.board.givesOrders(DataCentreId("east"), now));
        CHECK(w.board.givesOrders(DataCentreId("west"), now));
        CHECK_FALSE(a.board.givesOrders(DataCentreId("west"), now));
    }

    SECTION("lapsed registrations change nothing while beats arrive")
    {
        for (Host* host : { &a, &b, &w })
            host->board.replaceAll({}, now);
        beatFor(12s, { &a, &b, &w });
        CHECK(a.board.givesOrders(DataCentreId("east"), now));
        CHECK_FALSE(b.board.givesOrders(DataCentreId("east"), now));
    }

    SECTION("a dead host's duty passes on although it is still registered")
    {
        beatFor(2s, { &b, &w });
        CHECK(b.board.givesOrders(DataCentreId("east"), now));
    }

    SECTION("loads add up over all hosts and leave with them")
    {
        const Path path { { EndpointId("r"), "10.0.0.1:80", { 0, 10 } } };
        a.ledger.reserve(path, 100);
        b.ledger.reserve(path, 50);
        w.ledger.reserve(path, 30);
        beatFor(2s, { &a, &b, &w });
        CHECK(b.ledger.at(EndpointId("r")).cache == Approx(1800));
        CHECK(w.ledger.at(EndpointId("r")).cache == Approx(1800));
        beatFor(5s, { &b, &w });
        CHECK(b.ledger.at(EndpointId("r")).cache == Approx(800));
    }

    SECTION("a runner found dead by one host is passed over by the others")
    {
        for (Host* host : { &a, &b }) {
            for (const RunnerEntry& entry : placedEntries(2))
                host->runners.put(entry);
        }
        b.runners.markDead(EndpointId("east-0"), now, 3s);
        beatFor(300ms, { &a, &b });
        CHECK_FALSE(a.runners.find(EndpointId("east-0"))->usable(now));

        SECTION("unless it answers them")
        {
            a.runners.recordSuccess(EndpointId("east-1"), now);
            b.runners.markDead(EndpointId("east-1"), now, 3s);
            beatFor(200ms, { &a, &b });
            CHECK(a.runners.find(EndpointId("east-1"))->usable(now));
        }
    }
}

// Guards against a key that works after its removal, at a host that the store does not reach.
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

    SECTION("keys are trusted until the proof is too old")
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
        a.board.put(b.registration(), now);
        b.board.put(a.registration(), now);
        CHECK(a.configuration.accept(table(7), 99s));
        CHECK(b.configuration.accept(table(7), 90s));
        static_cast<void>(exchange({ &a, &b }, now));
        const Duration firstBeat = now.time_since_epoch();
        now += 200ms;
        static_cast<void>(exchange({ &a, &b }, now));
        // The proof is 1 s older than the echoed beat, whatever time the answer took on its way.
        CHECK(b.configuration.provenAt() <= firstBeat - 1s + 200ms);
        CHECK(b.configuration.provenAt() > Duration(98s));

        SECTION("and a newer configuration comes with it")
        {
            CHECK(a.configuration.accept(table(9), 100s));
            std::vector<BeatExchange::News> news;
            for (int i = 0; i < 10 && news.empty(); ++i) {
                now += 200ms;
                news = exchange({ &a, &b }, now);
            }
            REQUIRE_FALSE(news.empty());
            CHECK(news.front().configurationText == "text of a");
            CHECK(news.front().provenAt <= now.time_since_epoch());
        }
    }
}
