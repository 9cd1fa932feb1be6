#pragma once

#include "../Base/Clock.h"
#include "../Base/Rank.h"

#include <optional>

namespace fuchsialb {

/// \brief Measures what each rank was served recently and picks the rank that goes next.
///
/// The counters decay with a time constant of 1 s. Cost is in tokens for models and in mean calls for plain services.
class RankShares {
public:
    explicit RankShares(const RankTable<double>& guaranteed)
        : m_guaranteed(guaranteed)
    {
    }

    void setGuaranteed(const RankTable<double>& guaranteed) { m_guaranteed = guaranteed; }
    double guaranteed(Rank rank) const { return m_guaranteed[rank]; }

    /// \param cost Negative to take an earlier charge back.
    void charge(Rank rank, double cost, TimePoint now);

    /// \return Fraction of the recent service that went to `rank`, 0 when nothing was served.
    double used(Rank rank) const;

    /// \return Of the backlogged ranks the one furthest below its guarantee; when none is below, the most urgent one.
    std::optional<Rank> pick(const RankTable<bool>& backlogged) const;

private:
    void decay(TimePoint now);

    RankTable<double> m_guaranteed;
    RankTable<double> m_served;
    TimePoint m_decayedAt {};
};

} // namespace fuchsialb
