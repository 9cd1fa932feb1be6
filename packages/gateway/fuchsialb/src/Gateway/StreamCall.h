#pragma once

#include "Call.h"
#include "PauseWatch.h"
#include "PromptProbation.h"
#include "StreamRun.h"

#include <set>

namespace fuchsialb {

/// \brief A request answered by a stream of events, served by the runners that hold the layers of the model.
///
/// If the route allows it, a stream that is interrupted or stalls resumes on other runners after its last complete
/// event, within the same response.
class StreamCall final : public Call {
public:
    using OnRunnerLost = std::function<void(const EndpointId& runner)>;

    /// What a stream uses of the owner of all requests.
    struct Owner {
        const Duration& meanDuration;
        CrashWatch& crashWatch;
        /// Of the service.
        EventInterval& eventInterval;
        OnRunnerLost onRunnerLost;
    };

    /// \param isTrial The request is to run although a part of its prompt is quarantined.
    StreamCall(GatewayContext& context, MatchedRequest matched, std::shared_ptr<HttpReply> reply, Owner owner,
        bool isTrial = false);

    void start() override;
    void tick(TimePoint now) override;
    void endForShutdown() override;
    void hostHeldUp(TimePoint now) override;
    bool admit() override;
    void queueTimedOut() override;
    void runnerLost(const EndpointId& runner) override;
    void runnerLeaving(const EndpointId& runner) override;
    std::optional<StreamObservation> observation() const override;
    void stagesSilent(const std::set<EndpointId>& silent, TimePoint now) override;

    /// \return Time from the first run to the end of the response; none unless the request was served.
    std::optional<Duration> servedDuration() const { return m_servedDuration; }

private:
    /// A stage that refused a request, for example for lack of memory, is likely to accept requests again soon.
    static constexpr Duration refusalSuspension = std::chrono::milliseconds(300);
    /// A resumed stream was admitted before, so it may fill slightly more of the KV cache than the usual limit.
    static constexpr double resumeCacheLimit = 1.05;
    /// An event that arrives within this time of a suspicion may have passed the suspected stage before it died.
    static constexpr Duration maxEventTransit = std::chrono::milliseconds(300);

    void cancelRun() override;
    void addLogFields(LogLine& line) const override;

