#pragma once

#include "../Base/Ids.h"

#include <set>

namespace fuchsialb {

/// \brief The runners at which one request may have run, against the most that its route allows.
///
/// Answers runners that break off and refuse the same request in turn: a refusal takes back only the run that it
/// answers, not an earlier one at the same runner.
class RunHistory {
public:
    /// \param most Different runners that may run the request.
    explicit RunHistory(std::size_t most)
        : m_most(most)
    {
    }

    /// The request is sent to a runner.
    void begin(const EndpointId& runner)
    {
        m_last = runner;
        m_lastIsNew = m_runners.insert(runner).second;
    }

    /// The runner of the last run said that it did not run the request, or it was not sent.
    void takeBack()
    {
        if (m_lastIsNew)
            m_runners.erase(m_last);
        m_lastIsNew = false;
    }

    /// A runner is dead; the limit is on those that are there.
    void died(const EndpointId& runner) { m_runners.erase(runner); }
    bool mayRunElsewhere() const { return m_runners.size() < m_most; }
    const std::set<EndpointId>& runners() const { return m_runners; }

private:
    std::size_t m_most;
    std::set<EndpointId> m_runners;
    EndpointId m_last;
    bool m_lastIsNew = false;
};

} // namespace fuchsialb
