#pragma once

#include "Admission.h"
#include "FairQueue.h"
#include "GroupScheduler.h"
#include "RetryBudget.h"
#include "RunnerFleet.h"
#include "ScheduledRequest.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace fuchsialb::internal {

/// \brief Queue, admission, claims and final answers: all that models and plain services have in common.
class SchedulerBase : public GroupScheduler {
public:
    SchedulerBase(GroupId group, TargetId target, const Clock& clock, Random& random);

    void submit(Request request) final;
    void cancel(RequestId request) final;
    void onClaim(RequestId request, AttemptId attempt, const ClaimResult& result) final;
    void onLoadReport(const LoadReport& report) final;
    void configure(const Configuration& configuration) final;
    void stopAccepting(Reason reason) final;
    void tick() final;
    GroupLoad load() const final;
    bool idle() const final;
    std::vector<Effect> takeEffects() final;

protected:
    /// \return Expected cost of a request, in the unit of the fair queue.
    virtual double estimate(const Request& request) const = 0;
    /// \return Expected time from the start to the first part of the answer.
    virtual double firstAnswerSeconds(const Request& request) const = 0;
    /// \return Cost per second of the whole group by the cost model.
    virtual double modelledCapacity() const = 0;
    /// \return Expected cost until the end of a request that may have run in part.
    virtual double remaining(const ScheduledRequest& request) const { return estimate(request.request); }
    /// \return Cost that a running request is still expected to cause.
    virtual double outstanding(const ScheduledRequest& request) const { return request.estimate - request.used; }
    /// Takes the endpoints of the configuration; derived classes call it once they are complete.
    void begin(const Configuration& configuration);
    /// \return Cost that one running request causes in a second.
    double costPerSlotSecond() const;
    /// \return Whether a new request could start now.
    virtual bool hasRoom() const = 0;
    /// Starts or resumes a request that was taken out of the queue.
    /// \return False when it can't start now.
    virtual bool start(ScheduledRequest& request) = 0;
    /// \return Whether running work may be cancelled in favour of an urgent request.
    virtual bool canPreempt() const { return false; }
    virtual void preempt() { }
    /// The caller of a running request went away.
    virtual void cancelRunning(ScheduledRequest& request) = 0;
    /// Stops what may still run of a request that gets its final answer.
    virtual void abandonRunning(ScheduledRequest&) { }
    virtual void tickRunning(ScheduledRequest& request) = 0;
    /// Takes the target and the endpoints of a new configuration; `fleet` has them already.
    virtual void onConfigured(const Configuration&) { }

    TimePoint now() const { return m_clock.now(); }
    ScheduledRequest* find(RequestId request);
    /// \return The running request when the attempt matches, else null.
    ScheduledRequest* findRunning(RequestId request, AttemptId attempt);
    void emit(Effect effect) { m_effects.push_back(std::move(effect)); }
    void decide(const ScheduledRequest& request, Reason reason, std::string detail = {});

    /// Marks a request as running, which holds a slot of its endpoints, and charges its rank ahead.
    void markRunning(ScheduledRequest& request);
    /// Adds actual cost of a running request.
    void charge(ScheduledRequest& request, double cost);
    /// Puts a request that ran, or could not start, back in front of its organisation's others.
    void requeue(ScheduledRequest& request);
    void dispatch();

    void finish(ScheduledRequest& request, Result result);
    void finishNotRun(ScheduledRequest& request, Reason reason, std::optional<Duration> retryAfter);
    /// Ends a request without an answer: not run when that is proved, else unknown.
    void giveUp(ScheduledRequest& request, Reason reason);
    /// Takes one retry for a request, if its count and the group's budget allow it.
    bool takeRetry(ScheduledRequest& request);
    Duration retryAfter(Rank rank);
    std::optional<Duration> shortRetryAfter();

    RunnerFleet& fleet() { return m_fleet; }
    const RunnerFleet& fleet() const { return m_fleet; }
    const FairQueue& queue() const { return m_queue; }
    const std::set<RequestId>& running() const { return m_running; }
    ScheduledRequest& at(RequestId request) { return *m_requests.at(request); }
    const ScheduledRequest& at(RequestId request) const { return *m_requests.at(request); }
    std::uint32_t runningOf(Rank rank) const { return m_runningOf[rank]; }
    const RankRule& rule(Rank rank) const { return m_rules[rank]; }
    Random& random() { return m_random; }
    const TargetId& target() const { return m_target; }
    bool stopping() const { return m_stopReason.has_value(); }

private:
    using State = ScheduledRequest::State;

    bool refuseInvalid(const Request& request);
    void setLimits(ScheduledRequest& request) const;
    double secondsUntilRoom() const;
    Duration predictedWait(Rank rank, const OrganisationId& organisation, double weight, double cost) const;
    double weightOf(const OrganisationId& organisation) const;
    QueuedRequest queued(const ScheduledRequest& request) const;
    bool needsClaim(const ScheduledRequest& request) const;
    void startClaim(ScheduledRequest& request);
    void putBack(ScheduledRequest& request);
    void followSlots();
    void settleCost(ScheduledRequest& request);
    void settleClaim(ScheduledRequest& request, Outcome outcome, std::uint32_t httpStatus);
    void onClaimUnavailable(ScheduledRequest& request);
    void answerClaimed(ScheduledRequest& request, const ClaimResult& result);
    void returnRequest(ScheduledRequest& request);
    void forget(ScheduledRequest& request);
    void expire();
    void rejectTails();
    void rememberFinished(RequestId request);

    GroupId m_group;
    TargetId m_target;
    const Clock& m_clock;
    Random& m_random;
    RankTable<RankRule> m_rules;
    std::map<OrganisationId, double> m_weights;
    RunnerFleet m_fleet;
    FairQueue m_queue;
    std::unique_ptr<Admission> m_admission;
    std::uint32_t m_capacitySlots = 0;
    std::uint64_t m_nextOrder = 0;
    RetryBudget m_budget;
    std::map<RequestId, std::unique_ptr<ScheduledRequest>> m_requests;
    std::set<RequestId> m_running;
    RankTable<std::uint32_t> m_runningOf;
    /// Queued and claiming requests by the latest start that makes sense.
    std::set<std::pair<TimePoint, RequestId>> m_expiry;
    /// Claims asked for by requests that are already answered: released when they turn out to be granted.
    std::set<std::pair<RequestId, AttemptId>> m_abandonedClaims;
    std::set<RequestId> m_finished;
    std::deque<RequestId> m_finishedOrder;
    std::size_t m_claiming = 0;
    std::optional<Reason> m_stopReason;
    bool m_dispatching = false;
    TimePoint m_tailsCheckedAt {};
    std::vector<Effect> m_effects;
};

} // namespace fuchsialb::internal
