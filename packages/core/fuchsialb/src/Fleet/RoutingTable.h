#pragma once

#include "../Base/Ids.h"
#include "../Base/Units.h"
#include "EngineProfile.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb {

/// \brief What may be repeated.
enum class RouteKind : unsigned char {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events; runs at most once unless the route is resumable.
    Stream,
};

/// \brief A service that a route may choose, and its share.
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
    /// A broken stream may go on at another runner after its last whole event.
    bool resumable = false;
    /// Needs no API key.
    bool isPublic = false;
    /// Longest time that a request is kept waiting.
    Duration timeout { 0 };
    /// Time to the answer, or to the first event, that callers hope for.
    Duration latencyObjective { 0 };
    /// Most runners that one request may run on.
    std::uint32_t maxAttempts = 1;
    /// 0 is the most urgent.
    std::uint32_t urgency = 0;
    std::vector<RouteTarget> targets;

    bool mayRetry() const { return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && resumable); }
};

/// \brief A service: either runners of a layered model (`engine`) or plain endpoints.
struct ServiceProfile {
    TargetId name;
    std::optional<EngineProfile> engine;
};

/// \brief An organisation and the urgency that its requests have instead of their route's.
struct OrganisationProfile {
    OrganisationId name;
    std::optional<std::uint32_t> urgency;
};

/// \brief The configuration that requests are matched against; immutable once built.
struct RoutingTable {
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::map<TargetId, ServiceProfile> services;
    /// By API key. Empty together with `requiresKeys` unset: no route needs a key.
    std::map<std::string, OrganisationProfile, std::less<>> organisations;
    bool requiresKeys = false;

    /// \return The route of that host with the longest prefix of `path`, or null.
    const Route* match(std::string_view host, std::string_view path) const;
    const ServiceProfile* service(const TargetId& name) const;
};

} // namespace fuchsialb
