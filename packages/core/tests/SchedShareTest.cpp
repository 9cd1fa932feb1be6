#include "tests/support/SchedDriver.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

/// One stream of requests of 10 tokens with exponential gaps.
struct Source {
    Rank rank = Rank::Urgent;
    std::string organisation = "o";
    double perSecond = 0;
    TimePoint next {};
    std::size_t submitted = 0;
    std::set<std::uint64_t> numbers {};
};

/// Offers the load of all sources to the group and counts from the end of the warm-up on.
class Load {
public:
    Load(SchedDriver& driver, std::vector<Source> sources)
        : m_driver(driver)
        , m_sources(std::move(sources))
    {
    }

    void run(Duration by)
    {
        const TimePoint end = m_driver.clock.now() + by;
        for (Source& source : m_sources)
            source.next = m_driver.clock.now();
        for (; m_driver.clock.now() < end; m_driver.advance(10ms)) {
            for (Source& source : m_sources)
                offer(source);
        }
    }

    void measureFromHere()
    {
        m_driver.tokensOf.clear();
        m_driver.tokensOfOrganisation.clear();
        for (Source& source : m_sources)
            source.numbers.clear();
    }

    const Source& source(std::size_t index) const { return m_sources[index]; }

    /// \return Fraction of a source's requests that completed with the first token within `target`.
    double served(std::size_t index, Duration target = 1h) const
    {
        const auto& numbers = m_sources[index].numbers;
        double good = 0;
        for (std::uint64_t number : numbers) {
            const RequestId id = SchedDriver::id(number);
            const auto result = m_driver.results.find(id);
            if (result != m_driver.results.end() && result->second.outcome == Outcome::Completed)
                good += m_driver.firstToken.at(id) - m_arrivals.at(id) <= target;
        }
        return good / static_cast<double>(numbers.size());
    }

private:
    void offer(Source& source)
    {
        while (source.perSecond > 0 && source.next <= m_driver.clock.now()) {
            const std::uint64_t number = ++m_number;
            source.numbers.insert(number);
            m_arrivals[SchedDriver::id(number)] = m_driver.clock.now();
            m_driver.submit(schedRequest(number, source.rank, 10, source.organisation));
            const double gap = -std::log(1 - m_random.unit()) / source.perSecond;
            source.next += Duration(static_cast<Duration::rep>(gap * 1e6));
        }
    }

    SchedDriver& m_driver;
    std::vector<Source> m_sources;
    Random m_random { 7 };
    std::uint64_t m_number = 0;
    std::map<RequestId, TimePoint> m_arrivals;
};

/// 16 slots, each free again 440 ms after the start of a request.
constexpr double capacityPerSecond = 16 / 0.44;

} // namespace

// Guards against a rank that starves while another one floods the group (S3, S4).
TEST_CASE("Every rank keeps its guaranteed share under a flood of another")
{
    SchedDriver driver(schedModel(2, 8));
    const Rank flood = GENERATE(Rank::Urgent, Rank::Recording, Rank::Summary);
    const RankTable<double> guaranteed = [] {
        RankTable<double> shares;
        shares[Rank::Urgent] = 0.5;
        shares[Rank::Recording] = 0.3;
        shares[Rank::Summary] = 0.2;
        return shares;
    }();
    std::vector<Source> sources;
    for (Rank rank : allRanks) {
        const double offered = rank == flood ? 5.0 : guaranteed[rank] + 0.1;
        sources.push_back({ rank, "o", offered * capacityPerSecond });
    }
    Load load(driver, sources);
    load.run(10s);
    load.measureFromHere();
    load.run(40s);
    double total = 0;
    for (Rank rank : allRanks)
        total += driver.tokensOf[rank];
    INFO("flood of " << rankName(flood));
    CHECK(total >= 0.92 * capacityPerSecond * 10 * 40);
    for (Rank rank : allRanks) {
        INFO(rankName(rank));
        CHECK(driver.tokensOf[rank] / total >= guaranteed[rank] - 0.02);
    }
    // Whoever is refused learns it at once, with a time to come back.
    for (const Finish& finish : driver.all<Finish>()) {
        if (finish.result.outcome == Outcome::NotRun)
            REQUIRE(finish.result.retryAfter.has_value());
    }
    CHECK(driver.faults.empty());
}

