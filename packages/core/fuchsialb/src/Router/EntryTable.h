#pragma once

#include "../Base/Clock.h"
#include "../Base/Random.h"
#include "../Member/Membership.h"
#include "Action.h"
#include "GroupChooser.h"
#include "Message.h"
#include "RouterFault.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsialb::internal {

/// \brief A message from the entry role to a scheduler.
struct EntryOutput {
    HostId scheduler;
    GroupId group;
    PeerMessage message;
};

/// \brief Entry role of a daemon: the requests of its callers, from arrival to the one final answer.
///
/// A request is submitted to one scheduler at a time. When that scheduler is lost, the request is submitted again to
/// another: an idempotent one goes on behind the tokens that the caller has, a non-idempotent one is safe because only
/// one submission can obtain its claim.
class EntryTable {
public:
    EntryTable(
        RouterFault fault, GroupChooser& chooser, const Membership& membership, const Clock& clock, Random& random);

    void configure(std::shared_ptr<const Configuration> configuration) { m_configuration = std::move(configuration); }
    /// Refuses requests that arrive from now on.
    void refuseNew(bool refuse) { m_refuseNew = refuse; }

    void arrive(Request request);
    void callerGone(RequestId request);

    void onAccepted(const HostId& from, const Accepted& message);
    void onTokens(const HostId& from, const TokensDelivered& message);
    void onFinished(const HostId& from, const Finished& message);
    void onReturned(const HostId& from, const Returned& message);
    void onNotKnown(const HostId& from, const NotKnown& message);
    /// Submits requests again whose scheduler is in `lost`.
    void onMembersLost(const std::set<HostId>& lost);
    void tick();

    std::size_t size() const { return m_entries.size(); }
    std::uint64_t staleEvents() const { return m_staleEvents; }
    std::vector<EntryOutput> takeOutputs();
    std::vector<Action> takeActions();

private:
    enum class SubmissionState : unsigned char {
        Open,
        NotRun,
        Unknown,
        /// The scheduler was lost, so the submission may still run.
        Lost,
    };

    struct Submission {
        HostId scheduler;
        GroupId group;
        SubmissionState state = SubmissionState::Open;
    };

    struct Entry {
        Request request;
        std::optional<TimePoint> deadline;
        std::vector<Submission> submissions;
        std::vector<std::string> delivered;
        std::set<HostId> excluded;
        TimePoint lastHeard {};
        TimePoint lastSent {};
        bool accepted = false;
        std::uint32_t unanswered = 0;
        /// Set while no scheduler was found; the next attempt is made then.
        std::optional<TimePoint> retryAt;
        std::uint32_t retries = 0;

        Submission& current() { return submissions.back(); }
    };

    using Entries = std::map<RequestId, Entry>;

    absl::Status check(const Request& request) const;
    void submit(Entries::iterator it);
    void sendSubmit(Entry& entry);
    void inquire(const RequestId& id, Entry& entry);
    void submitAgain(Entries::iterator it);
    void schedulerLost(Entries::iterator it);
    void finish(Entries::iterator it, Result result);
    void giveUp(Entries::iterator it, Reason reason, std::string_view detail);
    /// \return The submission that a message belongs to, or null when it is stale.
    Submission* find(Entries::iterator it, const HostId& from, std::uint32_t submission);
    void tickEntry(Entries::iterator it, TimePoint now);
    bool mayHaveRun(const Entry& entry) const;
    Duration retryAfter(const Request& request);

    RouterFault m_fault;
    GroupChooser& m_chooser;
    const Membership& m_membership;
    const Clock& m_clock;
    Random& m_random;
    std::shared_ptr<const Configuration> m_configuration;
    Entries m_entries;
    bool m_refuseNew = false;
    std::uint64_t m_staleEvents = 0;
    std::vector<EntryOutput> m_outputs;
    std::vector<Action> m_actions;
};

} // namespace fuchsialb::internal
