#include "tests/support/FleetDataCentre.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

const TargetId service { "model" };
constexpr SharedRetryBudget::Limits limits { 0.2, 10s, 774 };
constexpr double requestsPerSecond = 1.2;
// What callers of a stream wait for without an event.
constexpr Duration patience = 1500ms;

/// Answers of one host that have broken off and need a retry, and those that got none.
struct Failures {
    std::deque<TimePoint> waiting;
    std::size_t resumed = 0;
    std::size_t cut = 0;
};

/// Hosts with requests, whose answers break off.
class RetryingFleet {
public:
    explicit RetryingFleet(std::size_t count, TimePoint startedAt = {})
        : fleet(count)
        , failures(count)
    {
        for (std::size_t i = 0; i < count; ++i)
            m_budgets.emplace_back(limits, startedAt, static_cast<double>(i % 17) / 17);
        run(10s);
    }

    /// Lets answers of a host break off now.
    void breakOff(std::size_t host, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            if (tryTake(host, std::nullopt)) {
                ++failures[host].resumed;
                continue;
            }
            m_budgets[host].addWaiting(service, fleet.now);
            failures[host].waiting.push_back(fleet.now);
        }
    }

    void run(Duration time)
    {
        for (const TimePoint end = fleet.now + time; fleet.now < end;) {
            for (std::size_t i = 0; i < m_budgets.size(); ++i)
                runHost(i);
            fleet.step();
        }
    }

    /// Cuts every second host off from the others.
    void cutHalves()
    {
        const std::size_t count = fleet.hosts.size();
        for (std::size_t i = 0; i < count; ++i) {
            for (std::size_t j = 0; j < count; ++j) {
                if (i % 2 != j % 2)
                    fleet.cut(fleet.hosts[i]->id, fleet.hosts[j]->id);
            }
        }
    }

    /// Starts the processes of all hosts anew; they know nothing of what was used.
    void restartAll()
    {
        for (SharedRetryBudget& budget : m_budgets)
            budget = SharedRetryBudget(limits, fleet.now);
    }

    std::size_t taken() const { return m_retries.size(); }

    /// \return The largest number of retries by which all hosts together were above the rule in a span of the length of
    ///     the window; 0 if they were never.
    double excess() const
    {
        const auto within = [](const std::deque<TimePoint>& times, TimePoint from) {
            return static_cast<double>(std::lower_bound(times.begin(), times.end(), from + limits.window)
                - std::lower_bound(times.begin(), times.end(), from));
        };
        double most = 0;
        for (const TimePoint from : m_retries) {
            const double requests = within(m_requests, from - limits.window);
            most = std::max(most, within(m_retries, from) - limits.ratio * requests - limits.allowance);
        }
        return most;
    }

    FleetDataCentre fleet;
    std::vector<Failures> failures;

private:
    bool tryTake(std::size_t host, std::optional<TimePoint> since)
    {
        const Host& state = *fleet.hosts[host];
        const bool isTaken = m_budgets[host].tryTake({ service, SharedRetryBudget::Purpose::Resume, since },
            { state.directory.size(), state.directory.dataCentreSize(), state.ledger }, fleet.now);
        if (isTaken)
            m_retries.push_back(fleet.now);
        return isTaken;
    }

    void runHost(std::size_t host)
    {
        m_due += requestsPerSecond / 10;
        for (; m_due >= 1; m_due -= 1) {
            m_budgets[host].recordRequest(service, fleet.now);
            m_requests.push_back(fleet.now);
        }
        Failures& failed = failures[host];
        while (!failed.waiting.empty() && tryTake(host, failed.waiting.front())) {
            ++failed.resumed;
            m_budgets[host].removeWaiting(service, failed.waiting.front());
            failed.waiting.pop_front();
        }
        while (!failed.waiting.empty() && fleet.now - failed.waiting.front() >= patience) {
            ++failed.cut;
            m_budgets[host].removeWaiting(service, failed.waiting.front());
            failed.waiting.pop_front();
        }
        m_budgets[host].observe(fleet.hosts[host]->ledger, fleet.now);
        fleet.hosts[host]->ledger.setRetries(m_budgets[host].use(fleet.now));
    }

    std::vector<SharedRetryBudget> m_budgets;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
    double m_due = 0;
};

