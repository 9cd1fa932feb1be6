#pragma once

#include "../../Base/Ids.h"
#include "../../Base/Units.h"
#include "../Clients/CallerLimits.h"
#include "../Directory/EngineProfile.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb {

/// \brief Whether the requests of a route may run more than once.
enum class RouteKind : unsigned char {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a stream of events; runs at most once unless the route is resumable.
    Stream,
};

/// \brief A service that serves a route, and its weight in the choice among the route's services.
struct RouteTarget {
    TargetId service;
    double weight = 1;
};

/// \brief One entry of the routing table.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /// A broken stream may be resumed at another runner after its last complete event.
    bool resumable = false;
    /// Needs no API key.
    bool isPublic = false;
    /// Time limit for the whole request.
    Duration timeout { 0 };
    /// Target for the time to the answer or, for streams, to the first event.
    Duration latencyObjective { 0 };
    /// Longest pause between two events of a stream that callers accept; 0 if the operator states none.
    Duration pauseObjective { 0 };
    /// Largest number of runners that one request may run on.
    std::uint32_t maxAttempts = 1;
    /// 0 is the most urgent.
    std::uint32_t urgency = 0;
    std::vector<RouteTarget> targets;

    bool mayRetry() const { return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && resumable); }
};

/// \brief A service, backed by runners of a layered model (with `engine`) or by plain endpoints (without).
struct ServiceProfile {
    TargetId name;
    std::optional<EngineProfile> engine;
    /// Shortest `Route::pauseObjective` of the routes to the service; 0 if none states one.
    Duration pauseObjective { 0 };
};

/// \brief An organisation and, optionally, an urgency that overrides that of the route.
struct OrganisationProfile {
    OrganisationId name;
    std::optional<std::uint32_t> urgency;
};

/// \brief The configuration that requests are matched against; immutable once built.
struct RoutingTable {
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::map<TargetId, ServiceProfile> services;
    /// By API key. If this is empty and `requiresKeys` is false, no route needs a key.
    std::map<std::string, OrganisationProfile, std::less<>> organisations;
    bool requiresKeys = false;
    CallerLimits callerLimits;

    /// \return The route of `host` with the longest prefix of `path`, or null.
    const Route* match(std::string_view host, std::string_view path) const;
    const ServiceProfile* service(const TargetId& name) const;
    /// Sets the pause objectives of the services from those of the routes.
    void derivePauseObjectives();
};

} // namespace fuchsialb
