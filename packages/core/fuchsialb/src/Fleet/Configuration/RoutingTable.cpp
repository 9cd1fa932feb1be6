#include "RoutingTable.h"

#include <algorithm>

namespace fuchsialb {

const Route* RoutingTable::match(std::string_view host, std::string_view path) const
{
    const Route* best = nullptr;
    for (const Route& route : routes) {
        if (route.host != host || !path.starts_with(route.pathPrefix))
            continue;
        if (!best || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

const ServiceProfile* RoutingTable::service(const TargetId& name) const
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

void RoutingTable::derivePauseObjectives()
{
    for (const Route& route : routes) {
        for (const RouteTarget& target : route.targets) {
            const auto found = services.find(target.service);
            if (found == services.end() || route.pauseObjective == Duration(0))
                continue;
            Duration& shortest = found->second.pauseObjective;
            shortest = shortest == Duration(0) ? route.pauseObjective : std::min(shortest, route.pauseObjective);
        }
    }
}

} // namespace fuchsialb
