#pragma once

#include "../Directory/RunnerDirectory.h"

#include <map>
#include <set>
#include <string>

namespace fuchsialb {

/// \brief Runners that may have run a request, limited to the number that its route allows.
///
/// A runner counts until its process is known to have ended: it has started again, or its address belongs to another
/// one. A runner that is silent, unreachable or missing in the registry may still run the request, so it counts.
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
    void recordRun(const RunnerEntry& runner);
    /// Discards the last run, which the runner refused or which was not sent.
    void discardLast();
    /// Ends the possibility to discard the last run, since an earlier one goes on in its place.
    void keepLast() { m_lastIsNew = false; }
    bool mayUseAnotherRunner(const RunnerDirectory& directory) const;
    std::set<EndpointId> runners() const;

private:
    struct Process {
        std::string address;
        std::int64_t startedAt = 0;
    };

    static bool hasEnded(const EndpointId& runner, const Process& process, const RunnerDirectory& directory);

    std::size_t m_maxRunners;
    std::map<EndpointId, Process> m_runners;
    EndpointId m_last;
    bool m_lastIsNew = false;
};

} // namespace fuchsialb
