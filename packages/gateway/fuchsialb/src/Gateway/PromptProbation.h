#pragma once

#include "CrashWatch.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace fuchsialb {

/// \brief Follows whether a request is answered or ends its runners, and whether it may be sent to another one.
///
/// After a few events of a run, the prompt is known not to end the runner. Until then a run that breaks off is
/// examined, and the request isn't repeated while it may be the reason for the end of a runner.
class PromptProbation {
public:
    /// \param parts The shared parts of the prompt.
    /// \param isTrial The request may run although a part is quarantined.
    PromptProbation(GatewayContext& context, CrashWatch& crashWatch, const TargetId& service,
        const std::vector<PromptPartId>& parts, bool isTrial);

    /// Records the start of a run at a first runner.
    void startRun(const RunnerEntry& first, const Path& path);
    void recordEvent(TimePoint now);
    /// Records that a run has ended with a complete answer.
    void recordComplete(TimePoint now);
    /// Records that the run broke off.
    void recordBroken();
    /// Records that a stage of the run's path was lost.
    void recordLostStage(const EndpointId& stage);
    /// Records that the run goes on by another path.
    void recordPathChange(const Path& path);
    bool isAnswered() const { return m_isAnswered; }
    /// \return Whether the request may, for all that is known, be the reason for which a runner ended.
    bool isSuspect() const;
    /// \return Whether the number of runners that ended under the request, without an answer, is too large for another.
    bool hasEndedTooMany() const;
    /// \return Whether the request may be the reason for which stages of several of its paths were lost; of one, if it
    ///     is a trial.
    bool mayEndFurtherStages() const;
    /// \return Whether a part of the prompt is quarantined and the request has not been answered.
    bool isQuarantined() const;

private:
    void recordAnswer(TimePoint now);
    /// \return Whether the request may be the reason for the end of a runner.
    bool mayHaveEnded(const RunnerProcess& process) const;
    /// \return Whether a runner of the request was found to have ended.
    bool hasEndedRunner() const;

    GatewayContext& m_context;
    CrashWatch& m_crashWatch;
    TargetId m_service;
    std::vector<PromptPartId> m_parts;
    RunnerEntry m_first;
    std::uint32_t m_events = 0;
    TimePoint m_firstEventAt {};
    bool m_isAnswered = false;
    bool m_isTrial;
    /// Runners at which a run broke off.
    std::set<RunnerProcess> m_broken;
    /// Number of paths of all runs so far.
    std::uint32_t m_paths = 0;
    /// Stages of all these paths, as they were then.
    std::map<EndpointId, RunnerEntry> m_stages;
    /// Stages that were lost, with the path on which they were.
    std::map<RunnerProcess, std::uint32_t> m_lostStages;
};

} // namespace fuchsialb
