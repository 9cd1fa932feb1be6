#pragma once

#include "../Base/Clock.h"
#include "../Base/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb {

/// \brief What a runner or plain endpoint last said of itself.
struct RunnerEntry {
    EndpointId id;
    /// "IP:port".
    std::string address;
    DataCentreId dataCentre;
    TargetId service;
    bool draining = false;
    /// Layers that it holds; empty when it holds none.
    LayerRange layers;
    AcceleratorKindId accelerator;
    /// Start of the process, Unix milliseconds; a change means that it restarted and holds nothing of before.
    std::int64_t startedAt = 0;

    bool operator==(const RunnerEntry&) const = default;
};

/// \brief The runners that may be used, by what they say of themselves and by what requests met at them.
///
/// A runner that failed requests is passed over for a time that doubles with each further failure; one success ends
/// that. A restart under the same id clears what was held against it.
class RunnerDirectory {
public:
    struct Runner {
        RunnerEntry entry;
        /// Orders that it is known to have begun since its start; an order with another expectation is refused.
        std::uint64_t ordersBegun = 0;
        TimePoint suspendedUntil {};
        /// Since the last success.
        std::uint32_t failures = 0;
        TimePoint failingSince {};
        /// Suspended because it is dead or cut off, not because of a failed request.
        bool believedDead = false;
        /// This host found it dead or cut off, which other hosts are told.
        bool foundDeadHere = false;
        TimePoint succeededAt {};

        bool usable(TimePoint now) const { return !entry.draining && now >= suspendedUntil; }
        bool dead(TimePoint now) const { return believedDead && now < suspendedUntil; }
        /// \return Whether its layers are to be held elsewhere: it is dead, or has failed all requests for a while.
        bool lost(TimePoint now) const
        {
            constexpr Duration longestFailing = std::chrono::seconds(5);
            return dead(now) || (now < suspendedUntil && now - failingSince >= longestFailing);
        }
    };

    using Runners = std::map<EndpointId, Runner>;

    /// Replaces all entries, for a fresh listing of the registry.
    void replaceAll(const std::vector<RunnerEntry>& entries);
    void put(RunnerEntry entry);
    void remove(const EndpointId& id) { m_runners.erase(id); }

    const Runners& runners() const { return m_runners; }
    const Runner* find(const EndpointId& id) const;
    /// \return The runner at an address, or null.
    const Runner* at(std::string_view address) const;

    /// A request met a failure that the runner is to blame for.
    /// \param suspension Time to pass the runner over after a first failure.
    /// \param mostDoublings How often that time doubles at most, for a failure after the other.
    void failed(const EndpointId& id, TimePoint now, Duration suspension, std::uint32_t mostDoublings = 4);
    /// The runner takes no connection, gives no answer about its state, or is waited for by others.
    void foundDead(const EndpointId& id, TimePoint now, Duration suspension);
    /// Another host found the runner dead; ignored while requests of this host are answered by it.
    void foundDeadElsewhere(const EndpointId& id, TimePoint now, Duration left);
    /// A request was answered.
    void succeeded(const EndpointId& id, TimePoint now);
    /// A report says how many orders it has begun and what it holds; the registry does not say the first.
    void reported(const EndpointId& id, std::uint64_t ordersBegun, const LayerRange& layers, std::int64_t startedAt);
    /// An order was begun.
    void orderBegun(const EndpointId& id);

private:
    Runners m_runners;
};

} // namespace fuchsialb
