#pragma once

#include "PrefixIndex.h"
#include "RecoveryPlanner.h"
#include "RoutePlanner.h"
#include "SchedulerBase.h"

namespace fuchsialb::internal {

/// \brief Schedules runs of a model over pipelines of runners and recovers them when a stage fails.
class ModelScheduler final : public SchedulerBase {
public:
    ModelScheduler(
        GroupId group, const Target& target, const Configuration& configuration, const Clock& clock, Random& random);

    void onToken(
        RequestId request, AttemptId attempt, Epoch epoch, std::uint32_t position, std::string_view text) override;
    void onRunFinished(RequestId request, AttemptId attempt, Epoch epoch, std::string_view finishReason) override;
    void onRunFailed(RequestId request, AttemptId attempt, Epoch epoch, std::uint32_t stage, FailureProof proof,
        Reason reason) override;
    void onStateMoved(RequestId request, AttemptId attempt, Epoch epoch, bool succeeded) override;
    void onCacheEvent(const EndpointId& endpoint, std::uint64_t prefixHash, bool held) override;

    // Events of calls don't concern a model.
    void onServiceReply(RequestId, AttemptId, std::uint32_t, std::string, std::string) override { }
    void onServiceFailed(RequestId, AttemptId, FailureProof, Reason) override { }

private:
    double estimate(const Request& request) const override;
    double remaining(const ScheduledRequest& request) const override;
    double firstAnswerSeconds(const Request& request) const override;
    double modelledCapacity() const override;
    bool hasRoom() const override;
    bool start(ScheduledRequest& request) override;
    bool canPreempt() const override { return preemptionVictim().has_value(); }
    void preempt() override;
    void cancelRunning(ScheduledRequest& request) override;
    void abandonRunning(ScheduledRequest& request) override;
    void tickRunning(ScheduledRequest& request) override;
    void onConfigured(const Configuration& configuration) override;

    double expectedTokens(const Request& request) const;
    RouteDemand demand(const ScheduledRequest& request) const;
    std::optional<RequestId> preemptionVictim() const;
    /// \return Whether the request may not move to another head, because the first one may have begun to run it.
    static bool boundToHead(const ScheduledRequest& request);

    void occupy(ScheduledRequest& request, const PlannedRoute& route);
    void release(const std::vector<RouteStage>& stages);
    void cancelStages(const ScheduledRequest& request, const std::vector<RouteStage>& stages);
    void startRun(ScheduledRequest& request);
    void setSilenceBounds(ScheduledRequest& request, const PlannedRoute& route) const;
    void complete(ScheduledRequest& request, std::string_view finishReason);
    /// \return Until when a request that was interrupted waits to be resumed: its deadline, and when that is past or
    /// not stated the longest queue wait of its rank.
    TimePoint resumeBy(const ScheduledRequest& request) const;
    void dropToken(RequestId request, Epoch epoch, std::uint32_t position);

    void suspend(const EndpointId& endpoint, Reason reason);
    /// Takes the failed stages out of the route and goes on with successors, or waits for a runner.
    void recover(ScheduledRequest& request, std::size_t failed, Reason reason);
    std::optional<PlannedRoute> planSuccessor(const ScheduledRequest& request, const std::vector<RouteStage>& kept,
        const RouteStage& failed, bool keepAll) const;
    void adoptRoute(ScheduledRequest& request, const PlannedRoute& route, const std::vector<RouteStage>& kept);
    void tryNextOption(ScheduledRequest& request);
    void waitForRunner(ScheduledRequest& request, const std::vector<RouteStage>& kept);
    void endUnstarted(ScheduledRequest& request, Reason reason);
    std::size_t silentStage(const ScheduledRequest& request) const;

    RoutePlanner m_planner;
    PrefixIndex m_index;
    /// Smoothed generated tokens over `maxTokens`.
    RankTable<double> m_tokenRatio;
    /// Cost of a prompt token, in generated tokens.
    double m_promptWeight = 0.1;
};

} // namespace fuchsialb::internal
