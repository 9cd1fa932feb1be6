#pragma once

#include "../../Base/Clock.h"

#include <cstddef>

namespace fuchsialb {

/// \brief Token bucket that limits the time of this host's requests on the link between data centres.
///
/// When each data centre has lost different layers, every path crosses between them. The hidden states of all prompts
/// then queue on one link, and running streams stall behind them. With the limit, requests beyond the budget wait for
/// capacity or are refused at once, and admitted requests keep their speed.
class LinkBudget {
public:
    /// \return Whether another request may use the link now.
    /// \param hosts Number of hosts that share the link, at least 1.
    bool allows(TimePoint now, std::size_t hosts);
    /// \brief Charges a request to the budget; a request of any size is allowed while the budget is above zero.
    /// \param linkTime Transfer time of its hidden states on the idle link.
    void take(Duration linkTime) { m_available -= linkTime; }

private:
    /// Negative after a request that was larger than the remaining budget.
    std::chrono::duration<double> m_available { 0 };
    TimePoint m_refilledAt {};
};

} // namespace fuchsialb
