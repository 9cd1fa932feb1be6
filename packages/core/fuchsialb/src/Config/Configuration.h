#pragma once

#include "../Base/Ids.h"
#include "../Base/Rank.h"
#include "../Base/Units.h"

#include <cstdint>
#include <map>
#include <string>

namespace fuchsialb {

enum class TargetKind : unsigned char {
    Model,
    Service,
};

/// \brief A model or a plain service that callers name.
struct Target {
    TargetId id;
    TargetKind kind = TargetKind::Model;
    /// Number of layers; 0 for a plain service.
    std::uint32_t layers = 0;
    /// Whether calls may be repeated. Calls that may not need an idempotency key.
    bool idempotent = true;
    /// Bytes of the hidden state that one token passes from stage to stage.
    Bytes hiddenState { 8192 };
    /// Number of claim shards in the platform's store.
    std::uint32_t claimShards = 1;

    bool operator==(const Target&) const = default;
};

/// \brief A kind of accelerator and its step cost, for one layer on one accelerator.
struct AcceleratorKind {
    AcceleratorKindId id;
    Duration layerBase { 0 };
    Duration layerPerSequence { 0 };
    std::chrono::nanoseconds layerPerPromptToken { 0 };

    bool operator==(const AcceleratorKind&) const = default;
};

/// \brief Delay and bandwidth of an endpoint's network link.
struct LinkClass {
    LinkClassId id;
    Duration delay { 0 };
    BytesPerSecond bandwidth { 1e9 };

    bool operator==(const LinkClass&) const = default;
};

enum class EndpointState : unsigned char {
    Active,
    /// Receives no new work.
    Leaving,
};

/// \brief A runner or an endpoint of a plain service, as the inventory lists it.
struct Endpoint {
    EndpointId id;
    DataCentreId dataCentre;
    GroupId group;
    TargetId target;
    /// "IP:port".
    std::string address;
    EndpointState state = EndpointState::Active;
    /// Runner only: the layers that it holds.
    LayerRange layers;
    AcceleratorKindId acceleratorKind;
    std::uint32_t accelerators = 1;
    LinkClassId link;
    /// Concurrent sequences of a runner or calls of a plain endpoint.
    std::uint32_t maxConcurrency = 1;
    /// The endpoint refuses an order with an old fencing number.
    bool checksFencing = false;
    /// The endpoint refuses a repeated idempotency key itself.
    bool deduplicates = false;

    bool operator==(const Endpoint&) const = default;
};

struct Organisation {
    OrganisationId id;
    double weight = 1.0;

    bool operator==(const Organisation&) const = default;
};

/// \brief What a rank is promised.
struct RankRule {
    /// Guaranteed fraction of a group's capacity; the three sum to at most 1.
    double share = 0;
    Duration firstTokenTarget { 0 };
    Duration betweenTokensTarget { 0 };
    /// Longest time in a queue when the caller states no deadline.
    Duration maxQueueWait { 0 };

    bool operator==(const RankRule&) const = default;
};

/// \brief All that operators supply, checked and whole. Immutable once in force.
///
/// Built by `InventoryParser` and `RulesParser`; ordered maps make its encoding and its digest repeatable.
struct Configuration {
    ConfigurationVersion version;
    std::map<TargetId, Target> targets;
    std::map<EndpointId, Endpoint> endpoints;
    std::map<OrganisationId, Organisation> organisations;
    std::map<AcceleratorKindId, AcceleratorKind> acceleratorKinds;
    std::map<LinkClassId, LinkClass> linkClasses;
    RankTable<RankRule> ranks;
    Rank defaultRank = Rank::Recording;
    /// Whether an organisation that is not listed is served, with weight 1.
    bool serveUnlistedOrganisations = false;
    /// How long claims of idempotency keys are kept.
    std::chrono::hours claimRetention { 24 };

    bool operator==(const Configuration&) const = default;
};

} // namespace fuchsialb
