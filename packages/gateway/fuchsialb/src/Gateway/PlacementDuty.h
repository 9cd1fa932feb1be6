#pragma once

#include "GatewayContext.h"

#include <map>

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
    void serve(const DataCentreId& dataCentre, const ServiceProfile& service, TimePoint now);
    void give(const DataCentreId& dataCentre, const PlaceOrder& order);
    /// Asks a runner for its state, which the registry shows late or not at all.
    void ask(const EndpointId& runner);

    GatewayContext& m_context;
    std::map<DataCentreId, PlacementDriver> m_drivers;
    TimePoint m_startedAt {};
};

} // namespace fuchsialb
