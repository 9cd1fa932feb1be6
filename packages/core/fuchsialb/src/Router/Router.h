#pragma once

#include "../Base/Clock.h"
#include "../Base/Random.h"
#include "../Claims/ClaimLog.h"
#include "../Control/ConfigurationSpread.h"
#include "../Member/Membership.h"
#include "Action.h"
#include "EntryTable.h"
#include "Event.h"
#include "RouterFault.h"
#include "SchedulerTable.h"
#include "StoreRouter.h"

#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fuchsialb {

struct RouterOptions {
    HostId self;
    DataCentreId dataCentre;
    /// "IP:port" of the peer transport.
    std::string address;
    Incarnation incarnation;
    MembershipOptions membership;
    SpreadOptions spread;
    ClaimOptions claims;
    /// New requests are still forwarded for this long after a drain began, until the balancer has noticed.
    Duration drainGrace { std::chrono::seconds(2) };
    /// Other daemons may still send work for this long after a drain began.
    Duration leaveSpread { std::chrono::seconds(3) };
    /// For tests only.
    RouterFault fault = RouterFault::None;
    /// The loads of own groups are advertised this often.
    Duration loadPeriod { std::chrono::seconds(1) };
};

/// \brief What `status` shows of one daemon.
struct RouterStatus {
    HostId self;
    DataCentreId dataCentre;
    SpreadStatus configuration;
    std::vector<Member> members;
    std::vector<GroupLoad> ownGroups;
    std::size_t entryRequests = 0;
    std::size_t scheduledRequests = 0;
    bool draining = false;
    bool safeToStop = false;
    /// Messages and events that matched nothing in progress, such as tokens of an old epoch.
    std::uint64_t staleEvents = 0;
};

/// \brief The decision core of one daemon: joins entry role, scheduler role, claims, membership and configuration.
///
/// Sans I/O and deterministic: events go into `handle`, actions come out of `takeActions` in order. Not thread-safe.
class Router {
public:
    /// \param clock, random Must outlive the router.
    static absl::StatusOr<std::unique_ptr<Router>> create(RouterOptions options, const Clock& clock, Random& random);

    ~Router();
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    void handle(const Event& event);
    std::vector<Action> takeActions();

    RouterStatus status() const;
    /// \return The configuration in force, or null before the first.
    std::shared_ptr<const Configuration> configuration() const { return m_spread->inForce(); }

private:
    Router(RouterOptions options, const Clock& clock, Random& random);

    void on(const RequestArrived& event);
    void on(const CallerGone& event);
    void on(const PeerReceived& event);
    void on(const StoreAnswer& event);
    void on(const HostsListed& event);
    void on(const DrainRequested& event);
    void on(const Tick& event);
    void on(const LoadReport& event);
    void on(const CacheChanged& event);
    void on(const TokenReceived& event);
    void on(const RunFinished& event);
    void on(const RunFailed& event);
    void on(const StateMoved& event);
    void on(const ServiceReplied& event);
    void on(const ServiceFailed& event);

    void onPeer(const HostId& from, const Probe& message);
    void onPeer(const HostId& from, const ProbeReply& message);
    void onPeer(const HostId& from, const ConfigPull& message);
    void onPeer(const HostId& from, const ConfigChunk& message);
    void onPeer(const HostId& from, const Submit& message);
    void onPeer(const HostId& from, const Accepted& message);
    void onPeer(const HostId& from, const Inquire& message);
    void onPeer(const HostId& from, const NotKnown& message);
    void onPeer(const HostId& from, const TokensDelivered& message);
    void onPeer(const HostId& from, const Finished& message);
    void onPeer(const HostId& from, const Returned& message);
    void onPeer(const HostId& from, const CancelRequest& message);
    /// Beats are for gateways.
    void onPeer(const HostId&, const HostBeat&) { }

    /// Messages to this daemon itself are handled at once.
    void sendPeer(const HostId& to, PeerMessage message);
    void takeConfiguration();
    void followMembers();
    void advertiseLoads();
    void updatePolling();
    void checkDrained();
    /// Moves what the modules produced into actions until nothing is left.
    void flush();
    void takeModuleActions();

    RouterOptions m_options;
    const Clock& m_clock;
    internal::GroupChooser m_chooser;
    std::unique_ptr<Membership> m_membership;
    std::unique_ptr<ConfigurationSpread> m_spread;
    std::unique_ptr<internal::EntryTable> m_entries;
    std::unique_ptr<internal::SchedulerTable> m_schedulers;
    internal::StoreRouter m_store;
    std::vector<Action> m_actions;
    std::shared_ptr<const Configuration> m_configuration;
    std::uint64_t m_memberRevision = 0;
    std::set<HostId> m_members;
    std::map<HostId, std::string> m_addresses;
    std::uint64_t m_staleAnswers = 0;
    TimePoint m_lastLoads {};
    std::vector<PollEndpoints::Entry> m_polled;
    bool m_draining = false;
    bool m_safeToStop = false;
    TimePoint m_drainStarted {};
};

} // namespace fuchsialb
