#pragma once

#include "../../Base/Clock.h"
#include "../../Base/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb {

/// \brief Last state that a runner or plain endpoint reported about itself.
struct RunnerEntry {
    EndpointId id;
    /// "IP:port".
    std::string address;
    DataCentreId dataCentre;
    TargetId service;
    bool draining = false;
    /// Layers that the runner holds; may be empty.
    LayerRange layers;
    AcceleratorKindId accelerator;
    /// Start of the process, in Unix milliseconds; a change means that it restarted and lost its former state.
    std::int64_t startedAt = 0;

    bool operator==(const RunnerEntry&) const = default;
};

/// \brief A runner's own statement, in an answer, that it leaves; bound to one start of its process.
struct RunnerLeaving {
    EndpointId runner;
    /// As in `RunnerEntry`.
    std::int64_t startedAt = 0;

    bool operator==(const RunnerLeaving&) const = default;
};

/// \brief Known runners, their reported state, and their health as seen by requests.
///
/// A runner that fails requests is suspended for a time that doubles with each consecutive failure; a success resets
/// the count. A restart under the same id clears the recorded failures.
///
/// A runner that has said that it leaves counts as draining whatever the registry says, until it starts again. A runner
/// that has asked for rest is used by this host again when the time is over.
class RunnerDirectory {
public:
    struct Runner {
        RunnerEntry entry;
        /// Orders that the runner is known to have begun since its start; orders must expect this number.
        std::uint64_t ordersBegun = 0;
        TimePoint suspendedUntil {};
        /// Consecutive failures since the last success.
        std::uint32_t failures = 0;
        TimePoint failingSince {};
        /// Whether it is suspended because it is dead or cut off, not because of a failed request.
        bool markedDead = false;
        /// Whether this host found it dead or cut off, which is reported to the other hosts.
        bool markedDeadLocally = false;
        TimePoint succeededAt {};
        /// Whether the registry lacks it.
        bool missing = false;
        /// Whether the registry says that it drains; `entry.draining` also reflects what the runner said itself.
        bool drainingInRegistry = false;
        /// It wants no requests of this host before this time.
        TimePoint restUntil {};

        bool resting(TimePoint now) const { return now < restUntil; }
        bool usable(TimePoint now) const { return !entry.draining && now >= suspendedUntil && !resting(now); }
        bool dead(TimePoint now) const { return markedDead && now < suspendedUntil; }
        /// \return Whether another host found it dead and this one hasn't.
        bool deadByPeerOnly(TimePoint now) const { return dead(now) && !markedDeadLocally; }
        /// \return Whether other runners must hold its layers: this host found it dead, or it has failed all requests
        /// of
        ///     this host for some time.
        bool lost(TimePoint now) const
        {
            constexpr Duration maxFailingTime = std::chrono::seconds(5);
            const bool failing = failures > 0 && now < suspendedUntil && now - failingSince >= maxFailingTime;
            return (dead(now) && markedDeadLocally) || failing;
        }
    };

    using Runners = std::map<EndpointId, Runner>;

    /// Replaces all entries with a new listing of the registry.
    void replaceAll(const std::vector<RunnerEntry>& entries);
    void put(RunnerEntry entry);
    void remove(const EndpointId& id) { m_runners.erase(id); }
    /// Records that the registry lacks a runner, which may be written there again; it is kept until `removeMissing`.
    void recordMissing(const EndpointId& id);
    /// Records the listed entries; runners that aren't listed count as missing.
    void recordListing(const std::vector<RunnerEntry>& entries);
    /// Removes the runners that are missing.
    /// \return Their last entries.
    std::vector<RunnerEntry> removeMissing();

    const Runners& runners() const { return m_runners; }
    const Runner* find(const EndpointId& id) const;
    /// \return The runner with this address, or null.
    const Runner* findByAddress(std::string_view address) const;

    /// Records a failed request that the runner caused.
    /// \param suspension Duration of the suspension after a first failure.
    /// \param maxDoublings Maximum number of times that consecutive failures double the suspension.
    void recordFailure(const EndpointId& id, TimePoint now, Duration suspension, std::uint32_t maxDoublings = 4);
    /// Suspends a runner that accepts no connection, does not report its state, or keeps other runners waiting.
    void markDead(const EndpointId& id, TimePoint now, Duration suspension);
    /// Suspends a runner from which this host's streams have stopped; other hosts aren't told, and placement checks it
    /// first.
    void markSuspected(const EndpointId& id, TimePoint now, Duration suspension);
    /// Suspends a runner that another host found dead; ignored while the runner answers requests of this host.
    void markDeadByPeer(const EndpointId& id, TimePoint now, Duration left);
    void recordSuccess(const EndpointId& id, TimePoint now);
    /// Records the runner's report of its orders and layers; the registry does not contain the number of orders.
    void recordReport(
        const EndpointId& id, std::uint64_t ordersBegun, const LayerRange& layers, std::int64_t startedAt);
    /// Records that the runner has begun one more order.
    void recordOrder(const EndpointId& id);

    /// Records that a runner has said that it leaves, to this host or to another one.
    /// \return Whether the runner counts as draining only since then.
    bool recordLeaving(const RunnerLeaving& leaving);
    /// \return The statements of runners of which the registry doesn't say yet that they drain.
    std::vector<RunnerLeaving> leavingAheadOfRegistry() const;
    /// \brief Records that a runner wants no requests of this host for a time.
    ///
    /// Hosts that were told the same time at once use the runner again one after the other.
    /// \param asked Bounded by a limit.
    /// \param share Random number in [0, 1) that places this host among the others.
    /// \return The time for which this host sends none, at least the one asked for within the limit.
    Duration recordRest(const EndpointId& id, TimePoint now, Duration asked, double share);
    /// \return Whether other usable runners of its data centre hold all layers of a runner.
    bool hasOtherHolders(const EndpointId& id, TimePoint now) const;
    bool hasUsable(const TargetId& service, TimePoint now) const;
    /// \return The earliest end of a rest of the service's runners that don't drain; none if none rests.
    std::optional<TimePoint> earliestRestEnd(const TargetId& service, TimePoint now) const;

private:
    /// Lets the entry reflect what the runner said itself, unless it has started again since.
    void applyLeaving(Runner& runner);
    void limitLeaving();

    Runners m_runners;
    /// Start of the process that said that it leaves; kept while the registry lacks a runner, since an outdated
    /// registry may name it again.
    std::map<EndpointId, std::int64_t> m_leaving;
};

} // namespace fuchsialb
