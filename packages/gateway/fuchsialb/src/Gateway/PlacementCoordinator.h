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
    /// Logs the room for streams in the data centre when it changes.
    void reportRoom(const Key& key, const EngineProfile& engine);
    /// Asks the runners that other hosts found dead for their state, before their layers are placed elsewhere.
    void checkSuspectedRunners(const Key& key, TimePoint now);
    void checkSuspectedRunner(const EndpointId& runner);
    /// Asks another runner, to tell whether this host reaches any, and marks the silent one dead if that one answers.
    void checkSilentRunner(const EndpointId& runner);
    void markDead(const EndpointId& runner);
    /// Asks a runner for its state, which the registry shows late or not at all.
    void refreshState(const EndpointId& runner);

    GatewayContext& m_context;
    std::map<Key, PlacementDriver> m_drivers;
    /// When each suspected runner may be asked again.
    std::map<EndpointId, TimePoint> m_nextCheckAt;
    /// Room for streams that was last logged.
    std::map<Key, std::int64_t> m_reportedRoom;
    TimePoint m_startedAt {};
};

} // namespace fuchsialb