    /// \return Whether the runners could serve the request if they were idle, so that queueing it makes sense.
    bool canBeServed(TimePoint now) const;
    void enqueue(Duration maxWait);
    /// \param avoidedFirst Not used as the first runner.
    std::optional<Path> findPath(TimePoint now, const EndpointId& avoidedFirst);
    /// \return A path chosen by the pauses that are forecast for it.
    std::optional<Path> findTimelyPath(PathRequest request, TimePoint now);
    /// \return A path whose first runner admits the request within its limit on requests.
    std::optional<Path> findAdmittingPath(TimePoint now, const EndpointId& avoidedFirst = {});
    PathRequest pathRequest(double cacheLimit) const;
    /// Reserves capacity on the path and sends the request to its first runner.
    void startRun(Path path);
    HttpHandlers makeHandlers();
    /// \return The open run with a number, current or former; null if it has ended.
    StreamRun* openRun(std::uint32_t number);
    bool isFormer(const StreamRun& run) const { return &run != &m_run; }
    /// \return Whether the bytes of a run aren't a stream of events, or take more memory than there is for them.
    bool isUnreadable(const StreamRun& run);
    /// \return Whether the response is authentic, so that its body is to be read.
    bool handleHead(StreamRun& run, const HttpResponse& head);
    /// Applies what the runner says of itself in the response to the current run, once.
    void recordNotices(StreamRun& run, const RunnerResponse& response, std::uint32_t status);
    void handlePiece(StreamRun& run, std::string_view piece);
    /// Takes the complete events of the current run.
    void handleEvents(const std::vector<EventSplitter::Event>& events);
    /// \return The text of the events that the caller doesn't have yet.
    std::string takeNewEvents(StreamRun& run, const std::vector<EventSplitter::Event>& events, TimePoint now);
    /// \return Whether an event of the former run may have passed a dead stage before that one died.
    bool mayBeInTransit(const std::vector<EventSplitter::Event>& events, TimePoint now) const;
    /// Writes events of a run, current or former, to the caller.
    void forwardEvents(const StreamRun& run, std::string text, TimePoint now);
    /// Stops to read from the runner while the caller takes less than it sends, and goes on afterwards.
    void limitUnsentBytes(TimePoint now);
    void handleResponse(HttpResponse response);
    void handleFailure(const HttpFailure& failure);
    /// Handles the end of the former run, which becomes the current one if it has brought the whole answer.
    void handleFormerResponse(HttpResponse response);
    void handleFormerFailure(const HttpFailure& failure);
    void handleRefusal(const RunnerResponse& runnerResponse, std::uint32_t status);
    /// Adds what this host believes of a runner.
    void addRunnerFields(LogLine& line, const EndpointId& id) const;
    bool isOnPath(const EndpointId& runner) const;
    /// \return Whether the current run sent an event lately, so that it doesn't wait for any runner.
    bool isFlowing(TimePoint now) const;
    /// \return The pause after which a path without a silent runner has to be sought for the next event to come within
    ///     the objective.
    Duration maxSilence() const;
    /// Counts why a stream that was served didn't meet the objectives of its route.
    void countLateness();
    /// \return Whether a stage after the first is draining, dead or unregistered, which makes the first runner fail as
    /// well.
    bool isPathBroken(TimePoint now) const;
    /// \brief Reroutes the running request around stages that are draining or dead.
    ///
    /// The other stages keep the KV cache of the request; only the new ones process its tokens again.
    /// \return Whether another path was found and the order was sent.
    bool reroute(TimePoint now);
    /// \param replaced The stages that the order was to replace.
    void handlePathChange(
        const std::set<EndpointId>& replaced, const Path& previousPath, const PathChangeResult& result);
    void handleFormerPathChange(const Path& previousPath, const PathChangeResult& result);
    /// Takes the former path back and learns from the refusal what another order has to avoid.
    /// \return Whether an order that avoids what was learnt may succeed.
    bool handleRefusedPathChange(const Path& previousPath, const PathChangeResult& result);
    /// Logs an order and, if it was refused, what this host believes of the runner at fault.
    void logPathChange(const std::set<EndpointId>& replaced, const PathChangeResult& result) const;
    /// Asks the first runner of the path which runner blocks the request.
    void diagnoseStall();
    void handleReport(const RunnerReport& report);
    /// \brief Marks the first runner of the path, which didn't report its state, as dead if another runner answers.
    ///
    /// Without an answer of either runner the stall may be due to the link or load of this host, and nothing is marked.
    /// \param askedAt When the first runner was asked.
    void checkSilentRunner(TimePoint askedAt);
    void recordUnexplainedStall(const EndpointId& first, const EndpointId& control);
    /// Reserves capacity on the path, unless that is done.
    void reservePath();
    /// Releases the capacity of a run that has stopped; its next event reserves it again.
    void cancelReservation();
    /// Forgets the exchange and releases the capacity reserved on the path.
    void releasePath();
    /// \brief Runs the request on another path instead of the current run, which has stopped.
    ///
    /// The current run goes on unless the route allows another run and a path has room for it. It is kept as the former
    /// one until the next one has sent an event, and becomes the current one again if the next one ends without.
    void replaceRun(std::string_view cause);
    /// Takes the former run back in place of the current one.
    /// \param cause Why the current run is given up.
    void returnToFormerRun(std::string_view cause);
    void cancelFormerRun();
    /// Records an event of the current run, which shows that all runners of its path are alive.
    void recordProgress(TimePoint now);
    void recordSuspicion(const EndpointId& runner);
    /// \brief Ends the wait of a request that may be the reason for the end of a runner, when that is known or the wait
    /// has lasted too long.
    void checkSuspicion(TimePoint now);
    /// \brief Ends the wait for a retry when there is one, or the caller has waited for too long.
    void checkRetryWait(TimePoint now);
    /// Takes a retry from the budget; until there is one, the other hosts are told if an answer has begun.
    bool tryTakeRetry(TimePoint now);
    void endRetryWait();
    /// Starts the next run when the request isn't the reason for the end of a runner.
    void continueWithNextRun(TimePoint now);
    /// Starts the next run or waits for a path.
    void startNextRun(TimePoint now);
    /// Goes on with the former run of the request, whose current one has ended, or retries it on another path or
    /// finishes it.
    void failOver(std::string_view cause, bool mayHaveRun);
    /// \return Why the request can't be run again; empty if it may be, and then one retry is taken from the budget.
    std::string_view retryObstacle(TimePoint now);
    void logRetryWithheld(std::string_view cause, std::string_view obstacle, TimePoint now);
    /// Finishes the request: aborts a response that has started, otherwise answers whether the request may have run.
    void fail(std::string_view cause);
    void recordFailure(const EndpointId& runner, std::string_view cause, Duration suspension);
    /// Marks the runner as dead, also for the other requests and hosts.
    void recordDead(const EndpointId& runner, std::string_view cause);
    void logFailure(const EndpointId& runner, std::string_view cause);
    void refuse(std::string_view cause);
    double expectedTokens() const;
    double expectedOutputTokens() const;
    bool mayRetry() const;
    /// \return Whether the route allows another run of a request that has run.
    bool mayRunAgain() const;

    Owner m_owner;
    PromptProbation m_probation;
    PauseWatch m_pauseWatch;
    /// \brief The next run waits for a retry of the budget.
    struct RetryWait {
        TimePoint end;
        /// Why the former run ended.
        std::string cause;
    };

    std::optional<RetryWait> m_retryWait;
    /// Since when the other hosts are told that an answer needs a retry.
    std::optional<TimePoint> m_needsRetrySince;
    /// Set while the next run waits until the request is known not to be the reason for the end of a runner.
    std::optional<TimePoint> m_suspicionEnd;
    StreamRun m_run;
    /// The run before the current one, which may still go on until that one has sent an event.
    std::optional<StreamRun> m_former;
    /// For events of both runs that aren't complete.
    MemoryShare m_eventMemory;
    /// Number of runs so far.
    std::uint32_t m_runs = 0;
    bool m_mayHaveRun = false;
    bool m_responseStarted = false;
    std::optional<std::uint64_t> m_lastEventId;
    /// Runners that refused the request or can't serve it.
    std::set<EndpointId> m_excluded;
    /// Runners whose limits on requests didn't admit a run as the first one, and when that was.
    std::set<EndpointId> m_rateLimited;
    TimePoint m_rateLimitedAt {};
    /// Runners that seem to be dead or cut off; a healthy one may fall silent for a second and go on.
    std::set<EndpointId> m_suspected;
    TimePoint m_suspectedAt {};
    /// First runner of each path used.
    RunHistory m_history;
    StreamTimeliness m_timeliness;
    TimePoint m_nextRerouteAt {};
    TimePoint m_nextReplacementAt {};
    TimePoint m_startedAt {};
    bool m_isQueued = false;
    std::optional<Duration> m_servedDuration;
};

} // namespace fuchsialb
