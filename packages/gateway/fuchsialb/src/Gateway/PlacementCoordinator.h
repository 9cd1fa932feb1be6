#pragma once

#include "GatewayContext.h"

#include <map>
#include <utility>

namespace fuchsialb {

/// \brief Sends the placement orders of each data centre whose runners this host is responsible for.
class PlacementCoordinator {
public:
    explicit PlacementCoordinator(GatewayContext& context)
        : m_context(context)
    {
    }

    void tick();

private:
    /// A data centre and a model.
    using Key = std::pair<DataCentreId, TargetId>;

    void sendDueOrders(const Key& key, const EngineProfile& engine, TimePoint now);
    void sendOrder(const Key& key, const PlacementOrder& order);
    /// Asks a runner for its state, which the registry shows late or not at all.
    void refreshState(const EndpointId& runner);

    GatewayContext& m_context;
    std::map<Key, PlacementDriver> m_drivers;
    TimePoint m_startedAt {};
};

} // namespace fuchsialb