/// Lets five hosts take what the others leave unused.
void useMuchOfIt(RetryingFleet& hosts)
{
    for (int wave = 0; wave < 3; ++wave) {
        for (std::size_t i = 0; i < 5; ++i)
            hosts.breakOff(i, 60);
        hosts.run(1500ms);
    }
}

} // namespace

// Guards against answers that are cut because their host has used an equal share, while the others use none of theirs.
TEST_CASE("Hosts whose answers break off get the retries that the others don't use")
{
    SECTION("one host, several times the equal share")
    {
        const std::size_t count = GENERATE(20, 300);
        RetryingFleet hosts(count);
        hosts.breakOff(count / 2, 60);
        hosts.run(2s);
        CHECK(hosts.failures[count / 2].resumed == 60);
        CHECK(hosts.excess() == 0);
    }
    SECTION("some hosts, whose runners end one after the other")
    {
        RetryingFleet hosts(GENERATE(20, 60));
        for (int wave = 0; wave < 3; ++wave) {
            for (std::size_t i = 0; i < 5; ++i)
                hosts.breakOff(i, 15);
            hosts.run(2s);
        }
        for (std::size_t i = 0; i < 5; ++i)
            CHECK(hosts.failures[i].cut == 0);
        CHECK(hosts.excess() == 0);
    }
}

// Guards against retries that multiply an overload because each host takes what the others seem to leave.
TEST_CASE("All hosts together keep to the budget of retries")
{
    const std::size_t count = GENERATE(20, 60);
    RetryingFleet hosts(count);

    SECTION("while all need more than there is, at the same moment and afterwards")
    {
        for (int wave = 0; wave < 20; ++wave) {
            for (std::size_t i = 0; i < count; ++i)
                hosts.breakOff(i, 2000 / count);
            hosts.run(700ms);
        }
    }
    SECTION("while the halves of them don't hear each other")
    {
        hosts.cutHalves();
        for (int wave = 0; wave < 20; ++wave) {
            for (std::size_t i = 0; i < count; ++i)
                hosts.breakOff(i, 1000 / count);
            hosts.run(700ms);
        }
    }
    SECTION("after a few of them have used much of it and the halves no longer hear each other")
    {
        useMuchOfIt(hosts);
        hosts.cutHalves();
        for (int wave = 0; wave < 10; ++wave) {
            for (std::size_t i = 0; i < count; ++i)
                hosts.breakOff(i, 1000 / count);
            hosts.run(700ms);
        }
    }
    SECTION("after a few of them have used much of it and have ended")
    {
        useMuchOfIt(hosts);
        for (std::size_t i = 0; i < 5; ++i)
            hosts.fleet.kill(hosts.fleet.hosts[i]->id);
        hosts.run(2s);
        for (int wave = 0; wave < 10; ++wave) {
            for (std::size_t i = 5; i < count; ++i)
                hosts.breakOff(i, 1000 / count);
            hosts.run(700ms);
        }
    }
    SECTION("after half of it was used and all of them have started again")
    {
        for (std::size_t i = 0; i < count; ++i)
            hosts.breakOff(i, 600 / count);
        hosts.run(2s);
        hosts.restartAll();
        for (int wave = 0; wave < 10; ++wave) {
            for (std::size_t i = 0; i < count; ++i)
                hosts.breakOff(i, 1000 / count);
            hosts.run(700ms);
        }
    }
    CHECK(hosts.excess() == 0);
    CHECK(static_cast<double>(hosts.taken()) > limits.allowance / 2);
}
