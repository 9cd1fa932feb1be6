#pragma once

#include "../Base/Clock.h"

#include <cstddef>

namespace fuchsialb {

/// \brief Time on the link between data centres that this host's requests may take.
///
/// Answers the loss of different layers in each data centre at once: every path then crosses, the hidden states of the
/// prompts queue on one link for all requests, and streams that are already running pause behind them. Requests beyond
/// the budget wait for room or are refused at once, and those that were admitted keep their pace.
class LinkBudget {
public:
    /// \return Whether another request may cross now.
    /// \param hosts Number of hosts that share the link, at least 1.
    bool allows(TimePoint now, std::size_t hosts);
    /// \brief Counts a request that crosses; one of any size is let through while the budget is not used up.
    /// \param linkTime Time that its hidden states take on the idle link.
    void take(Duration linkTime) { m_left -= linkTime; }

private:
    /// Below zero after a request larger than what was left.
    std::chrono::duration<double> m_left { 0 };
    TimePoint m_filledAt {};
};

} // namespace fuchsialb
