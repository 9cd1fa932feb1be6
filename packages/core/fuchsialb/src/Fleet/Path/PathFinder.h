#pragma once

#include "../Admission/LoadLedger.h"
#include "../Directory/EngineProfile.h"
#include "../Directory/RunnerDirectory.h"
#include "RunnerPace.h"

#include <optional>
#include <set>
#include <string_view>

namespace fuchsialb {

/// \brief Requirements of a path.
struct PathRequest {
    TargetId service;
    /// Data centre of the host that sends the request.
    DataCentreId origin;
    /// Expected number of tokens of the request at its end.
    double tokens = 0;
    /// Fraction up to which the request may fill each runner's KV cache and the slots of the first runner.
    double cacheLimit = 1;
    /// Runners that must not be on the path.
    std::set<EndpointId> excluded;
    /// Unless empty, the only runners at which the path may start: the number that may run a request is limited.
    std::set<EndpointId> allowedFirstRunners {};
    /// Runners at which the path must not start: their limits on requests don't admit this one.
    std::set<EndpointId> excludedFirstRunners {};
    /// Whether hidden states may be sent from one data centre to another.
    bool mayCrossDataCentres = true;
    /// Identifies the request among those of all hosts, which choose differently among runners of similar cost.
    std::string_view requestId {};
    /// Searches the path with the shortest pauses between events, counted with what the request adds to those of the
    /// requests that share its stages. Fill of the KV cache doesn't raise the price of a runner then.
    bool prefersShortPauses = false;
};

/// \brief Finds the cheapest path that covers all layers in order and has capacity for a request.
///
/// Computes a shortest path over states (completed layers, data centre) by dynamic programming; an edge is a range of
/// layers at one runner. The cost of an edge is the time of a token step there, which increases as the runner's KV
/// cache fills, so that requests are balanced over the runners that hold a range. Crossing between data centres costs
/// far more than any path inside one, because the hidden states of each token then use a shared link.
///
/// Hosts learn each other's load late. In a burst, all of them would choose the same cheapest runner of a group until
/// they hear of each other, so the cost of each runner varies by request.
class PathFinder {
public:
    /// \param pace Raises the price of runners that are slower than others; null if it isn't known.
    PathFinder(const RunnerDirectory& directory, const LoadLedger& ledger, const RunnerPace* pace = nullptr)
        : m_directory(directory)
        , m_ledger(ledger)
        , m_pace(pace)
    {
    }

    /// \return The path, or nothing when the usable runners lack layers or capacity.
    std::optional<Path> find(const PathRequest& request, const EngineProfile& engine, TimePoint now) const;
    /// \brief Replaces one stage of a path in use; the other runners keep the KV cache of the request.
    ///
    /// When runners drain one after the other, each stream would otherwise restart on a new path whenever one of its
    /// runners ends.
    /// \param request Requirements of the whole path; the new stages are in the data centre of the preceding stage.
    /// \return The whole path, or nothing when the stage is the first one, which holds the request itself, or when no
    /// other runners with capacity hold its layers.
    std::optional<Path> replaceStage(const Path& path, const EndpointId& replaced, const PathRequest& request,
        const EngineProfile& engine, TimePoint now) const;
    /// \brief Replaces several stages of a path in use, none of them by another one of them.
    /// \param replaced Those that aren't on the path are ignored.
    /// \return The whole path, or nothing when one of the stages can't be replaced or none is on the path.
    std::optional<Path> replaceStages(const Path& path, const std::set<EndpointId>& replaced,
        const PathRequest& request, const EngineProfile& engine, TimePoint now) const;
    /// \return Whether a path would exist if no runner had any load, so that the request can be queued.
    bool feasibleWhenIdle(const PathRequest& request, const EngineProfile& engine, TimePoint now) const;
    /// \return Fraction of the KV cache in use over all usable runners that hold layers of the service.
    double cacheUsage(const TargetId& service, const EngineProfile& engine, TimePoint now) const;

private:
    /// \return Price of each layer at a runner, in milliseconds.
    /// \param fill Part of the runner's KV cache in use, at most 1.
    double layerCost(const PathRequest& request, const EngineProfile& engine, TimePoint now, const RunnerEntry& entry,
        double sequences, double fill) const;
    /// \param range The layers to cover; a range that does not start at layer 0 must start in the request's data
    /// centre.
    /// Searches a path of at most the number of stages that runners accept, at a rising price of each stage.
    std::optional<Path> searchBounded(const PathRequest& request, const EngineProfile& engine, TimePoint now,
        const LayerRange& range, std::size_t maxStages, bool ignoreLoad) const;
    /// \param stageMilliseconds Price of each stage.
    std::optional<Path> searchOnce(const PathRequest& request, const EngineProfile& engine, TimePoint now,
        const LayerRange& range, bool ignoreLoad, double stageMilliseconds) const;

    const RunnerDirectory& m_directory;
    const LoadLedger& m_ledger;
    const RunnerPace* m_pace;
};

} // namespace fuchsialb
