#pragma once

#include "GatewayContext.h"

#include <map>
#include <utility>

namespace fuchsialb {

/// \brief Gives placement orders while this host is the one to do so for a data centre.
class PlacementDuty {
public:
    explicit PlacementDuty(GatewayContext& context)
        : m_context(context)
    {
    }

    void tick();

private:
    /// A data centre and a model.
    using Duty = std::pair<DataCentreId, TargetId>;

    void serve(const Duty& duty, const EngineProfile& engine, TimePoint now);
    void give(const Duty& duty, const PlacementOrder& order);
    /// Asks a runner for its state, which the registry shows late or not at all.
    void ask(const EndpointId& runner);

    GatewayContext& m_context;
    std::map<Duty, PlacementDriver> m_drivers;
    TimePoint m_startedAt {};
};

} // namespace fuchsialb
