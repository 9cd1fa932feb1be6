#pragma once

#include "AnswerCounter.h"
#include "CrashReport.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fuchsialb {

/// \brief Evidence of parts of prompts under which runners end, and the parts that are quarantined for it.
///
/// A request under which its runner ends would end one runner after another, and so would the other requests with the
/// part of the prompt that is the cause. A report names all parts of the requests that had not been answered when their
/// runner ended; an answer to any later request with a part removes it. Hosts exchange their reports and come to the
/// same reports, whatever the order in which these arrive, since a part that one of them has removed is removed by all.
/// A report also tells how often its parts had been answered at the host that answered them most often.
///
/// A part is quarantined when enough crashes are reported for it. Requests that were at the same runner as the one at
/// fault report the crash as well, so the parts are chosen as a small set that explains the crashes: first the part
/// with the most crashes beyond those it needs, then, of equal ones, the one answered least often and the one nearest
/// to the end of the prompt, which fewer requests share. Crashes that a chosen part explains say nothing about other
/// parts. A part that has been answered often needs a few more crashes.
///
/// The longer a part has been the cause, the later it is tried again, by one request of the host that may do so.
class CrashEvidence {
public:
    struct Limits {
        /// Time after which a report is forgotten.
        Duration lifetime { std::chrono::minutes(10) };
        /// Runners that end within this time of each other may do so for one cause apart from requests, such as a loss
        /// of power, and count as one crash.
        Duration crashWindow { std::chrono::milliseconds(200) };
        /// Crashes after which a part is quarantined that has not been answered before.
        std::size_t minCrashes = 2;
        /// Crashes that a part needs beyond these, at most, if it has been answered before.
        std::size_t maxFurtherCrashes = 3;
        /// Time until a part with just the crashes that it needs is tried again; doubled by each further one.
        Duration firstTrial { std::chrono::seconds(30) };
        /// Time until a trial without an outcome is repeated.
        Duration trialTime { std::chrono::seconds(5) };
        std::size_t maxReports = 128;
        /// Suspect parts of all reports together. Beyond it, those that are least likely the cause are removed.
        std::size_t maxSuspects = 4096;
    };

    struct Quarantine {
        PromptPartId part;
        std::size_t crashes = 0;
        TimePoint trialAt {};
    };

    CrashEvidence() = default;
    explicit CrashEvidence(const Limits& limits)
        : m_limits(limits)
    {
    }

    /// Records that a request was answered.
    /// \param parts The shared parts of its prompt.
    /// \param startedAt When its first event arrived.
    void recordAnswer(
        const TargetId& service, const std::vector<PromptPartId>& parts, TimePoint startedAt, TimePoint now);
    /// \brief Records that a runner's process has ended under a request that was not answered.
    /// \return Whether that was unknown.
    bool recordCrash(const RunnerProcess& process, const TargetId& service, const std::vector<PromptPartId>& parts,
        TimePoint endedAt, TimePoint now);
    /// Position of each shared part of the prompts of one or more requests, the largest one.
    using PartPositions = std::map<PromptPartId, std::uint32_t>;
    /// As `recordCrash`, for several requests at once.
    bool recordCrashUnder(const RunnerProcess& process, const TargetId& service, const PartPositions& parts,
        TimePoint endedAt, TimePoint now);
    /// \brief Adds the reports of another host.
    /// \return Whether any of them told something new.
    bool merge(const std::vector<CrashReport>& reports, TimePoint now);
    void expire(TimePoint now);

    std::vector<CrashReport> reports(TimePoint now) const;
    /// \return The same value for the same reports, whatever their age; 0 without reports.
    std::uint64_t digest() const { return m_digest; }
    /// \return The number of reports that have been added so far.
    std::uint64_t additions() const { return m_additions; }
    /// Quarantined parts.
    const std::map<ServicePart, Quarantine>& quarantined() const { return m_quarantined; }
    /// \return The quarantine of one of the parts; null if none is quarantined.
    const Quarantine* quarantine(const TargetId& service, const std::vector<PromptPartId>& parts) const;
    /// \brief Starts the trial of a part if one is due.
    ///
    /// Only one host at a time may do so.
    bool beginTrial(const TargetId& service, const PromptPartId& part, TimePoint now);
    /// \return Whether a request may be the reason for which the runner's process ended.
    bool isSuspect(const RunnerProcess& process, const TargetId& service, const std::vector<PromptPartId>& parts) const;

private:
    struct Report {
        RunnerProcess process;
        TargetId service;
        /// As in `CrashReport`.
        std::uint64_t id = 0;
        std::vector<SuspectPart> suspects;
        TimePoint endedAt {};
    };

    /// Evidence for one part.
    struct Candidate {
        std::set<RunnerProcess> processes;
        std::uint32_t answerBits = 0;
        std::uint32_t position = 0;
    };

    /// Numbers of processes, by `servicePartHash`.
    using ProcessCounts = absl::flat_hash_map<std::uint64_t, std::size_t>;

    /// Adds a report or what it removes.
    bool add(Report report);
    /// Removes the report that tells least if there are too many.
    void limitReports();
    void limitSuspects();
    /// \return The number of processes that ended under each part.
    ProcessCounts processCounts() const;
    /// Chooses the quarantined parts anew.
    void evaluate();
    /// \param counts As from `processCounts`.
    std::map<ServicePart, Candidate> candidates(
        const ProcessCounts& counts, const std::set<RunnerProcess>& explained) const;
    /// \return The number of crashes that the ends of the processes count as.
    std::size_t crashCount(const std::set<RunnerProcess>& processes) const;
    std::uint32_t answerBits(const TargetId& service, PromptPartId part) const;
    std::size_t requiredCrashes(const Candidate& candidate) const;

    Limits m_limits;
    std::vector<Report> m_reports;
    /// When each reported process ended, by the earliest report.
    std::map<RunnerProcess, TimePoint> m_ends;
    std::map<ServicePart, Quarantine> m_quarantined;
    /// Crashes that quarantined parts explain.
    std::map<RunnerProcess, ServicePart> m_explained;
    std::map<ServicePart, TimePoint> m_trials;
    AnswerCounter m_answers;
    std::uint64_t m_digest = 0;
    std::uint64_t m_additions = 0;
};

} // namespace fuchsialb
