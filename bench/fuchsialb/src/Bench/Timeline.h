#pragma once

#include "fuchsialb/Base.h"

#include <functional>
#include <map>

namespace fuchsialb::bench {

/// \brief Simulated time: a manual clock and what happens on it, in order.
class Timeline {
public:
    using Action = std::function<void()>;

    const ManualClock& clock() const { return m_clock; }
    TimePoint now() const { return m_clock.now(); }

    void after(Duration delay, Action action) { m_actions.emplace(now() + delay, std::move(action)); }

    /// Runs all actions up to `end` and leaves the clock there.
    void runUntil(TimePoint end)
    {
        while (!m_actions.empty() && m_actions.begin()->first <= end) {
            const auto next = m_actions.extract(m_actions.begin());
            m_clock.set(next.key());
            next.mapped()();
        }
        m_clock.set(end);
    }

private:
    ManualClock m_clock;
    /// Actions of the same moment run in the order in which they were added.
    std::multimap<TimePoint, Action> m_actions;
};

} // namespace fuchsialb::bench
