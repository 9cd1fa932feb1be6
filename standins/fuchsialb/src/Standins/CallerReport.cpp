#include "CallerReport.h"

#include <algorithm>
#include <cmath>

namespace fuchsialb::standins {

namespace {

    /// Percentiles by the nearest rank, in milliseconds.
    Json percentiles(std::vector<Duration> times)
    {
        if (times.empty())
            return nullptr;
        std::sort(times.begin(), times.end());
        const auto at = [&](double share) {
            const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(times.size())));
            return static_cast<double>(times[std::max<std::size_t>(rank, 1) - 1].count()) / 1000;
        };
        return { { "p50", at(0.50) }, { "p95", at(0.95) }, { "p99", at(0.99) } };
    }

} // namespace

void CallerReport::ended(const std::string& rank, const std::string& outcome, bool wrong)
{
    Counts& counts = m_ranks[rank];
    counts.wrong += wrong ? 1 : 0;
    if (outcome == outcomeName(Outcome::Completed))
        ++counts.completed;
    else if (outcome == outcomeName(Outcome::NotRun))
        ++counts.notRun;
    else
        ++counts.unknown;
}

Json CallerReport::toJson() const
{
    Json ranks = Json::object();
    for (const auto& [rank, counts] : m_ranks) {
        ranks[rank] = { { "sent", counts.sent }, { "completed", counts.completed }, { "not_run", counts.notRun },
            { "unknown", counts.unknown }, { "wrong", counts.wrong },
            { "first_token_ms", percentiles(counts.firstToken) },
            { "between_tokens_ms", percentiles(counts.betweenTokens) }, { "call_ms", percentiles(counts.call) } };
    }
    return { { "ranks", std::move(ranks) }, { "non_idempotent", m_told } };
}

} // namespace fuchsialb::standins
