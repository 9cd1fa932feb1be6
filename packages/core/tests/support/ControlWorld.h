#pragma once

#include "fuchsialb/Member.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fuchsialb::test {

/// \brief Message faults of a simulated network.
struct NetworkFaults {
    double loss = 0;
    double duplicate = 0;
    Duration minDelay { 200 };
    /// Delays are drawn evenly up to this one, which also reorders messages.
    Duration maxDelay { 1500 };
};

/// \brief One simulated host.
struct WorldHost {
    HostId host;
    DataCentreId dataCentre;
    std::uint64_t incarnation = 0;
    std::unique_ptr<Membership> membership;
    TimePoint pausedUntil;
    /// Estimated bytes of control traffic, sent and received.
    std::uint64_t bytes = 0;
    std::uint64_t sends = 0;
};

/// \brief Several memberships on one clock behind one event queue with seeded faults.
class ControlWorld {
public:
    explicit ControlWorld(std::uint64_t seed)
        : random(seed)
    {
    }

    /// Starts a host, or restarts it with a higher incarnation.
    WorldHost& start(const std::string& host, const std::string& dataCentre);
    void crash(const std::string& host) { hosts.at(HostId(host)).membership.reset(); }
    void pause(const std::string& host, Duration length);
    bool up(const HostId& host) const;
    Membership& of(const std::string& host) { return *hosts.at(HostId(host)).membership; }
    /// Gives each host the list of all hosts that run.
    void publishHostList();
    void runFor(Duration length);
    /// Calls `action` after `delay`.
    void after(Duration delay, std::function<void()> action)
    {
        m_events.emplace(clock.now() + delay, std::move(action));
    }

    /// Sends something over the faulty network; `action` runs at the receiver for each copy that arrives.
    void transmit(const HostId& from, const HostId& to, std::uint64_t size, std::function<void(WorldHost&)> action);
    Duration delay();

    ManualClock clock;
    Random random;
    NetworkFaults faults;
    MembershipOptions options;
    std::map<HostId, WorldHost> hosts;
    /// \return Whether messages between two hosts are dropped.
    std::function<bool(const HostId&, const HostId&)> cut = [](const HostId&, const HostId&) { return false; };
    /// Called after each tick of each host.
    std::function<void(WorldHost&)> onTick = [](WorldHost&) {};
    /// Tick interval of the hosts.
    Duration tickInterval { std::chrono::milliseconds(50) };

private:
    void scheduleTick(const HostId& host, std::uint64_t incarnation, Duration delay);
    void flush(WorldHost& host);
    void arrive(const HostId& to, std::uint64_t size, const std::function<void(WorldHost&)>& action);

    std::multimap<TimePoint, std::function<void()>> m_events;
};

/// \return Estimated bytes of a message with its envelope, without TCP and IP headers.
std::uint64_t estimatedSize(const MemberMessage& message);

/// \return FUCHSIALB_SEEDS, or 1000.
std::uint64_t seedCount();

} // namespace fuchsialb::test
