#pragma once

#include "../Base/Clock.h"
#include "../Base/Random.h"
#include "../Claims/ClaimLog.h"
#include "../Sched/GroupScheduler.h"
#include "Action.h"
#include "Event.h"
#include "Message.h"
#include "RouterFault.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsialb::internal {

/// \brief What a scheduled request produced for its entry daemon.
struct SchedulerOutput {
    HostId entry;
    PeerMessage message;
};

/// \brief Scheduler role of a daemon: the groups that it owns, their requests and the claims of their targets.
///
/// Answers are kept for a while after the end of a request, so that an entry daemon that lost a message can ask again.
class SchedulerTable {
public:
    SchedulerTable(ClaimOptions claims, RouterFault fault, const Clock& clock, Random& random);

    /// Takes a configuration in force; schedulers of groups that left it are stopped.
    void configure(std::shared_ptr<const Configuration> configuration);
    /// Starts schedulers of groups that are now owned, stops those of groups that no longer are.
    void own(const std::set<GroupId>& groups);
    /// Returns all queued work and owns nothing from now on.
    void drain();

    void submit(const HostId& entry, const Submit& submit);
    void inquire(const HostId& entry, const Inquire& inquiry);
    void cancel(const HostId& entry, const CancelRequest& cancel);
    /// Gives up the requests of entry daemons that are in `lost`.
    void entriesLost(const std::set<HostId>& lost);

    void onToken(const TokenReceived& event);
    void onRunFinished(const RunFinished& event);
    void onRunFailed(const RunFailed& event);
    void onStateMoved(const StateMoved& event);
    void onServiceReplied(const ServiceReplied& event);
    void onServiceFailed(const ServiceFailed& event);
    void onLoadReport(const LoadReport& report);
    void onCacheChanged(const CacheChanged& event);
    void onStoreAnswer(const TargetId& target, const StoreAnswer& answer);
    void tick();

    std::vector<GroupLoad> loads() const;
    std::vector<PollEndpoints::Entry> polled() const;
    std::size_t requestsInProgress() const;
    bool idle() const;
    std::uint64_t staleEvents() const { return m_staleEvents; }

    /// Moves effects of schedulers and claim logs on until none is left.
    void settle();
    std::vector<SchedulerOutput> takeOutputs();
    std::vector<Action> takeActions();
    std::vector<std::pair<TargetId, StoreOperation>> takeStoreOperations();

private:
    struct Group {
        std::unique_ptr<GroupScheduler> scheduler;
        /// Takes no more work; removed when idle.
        bool retired = false;
    };

    struct Entry {
        HostId entry;
        Request request;
        Group* group = nullptr;
        std::vector<std::string> tokens;
        std::optional<PeerMessage> answer;
        TimePoint answered {};
    };

    using EntryKey = std::pair<RequestId, std::uint32_t>;

    GroupScheduler* schedulerOf(RequestId request);
    Entry* latest(RequestId request);
    ClaimLog* claimLog(const TargetId& target);
    /// Answers a submission from an earlier one of the same request that is known here.
    /// \return Whether the submission needs nothing more.
    bool answerFromEarlier(const Entry& earlier, const HostId& entry, const Submit& submit);
    void answerAgain(const Entry& entry, std::uint32_t received);
    void retire(std::unique_ptr<Group> group, Reason reason);
    void finishEntry(RequestId request, PeerMessage answer);
    void output(const HostId& entry, PeerMessage message) { m_outputs.push_back({ entry, std::move(message) }); }
    void returnAtOnce(const HostId& entry, const Submit& submit, Reason reason);

    void apply(ClaimNeeded effect);
    void apply(ClaimSettled effect);
    void apply(CallService effect);
    void apply(DeliverToken effect);
    void apply(Finish effect);
    void apply(ReturnRequest effect);
    /// Effects that are actions as they stand.
    template <typename T> void apply(T effect) { m_actions.push_back(std::move(effect)); }

    ClaimOptions m_claimOptions;
    RouterFault m_fault;
    const Clock& m_clock;
    Random& m_random;
    std::shared_ptr<const Configuration> m_configuration;
    std::map<GroupId, std::unique_ptr<Group>> m_groups;
    std::vector<std::unique_ptr<Group>> m_retired;
    std::map<EndpointId, GroupId> m_groupOfEndpoint;
    std::map<TargetId, std::unique_ptr<ClaimLog>> m_claims;
    /// Requests in progress and recently finished ones, by request and submission.
    std::map<EntryKey, Entry> m_entries;
    /// Claim keys of dispatched non-idempotent requests, until they are settled.
    std::map<AttemptId, std::pair<TargetId, ClaimKey>> m_claimKeys;
    std::size_t m_inProgress = 0;
    std::uint64_t m_staleEvents = 0;
    bool m_draining = false;
    TimePoint m_lastSweep {};
    std::vector<SchedulerOutput> m_outputs;
    std::vector<Action> m_actions;
};

} // namespace fuchsialb::internal
