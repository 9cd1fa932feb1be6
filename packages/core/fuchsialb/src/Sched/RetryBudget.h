#pragma once

#include "../Base/Clock.h"

namespace fuchsialb {

/// \brief Limits retries to 10% of the recent request rate, so that retries can't multiply an overload.
class RetryBudget {
public:
    void onRequest(TimePoint now);
    /// \return Whether a retry may be made now; takes it from the budget.
    bool take(TimePoint now);

private:
    void refill(TimePoint now);

    double m_recentRequests = 0;
    double m_available = 3;
    TimePoint m_refilledAt {};
};

} // namespace fuchsialb
