#pragma once

#include "../Admission/LoadLedger.h"
#include "../Directory/RunnerDirectory.h"
#include "PlacementPlanner.h"

#include <map>
#include <optional>

namespace fuchsialb {

/// \brief Order to a runner to load a range of layers.
struct PlacementOrder {
    EndpointId runner;
    std::string address;
    LayerRange layers;
    /// Number of orders that the runner has begun since its start. With another number it refuses the order, so that an
    /// order that arrives late, after newer ones, has no effect.
    std::uint64_t expectedOrders = 0;
};

/// \brief Response of a runner to an order.
enum class OrderOutcome : unsigned char {
    /// The runner has started to load the layers.
    Begun,
    /// The runner already holds the layers.
    Done,
    /// The runner has begun another number of orders than expected; the directory's data about it is outdated.
    Refused,
    /// No response: the order may be executed now, later or never.
    Unknown,
};

/// \brief Issues the orders that bring the runners of one model in one data centre to the planned placement.
///
/// Needs no persistent state: the layers that runners hold are read from the registry. When a successor repeats an
/// order in progress that it doesn't know of, the runner refuses it because of the expected number of orders.
class PlacementDriver {
public:
    /// \param dataCentre Data centre whose runners are placed.
    /// \param service Service of the model; each model has its own driver.
    PlacementDriver(DataCentreId dataCentre, TargetId service)
        : m_dataCentre(std::move(dataCentre))
        , m_service(std::move(service))
    {
    }

    /// \param ledger Load of each runner.
    /// \param settleTime Time for which the set of runners must be unchanged before an empty fleet is placed.
    /// \return Orders to send now.
    std::vector<PlacementOrder> nextOrders(const RunnerDirectory& directory, const LoadLedger& ledger,
        const EngineProfile& engine, TimePoint now, Duration settleTime);
    void handleOutcome(const EndpointId& runner, OrderOutcome outcome, TimePoint now);
    /// \return Room in the data centre as of the last round of balancing; none before the first one.
    const std::optional<PlacementRoom>& room() const { return m_room; }
    /// \return Runners with an order in progress whose state should have changed by now and must be queried.
    std::vector<EndpointId> overdueRunners(TimePoint now);

private:
    struct PendingOrder {
        PlacementOrder order;
        std::int64_t runnerStartedAt = 0;
        TimePoint expectedBy {};
        TimePoint abandonAt {};
    };

    std::vector<PlacementStep> plan(
        const std::vector<PlacementNode>& nodes, const EngineProfile& engine, TimePoint now);
    std::vector<PlacementStep> balance(
        const std::vector<PlacementNode>& nodes, const EngineProfile& engine, TimePoint now);
    void removeFinished(const RunnerDirectory& directory, TimePoint now);
    std::vector<PlacementNode> nodes(const RunnerDirectory& directory, const LoadLedger& ledger, TimePoint now) const;
    /// Updates the arrival times for runners that joined or left since the last call.
    void updateArrivals(const RunnerDirectory& directory, bool fleetEmpty, TimePoint now);

    DataCentreId m_dataCentre;
    TargetId m_service;
    std::map<EndpointId, PendingOrder> m_pending;
    /// Runners whose last order was refused or unanswered, and when they may get the next one.
    std::map<EndpointId, TimePoint> m_pausedUntil;
    /// When each runner was first seen; the epoch for runners that were present before the model was placed.
    std::map<EndpointId, TimePoint> m_arrivals;
    TimePoint m_changedAt {};
    /// Start of the time in which some layer is held by no runner and no order will change that.
    std::optional<TimePoint> m_gapSince;
    TimePoint m_nextBalanceAt {};
    std::optional<PlacementRoom> m_room;
    /// Runners for which the best layout in `m_room` was searched.
    std::vector<EndpointId> m_roomRunners;
};

} // namespace fuchsialb
