#pragma once

#include "../../Base/Clock.h"

#include <algorithm>

namespace fuchsialb {

/// \brief Limits hedged requests to a share of all requests for a service, over all hosts together.
///
/// Each request earns this host the share of one hedge. Since every host keeps to the share of its own requests from
/// its start on, all hosts together do, whatever they know of each other. Of what a host doesn't use it keeps as much
/// as the requests of the window earn, but at least one hedge, so that hosts with few requests can hedge at all.
class HedgeBudget {
public:
    /// \param ratio Hedges per request; 0 allows none.
    HedgeBudget(double ratio, Duration window)
        : m_ratio(ratio)
        , m_window(std::max(window, Duration(1)))
    {
    }

    void recordRequest(TimePoint now);
    bool hasOne() const { return m_credit >= 1; }
    /// \brief Uses up one hedge.
    /// \pre `hasOne()`
    void take();

private:
    double m_ratio;
    Duration m_window;
    double m_credit = 0;
    /// Requests of the window; each counts less the longer ago it was.
    double m_requests = 0;
    TimePoint m_updatedAt {};
};

} // namespace fuchsialb
