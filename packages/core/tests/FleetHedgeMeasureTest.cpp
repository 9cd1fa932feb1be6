#include "fuchsialb/Base.h"
#include "fuchsialb/Fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>

using namespace fuchsialb;
using namespace std::chrono_literals;

namespace {

const TargetId service { "plain" };
const DataCentreId east { "east" };

struct Latencies {
    std::vector<double> milliseconds;
    std::size_t extra = 0;

    double percentile(double share)
    {
        const auto at
            = milliseconds.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(milliseconds.size()));
        std::nth_element(milliseconds.begin(), at, milliseconds.end());
        return *at;
    }
};

struct OpenRequest {
    TimePoint sentAt;
    std::size_t runner = 0;
    TimePoint answerAt;
    std::optional<std::size_t> hedgeRunner {};
    TimePoint hedgeSentAt {};
    TimePoint hedgeAnswerAt {};
};

constexpr Duration tick = 5ms;
constexpr Duration answerTimeout = 2s;

/// One host with 20 requests a second for three endpoints for ten minutes. Work takes 30 ms in the mean, log-normal.
/// In trouble an endpoint is slow by ten times or silent for three seconds of each thirty.
class Day {
public:
    Day(double hedgeRatio, std::uint64_t seed, bool isTroubled, bool isSilent)
        : m_policy(hedgeRatio, 10s)
        , m_random(seed)
        , m_isTroubled(isTroubled)
        , m_isSilent(isSilent)
    {
        for (std::size_t i = 0; i < 3; ++i) {
            RunnerEntry entry;
            entry.id = id(i);
            entry.dataCentre = east;
            entry.service = service;
            m_runners.put(entry);
        }
    }

    Latencies run()
    {
        for (; m_now < TimePoint(600s); m_now += tick) {
            if (m_random.chance(0.1))
                send();
            std::erase_if(m_open, [&](OpenRequest& request) { return advance(request); });
        }
        return std::move(m_latencies);
    }

private:
    static EndpointId id(std::size_t runner) { return EndpointId(std::string(1, static_cast<char>('a' + runner))); }

    TimePoint work(std::size_t runner)
    {
        const double normal = std::sqrt(-2 * std::log(1 - m_random.unit())) * std::cos(6.283185 * m_random.unit());
        const double milliseconds = 26.5 * std::exp(0.5 * normal);
        const bool hit = m_isTroubled && m_now.time_since_epoch() % 30s < 3s
            && static_cast<std::size_t>(m_now.time_since_epoch() / 30s) % 3 == runner;
        const Duration took(static_cast<Duration::rep>(milliseconds * 1000 * (hit ? 10 : 1)));
        return m_now + (hit && m_isSilent ? answerTimeout : took);
    }

    void reserve(std::size_t runner, TimePoint sentAt)
    {
        m_ledger.reserve({ { id(runner), "", {} } }, 0);
        m_policy.recordStart(id(runner), sentAt);
    }

    void release(std::size_t runner, TimePoint sentAt)
    {
        m_ledger.release({ { id(runner), "", {} } }, 0);
        m_policy.recordEnd(id(runner), sentAt);
    }

    void send()
    {
        std::size_t best = 0;
        const auto cost = [&](std::size_t runner) {
            return m_ledger.at(id(runner)).firstStages + static_cast<double>(m_policy.givenUpLately(id(runner), m_now));
        };
        for (const std::size_t runner : { 1, 2 })
            best = cost(runner) < cost(best) ? runner : best;
        m_policy.recordRequest(service, m_now);
        m_retryBudget.recordRequest(service, m_now);
        reserve(best, m_now);
        m_open.push_back({ m_now, best, work(best) });
    }

    /// \return Whether the request is over.
    bool advance(OpenRequest& request)
    {
        const bool isAnswered = m_now >= request.answerAt;
        const bool hedgeWins = request.hedgeRunner && m_now >= request.hedgeAnswerAt;
        if (isAnswered || hedgeWins) {
            release(request.runner, request.sentAt);
            if (request.hedgeRunner)
                release(*request.hedgeRunner, request.hedgeSentAt);
            const Duration took = m_now - request.sentAt;
            if (isAnswered && took < answerTimeout)
                m_policy.recordDuration(service, id(request.runner), took, m_now);
            else
                m_policy.recordGivenUp(service, id(request.runner), took, m_now);
            m_latencies.milliseconds.push_back(static_cast<double>(took.count()) / 1000);
            return true;
        }
        if (request.hedgeRunner)
            return false;
        const std::set<EndpointId> excluded;
        const EndpointId runner = id(request.runner);
        const auto decision
            = m_policy.decide({ service, runner, request.sentAt, request.sentAt + answerTimeout, 1, 2, excluded },
                { m_runners, m_ledger, m_limits, east }, m_retryBudget, m_now);
        if (const auto* second = std::get_if<EndpointId>(&decision)) {
            request.hedgeRunner = static_cast<std::size_t>(second->value().front() - 'a');
            request.hedgeSentAt = m_now;
            request.hedgeAnswerAt = work(*request.hedgeRunner);
            reserve(*request.hedgeRunner, m_now);
            ++m_latencies.extra;
        }
        return false;
    }

    HedgePolicy m_policy;
    Random m_random;
    bool m_isTroubled;
    bool m_isSilent;
    RunnerDirectory m_runners;
    LoadLedger m_ledger;
    RequestRateLimits m_limits;
    SharedRetryBudget m_retryBudget { { 0.2, 10s, 10 } };
    TimePoint m_now { 0s };
    std::deque<OpenRequest> m_open;
    Latencies m_latencies;
};

} // namespace

// Guards against hedging that stops to cut the slowest answers, or that costs more than its share.
TEST_CASE("Hedging cuts the slowest answers within its share")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    const bool isSilent = GENERATE(false, true);
    const bool isTroubled = GENERATE(false, true);
    Latencies without = Day(0, seed, isTroubled, isSilent).run();
    Latencies with = Day(0.05, seed, isTroubled, isSilent).run();
    CHECK(without.extra == 0);
    CHECK(static_cast<double>(with.extra) <= 0.05 * static_cast<double>(with.milliseconds.size()));
    CHECK(with.percentile(0.99) <= without.percentile(0.99));
    for (auto* latencies : { &without, &with })
        UNSCOPED_INFO(fmt::format("seed {} {} {}: {} requests, {} extra, p95 {:.0f} p99 {:.0f} p99.9 {:.0f} ms", seed,
            isTroubled ? (isSilent ? "silent" : "slow") : "calm", latencies == &with ? "with" : "without",
            latencies->milliseconds.size(), latencies->extra, latencies->percentile(0.95), latencies->percentile(0.99),
            latencies->percentile(0.999)));
    SUCCEED();
}
