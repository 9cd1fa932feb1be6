#pragma once

#include "../Base/Clock.h"
#include "../Base/Ids.h"
#include "../Base/Reason.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fuchsialb {

struct RolloutOptions {
    /// Fraction of the group's capacity that may be away from service at a time.
    double maxFraction = 0.25;
    /// The rollout stops when the failure ratio of the new version exceeds the old one's by more than this.
    double failureMargin = 0.02;
    /// Requests on the new version before its failure ratio counts.
    std::uint64_t minSamples = 100;
    /// Service on the new version before the next endpoints follow.
    Duration soak { std::chrono::seconds(30) };
};

/// \brief Endpoint of the group and what it can carry.
struct RolloutEndpoint {
    EndpointId endpoint;
    /// In any unit that is the same for all endpoints of the group.
    double capacity = 1.0;
};

/// \brief Brings a new model version to a group, a stated fraction of its capacity at a time.
///
/// Decides only; the orders themselves go through `OrderBook`.
class Rollout {
public:
    enum class State : unsigned char {
        Going,
        /// Every endpoint has the new version.
        Complete,
        /// The new version fails too often, or an endpoint refused it. No more orders follow.
        Stopped,
    };

    /// \return `InvalidInput` when one endpoint alone is more than the fraction allows.
    static absl::StatusOr<Rollout> create(
        const std::vector<RolloutEndpoint>& endpoints, const RolloutOptions& options, const Clock& clock);

    /// \return Endpoints that are to load the new version now. They count as away until `onOrderDone` and the soak.
    std::vector<EndpointId> takeOrders();
    /// \param loaded Whether the endpoint carried the order out.
    void onOrderDone(const EndpointId& endpoint, bool loaded);
    /// Counts a finished request.
    void onRequest(bool newVersion, bool failed);

    State state() const { return m_state; }
    /// \return Fraction of the capacity that is away or within its soak.
    double fractionAway() const;

private:
    enum class Step : unsigned char {
        Old,
        Ordered,
        Soaking,
        New,
    };
    struct Entry {
        double capacity = 0;
        Step step = Step::Old;
        TimePoint loaded;
    };
    struct Count {
        std::uint64_t requests = 0;
        std::uint64_t failures = 0;

        double ratio() const
        {
            return requests == 0 ? 0 : static_cast<double>(failures) / static_cast<double>(requests);
        }
    };

    Rollout(const RolloutOptions& options, const Clock& clock)
        : m_options(options)
        , m_clock(&clock)
    {
    }

    double away() const;

    RolloutOptions m_options;
    const Clock* m_clock;
    std::map<EndpointId, Entry> m_entries;
    double m_capacity = 0;
    Count m_old;
    Count m_new;
    State m_state = State::Going;
};

} // namespace fuchsialb
