#include "GroupScheduler.h"

#include "ModelScheduler.h"
#include "ServiceScheduler.h"

#include <fmt/format.h>

namespace fuchsialb {

namespace {

    absl::StatusOr<Target> targetOf(const GroupId& group, const Configuration& configuration)
    {
        for (const auto& [id, endpoint] : configuration.endpoints) {
            if (endpoint.group != group)
                continue;
            const auto found = configuration.targets.find(endpoint.target);
            if (found == configuration.targets.end())
                return error(Reason::TargetUnknown,
                    fmt::format("target {} of endpoint {}", endpoint.target.value(), id.value()));
            return found->second;
        }
        return error(Reason::NoRoute, fmt::format("group {} has no endpoint", group.value()));
    }

} // namespace

absl::StatusOr<std::unique_ptr<GroupScheduler>> GroupScheduler::create(
    GroupId group, const Configuration& configuration, const Clock& clock, Random& random)
{
    const absl::StatusOr<Target> target = targetOf(group, configuration);
    if (!target.ok())
        return target.status();
    if (target->kind == TargetKind::Service)
        return std::make_unique<internal::ServiceScheduler>(std::move(group), *target, configuration, clock, random);
    RunnerFleet fleet(group);
    fleet.configure(configuration, clock.now());
    if (!RoutePlanner(*target).plan(fleet, RouteDemand {})) {
        return error(Reason::NoRoute,
            fmt::format("the runners of group {} do not chain through all {} layers of {}", group.value(),
                target->layers, target->id.value()));
    }
    return std::make_unique<internal::ModelScheduler>(std::move(group), *target, configuration, clock, random);
}

} // namespace fuchsialb
