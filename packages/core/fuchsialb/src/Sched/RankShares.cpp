#include "RankShares.h"

#include <algorithm>
#include <cmath>

namespace fuchsialb {

namespace {

    constexpr double timeConstantSeconds = 1.0;

} // namespace

void RankShares::decay(TimePoint now)
{
    if (now <= m_decayedAt)
        return;
    const double seconds = std::chrono::duration<double>(now - m_decayedAt).count();
    const double factor = std::exp(-seconds / timeConstantSeconds);
    for (Rank rank : allRanks)
        m_served[rank] *= factor;
    m_decayedAt = now;
}

void RankShares::charge(Rank rank, double cost, TimePoint now)
{
    decay(now);
    m_served[rank] = std::max(0.0, m_served[rank] + cost);
}

double RankShares::used(Rank rank) const
{
    double total = 0;
    for (Rank each : allRanks)
        total += m_served[each];
    return total > 0 ? m_served[rank] / total : 0.0;
}

std::optional<Rank> RankShares::pick(const RankTable<bool>& backlogged) const
{
    std::optional<Rank> best;
    double bestDeficit = 0;
    for (Rank rank : allRanks) {
        const double deficit = m_guaranteed[rank] - used(rank);
        if (backlogged[rank] && deficit > bestDeficit) {
            best = rank;
            bestDeficit = deficit;
        }
    }
    if (best)
        return best;
    for (Rank rank : allRanks) {
        if (backlogged[rank])
            return rank;
    }
    return std::nullopt;
}

} // namespace fuchsialb
