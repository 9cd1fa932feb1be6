#pragma once

#include "../Base/Ids.h"

#include <set>

namespace fuchsialb {

/// \brief Runners that may have run a request, limited to the number that its route allows.
///
/// A runner may abort a request and later refuse the same one. The refusal discards only the run that it answers, not
/// the earlier run at the same runner.
class RunHistory {
public:
    /// \param maxRunners Maximum number of different runners that may run the request.
    explicit RunHistory(std::size_t maxRunners)
        : m_maxRunners(maxRunners)
    {
    }

    /// Records that the request is sent to `runner`.
    void recordRun(const EndpointId& runner)
    {
        m_last = runner;
        m_lastIsNew = m_runners.insert(runner).second;
    }

    /// Discards the last run, which the runner refused or which was not sent.
    void discardLast()
    {
        if (m_lastIsNew)
            m_runners.erase(m_last);
        m_lastIsNew = false;
    }

    /// Removes a dead runner, which does not count towards the limit.
    void removeDead(const EndpointId& runner) { m_runners.erase(runner); }
    bool mayUseAnotherRunner() const { return m_runners.size() < m_maxRunners; }
    const std::set<EndpointId>& runners() const { return m_runners; }

private:
    std::size_t m_maxRunners;
    std::set<EndpointId> m_runners;
    EndpointId m_last;
    bool m_lastIsNew = false;
};

} // namespace fuchsialb