// Guards against urgent work that misses its target although capacity is only lent to other ranks (S3, S4).
TEST_CASE("Service targets hold at five times the capacity")
{
    SchedDriver driver(schedModel(2, 8));

    SECTION("a summary flood does not touch urgent and recording work")
    {
        Load load(driver,
            { { Rank::Urgent, "o", 0.4 * capacityPerSecond }, { Rank::Recording, "o", 0.2 * capacityPerSecond },
                { Rank::Summary, "o", 5 * capacityPerSecond } });
        load.run(30s);
        load.measureFromHere();
        load.run(40s);
        driver.advance(30s);
        CHECK(load.served(0, 720ms) >= 0.99);
        CHECK(load.served(1) >= 0.98);
    }

    SECTION("an urgent flood is served within its target up to the remaining capacity")
    {
        Load load(driver,
            { { Rank::Urgent, "o", 5 * capacityPerSecond }, { Rank::Recording, "o", 0.3 * capacityPerSecond },
                { Rank::Summary, "o", 0.2 * capacityPerSecond } });
        load.run(10s);
        load.measureFromHere();
        load.run(40s);
        const double goodput = load.served(0, 1s) * static_cast<double>(load.source(0).numbers.size()) / 40;
        CHECK(goodput >= 0.9 * 0.5 * capacityPerSecond);
    }
    CHECK(driver.faults.empty());
}

// Guards against one organisation that crowds out the others (S5).
TEST_CASE("An organisation at ten times its share takes nothing from the others")
{
    const Rank rank = GENERATE(Rank::Urgent, Rank::Recording);
    SchedDriver driver(schedModel(2, 8));
    // Ten organisations of equal weight; the others offer 85% of their share.
    std::vector<Source> sources { { rank, "greedy", capacityPerSecond } };
    for (int i = 0; i < 9; ++i)
        sources.push_back({ rank, "o" + std::to_string(i), 0.085 * capacityPerSecond });
    Load load(driver, sources);
    load.run(10s);
    load.measureFromHere();
    load.run(120s);
    driver.advance(30s);
    double sum = 0;
    double squares = 0;
    for (std::size_t i = 1; i < sources.size(); ++i) {
        const double served = load.served(i);
        INFO(sources[i].organisation << " served " << served);
        CHECK(served >= 0.99);
        sum += served;
        squares += served * served;
    }
    CHECK(sum * sum / (9 * squares) >= 0.97);
    CHECK(load.served(0) > 0.1);
    CHECK(driver.faults.empty());
}

// Guards against an organisation that pays for tokens that its requests did not generate.
TEST_CASE("Organisations share by actual cost, not by maxTokens")
{
    Configuration patient = schedModel(1, 2);
    patient.ranks[Rank::Summary].maxQueueWait = 24h;
    SchedDriver driver(patient);
    driver.earlyStops[OrganisationId("short")] = 4;
    for (std::uint64_t number = 1; number <= 400; ++number) {
        driver.submit(schedRequest(number, Rank::Summary, 40, "short"));
        driver.submit(schedRequest(1000 + number, Rank::Summary, 40, "long"));
    }
    driver.advance(50s);
    // The prompt of 100 tokens costs 100 x 10 us against a token's share of a step, (5 ms + 2 x 50 us) / 2.
    const double promptCost = 100 * 10e-6 / 2.55e-3;
    const double shortCost = driver.tokensOfOrganisation["short"] * (1 + promptCost / 4);
    const double longCost = driver.tokensOfOrganisation["long"] * (1 + promptCost / 40);
    CHECK(shortCost / longCost == Approx(1.0).margin(0.1));
    CHECK(driver.faults.empty());
}
