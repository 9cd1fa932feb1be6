#pragma once

#include "../Base/Clock.h"
#include "../Base/Random.h"
#include "../Base/Rank.h"
#include "../Base/Units.h"

#include <optional>

namespace fuchsialb {

/// \brief Predicts queue waits from measured service rates.
///
/// Cost is in the same unit as in `FairQueue`. The capacity of the group is measured only while all slots are used:
/// at other times the rate shows the demand, not the capacity.
class Admission {
public:
    /// \param capacity Cost per second of the whole group by the cost model, used until a rate is measured.
    Admission(const RankTable<double>& guaranteed, double capacity);

    void setGuaranteed(const RankTable<double>& guaranteed) { m_guaranteed = guaranteed; }
    /// Scales the capacity when endpoints come or go.
    void scaleCapacity(double factor);

    void served(Rank rank, double cost) { m_served[rank] += cost; }
    /// Closes a measurement window when it is long enough.
    /// \param saturated Whether no slot is free now.
    void observe(TimePoint now, bool saturated, const RankTable<bool>& backlogged);

    double capacity() const { return m_capacity; }
    /// \return Cost per second that `rank` can expect.
    double rate(Rank rank) const;
    Duration wait(Rank rank, double costAhead) const;
    /// \return `wait` with bounds and a jitter of up to 25%, so that refused callers do not return all at once.
    static Duration retryAfter(Duration wait, Random& random);

private:
    RankTable<double> m_guaranteed;
    double m_capacity;
    RankTable<double> m_served;
    RankTable<double> m_rate;
    RankTable<std::optional<TimePoint>> m_backloggedSince;
    RankTable<bool> m_longBacklogged;
    bool m_saturatedWindow = false;
    std::optional<TimePoint> m_windowStart;
};

} // namespace fuchsialb
