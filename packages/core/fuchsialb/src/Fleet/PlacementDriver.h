#pragma once

#include "LoadLedger.h"
#include "PlacementPlanner.h"
#include "RunnerDirectory.h"

#include <map>
#include <optional>

namespace fuchsialb {

/// \brief An order to a runner to hold a range of layers.
struct PlaceOrder {
    EndpointId runner;
    std::string address;
    LayerRange layers;
    /// The runner refuses the order when it has begun another number of orders since its start, so that an order that
    /// arrives late, after newer ones, does nothing.
    std::uint64_t expectedOrders = 0;
};

/// \brief How an order was answered.
enum class OrderOutcome : unsigned char {
    /// The runner loads the layers.
    Begun,
    /// The runner holds the layers already.
    Done,
    /// The order does not fit what the runner has done since; what the directory says of it is outdated.
    Refused,
    /// No answer: it may be carried out now, later or never.
    Unknown,
};

/// \brief Gives the orders that bring one model's runners in one data centre to the planned placement.
///
/// Holds no state that has to survive: what runners hold is read from the registry, and an order in progress that a
/// successor doesn't know of is refused by its expected number of orders when it is given again.
class PlacementDriver {
public:
    /// \param dataCentre Only its runners are placed.
    /// \param service The model; each one has a driver of its own.
    PlacementDriver(DataCentreId dataCentre, TargetId service)
        : m_dataCentre(std::move(dataCentre))
        , m_service(std::move(service))
    {
    }

    /// \param ledger What requests were promised at each runner.
    /// \param settled How long the set of runners must be unchanged before the first placement of an empty fleet.
    /// \return Orders to give now.
    std::vector<PlaceOrder> due(const RunnerDirectory& directory, const LoadLedger& ledger, const EngineProfile& engine,
        TimePoint now, Duration settled);
    void answered(const EndpointId& runner, OrderOutcome outcome, TimePoint now);
    /// \return Runners with an order in progress whose state should have changed by now and is to be asked for.
    std::vector<EndpointId> overdue(TimePoint now);

private:
    struct Pending {
        PlaceOrder order;
        std::int64_t runnerStartedAt = 0;
        TimePoint expectedBy {};
        TimePoint abandonAt {};
    };

    std::vector<PlacementStep> plan(
        const std::vector<PlacementNode>& nodes, const EngineProfile& engine, TimePoint now);
    void forgetFinished(const RunnerDirectory& directory, TimePoint now);
    std::vector<PlacementNode> nodes(const RunnerDirectory& directory, const LoadLedger& ledger, TimePoint now) const;
    /// Notes which runners have come or gone since the last call.
    void noteArrivals(const RunnerDirectory& directory, bool nothingHeld, TimePoint now);

    DataCentreId m_dataCentre;
    TargetId m_service;
    std::map<EndpointId, Pending> m_pending;
    /// Runners that refused an order, until they are asked again.
    std::map<EndpointId, TimePoint> m_pausedUntil;
    /// When each runner was first seen; the epoch for those that were there before the model was placed.
    std::map<EndpointId, TimePoint> m_arrivals;
    TimePoint m_changedAt {};
    /// Since when some layer is held by no runner and no order will change that.
    std::optional<TimePoint> m_gapSince;
};

} // namespace fuchsialb
