#include "PathFinder.h"

#include "../../Base/Hash.h"

#include <algorithm>
#include <limits>

namespace fuchsialb {

namespace {

    // Hidden states sent between data centres queue on a link that all requests share. The penalty is far above the
    // step time of a whole model, so that paths cross only as a last resort.
    constexpr double dataCentreCrossingMilliseconds = 400;
    // Responses from runners of another data centre cross the link only once, as text.
    constexpr double remoteAnswerMilliseconds = 6;
    // Increase of the step cost with a full KV cache, relative to the cost with an empty one.
    constexpr double cacheFillWeight = 3;

    // Factor by which the price of a stage rises when a path has too many of them.
    constexpr double stagePriceFactor = 20;
    constexpr int maxSearches = 3;
    // Range of the random part of a runner's cost, relative to the cost.
    constexpr double maxCostVariation = 0.3;

    /// A factor that is the same for each search of a request, so that repeated searches prefer the same path.
    double costVariation(std::string_view requestId, const EndpointId& runner)
    {
        if (requestId.empty())
            return 1;
        constexpr double range = 4294967296.0;
        const auto hash = static_cast<std::uint32_t>(hash64(requestId, hash64(runner.value())));
        return 1 + maxCostVariation * static_cast<double>(hash) / range;
    }

    struct LayerHolder {
        const RunnerEntry* entry = nullptr;
        std::uint32_t dataCentreIndex = 0;
        /// Cost of each layer, in milliseconds.
        double layerCost = 0;
        /// Number of layers for which the request fits in the KV cache.
        double layersWithCapacity = 0;
        /// Whether a path may start at the runner.
        bool mayBeFirst = true;
    };

    struct SearchState {
        double cost = std::numeric_limits<double>::infinity();
        const LayerHolder* holder = nullptr;
        std::uint32_t previousLayer = 0;
        std::uint32_t previousDataCentre = 0;
    };

    /// Merges stages at the same runner, which occur when other runners between them were cheaper.
    void mergeRepeatedStages(Path& path)
    {
        for (std::size_t i = 0; i < path.size(); ++i) {
            for (std::size_t j = path.size() - 1; j > i; --j) {
                if (path[j].runner != path[i].runner)
                    continue;
                path[i].layers.end = path[j].layers.end;
                path.erase(path.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                    path.begin() + static_cast<std::ptrdiff_t>(j) + 1);
                break;
            }
        }
    }

} // namespace

std::optional<Path> PathFinder::find(const PathRequest& request, const EngineProfile& engine, TimePoint now) const
{
    return searchBounded(request, engine, now, { 0, engine.layers }, engine.maxStages, false);
}

bool PathFinder::feasibleWhenIdle(const PathRequest& request, const EngineProfile& engine, TimePoint now) const
{
    return searchBounded(request, engine, now, { 0, engine.layers }, engine.maxStages, true).has_value();
}

std::optional<Path> PathFinder::replaceStage(const Path& path, const EndpointId& replaced, const PathRequest& request,
    const EngineProfile& engine, TimePoint now) const
{
    const auto stage
        = std::find_if(path.begin(), path.end(), [&](const PathStage& held) { return held.runner == replaced; });
    if (stage == path.end() || stage == path.begin())
        return std::nullopt;
    PathRequest subrequest = request;
    subrequest.origin = std::prev(stage)->dataCentre;
    subrequest.allowedFirstRunners.clear();
    subrequest.mayCrossDataCentres = false;
    // A path contains each runner at most once.
    for (const PathStage& held : path)
        subrequest.excluded.insert(held.runner);
    if (path.size() > engine.maxStages)
        return std::nullopt;
    const auto replacement
        = searchBounded(subrequest, engine, now, stage->layers, engine.maxStages - (path.size() - 1), false);
    if (!replacement)
        return std::nullopt;
    Path updated(path.begin(), stage);
    updated.insert(updated.end(), replacement->begin(), replacement->end());
    updated.insert(updated.end(), std::next(stage), path.end());
    return updated;
}

std::optional<Path> PathFinder::replaceStages(const Path& path, const std::set<EndpointId>& replaced,
    const PathRequest& request, const EngineProfile& engine, TimePoint now) const
{
    PathRequest subrequest = request;
    subrequest.excluded.insert(replaced.begin(), replaced.end());
    std::optional<Path> updated;
    for (const PathStage& stage : path) {
        if (!replaced.contains(stage.runner))
            continue;
        updated = replaceStage(updated ? *updated : path, stage.runner, subrequest, engine, now);
        if (!updated)
            return std::nullopt;
    }
    return updated;
}

std::optional<Path> PathFinder::searchBounded(const PathRequest& request, const EngineProfile& engine, TimePoint now,
    const LayerRange& range, std::size_t maxStages, bool ignoreLoad) const
{
    double stageMilliseconds = EngineProfile::stageHopMilliseconds;
    for (int i = 0; i < maxSearches; ++i) {
        auto path = searchOnce(request, engine, now, range, ignoreLoad, stageMilliseconds);
        if (!path || path->size() <= maxStages)
            return path;
        stageMilliseconds *= stagePriceFactor;
    }
    return std::nullopt;
}

double PathFinder::layerCost(const PathRequest& request, const EngineProfile& engine, TimePoint now,
    const RunnerEntry& entry, double sequences, double fill) const
{
    const AcceleratorProfile& accelerator = *engine.accelerator(entry.accelerator);
    const double step = engine.stepTime(accelerator, 1, sequences + 1);
    const double slowdown = m_pace ? m_pace->slowdown(entry.id, now) : 1;
    const double variation = costVariation(request.requestId, entry.id);
    if (!request.prefersShortPauses)
        return step * slowdown * (1 + cacheFillWeight * fill * fill) * variation;
    const double othersLoss = sequences * (step - engine.stepTime(accelerator, 1, sequences));
    return (step + othersLoss) * slowdown * variation;
}

std::optional<Path> PathFinder::searchOnce(const PathRequest& request, const EngineProfile& engine, TimePoint now,
    const LayerRange& range, bool ignoreLoad, double stageMilliseconds) const
{
    std::vector<LayerHolder> holders;
    std::vector<DataCentreId> dataCentres;
    const std::uint32_t last = std::min(range.end, engine.layers);
    std::set<std::uint32_t> boundaries { range.first, last };
    for (const auto& [id, runner] : m_directory.runners()) {
        const RunnerEntry& entry = runner.entry;
        if (entry.service != request.service || entry.layers.count() == 0 || !runner.usable(now)
            || request.excluded.contains(id))
            continue;
        const AcceleratorProfile* accelerator = engine.accelerator(entry.accelerator);
        if (!accelerator)
            continue;
        const RunnerLoad load = ignoreLoad ? RunnerLoad() : m_ledger.at(id);
        const double capacity = engine.cacheCapacity(*accelerator, entry.layers.count()) * request.cacheLimit;
        if (capacity <= 0)
            continue;
        const auto known = std::find(dataCentres.begin(), dataCentres.end(), entry.dataCentre);
        LayerHolder holder;
        holder.entry = &entry;
        holder.dataCentreIndex = static_cast<std::uint32_t>(known - dataCentres.begin());
        if (known == dataCentres.end())
            dataCentres.push_back(entry.dataCentre);
        const double fill = std::min(1.0, load.cache / capacity);
        holder.layerCost = layerCost(request, engine, now, entry, load.sequences, fill);
        holder.layersWithCapacity = request.tokens > 0 ? (capacity - load.cache) / request.tokens : engine.layers;
        holder.mayBeFirst = load.firstStages < engine.slots * std::min(1.0, request.cacheLimit)
            && (request.allowedFirstRunners.empty() || request.allowedFirstRunners.contains(id))
            && !request.excludedFirstRunners.contains(id);
        holders.push_back(holder);
        for (const std::uint32_t boundary : { entry.layers.first, entry.layers.end }) {
            if (boundary > range.first && boundary < last)
                boundaries.insert(boundary);
        }
    }
    const std::vector<std::uint32_t> sortedBoundaries(boundaries.begin(), boundaries.end());
    const std::size_t dataCentreCount = dataCentres.size();
    std::vector<SearchState> states((engine.layers + 1) * std::max<std::size_t>(1, dataCentreCount));
    const auto stateAt = [&](std::uint32_t layer, std::uint32_t dataCentreIndex) -> SearchState& {
        return states[layer * dataCentreCount + dataCentreIndex];
    };
    for (const std::uint32_t from : sortedBoundaries) {
        if (from >= last)
            continue;
        for (const LayerHolder& holder : holders) {
            if (from < holder.entry->layers.first || from >= holder.entry->layers.end)
                continue;
            double baseCost = std::numeric_limits<double>::infinity();
            std::uint32_t baseDataCentre = holder.dataCentreIndex;
            if (from == range.first) {
                const bool local = holder.entry->dataCentre == request.origin;
                if (from == 0 ? !holder.mayBeFirst : !local)
                    continue;
                baseCost = local ? 0 : remoteAnswerMilliseconds;
            } else {
                for (std::uint32_t dataCentreIndex = 0; dataCentreIndex < dataCentreCount; ++dataCentreIndex) {
                    if (dataCentreIndex != holder.dataCentreIndex && !request.mayCrossDataCentres)
                        continue;
                    const double cost = stateAt(from, dataCentreIndex).cost
                        + (dataCentreIndex == holder.dataCentreIndex ? 0 : dataCentreCrossingMilliseconds);
                    if (cost < baseCost) {
                        baseCost = cost;
                        baseDataCentre = dataCentreIndex;
                    }
                }
            }
            if (baseCost == std::numeric_limits<double>::infinity())
                continue;
            for (auto to = std::upper_bound(sortedBoundaries.begin(), sortedBoundaries.end(), from);
                 to != sortedBoundaries.end() && *to <= std::min(holder.entry->layers.end, last); ++to) {
                const std::uint32_t count = *to - from;
                if (count > holder.layersWithCapacity)
                    break;
                const double cost = baseCost + stageMilliseconds + holder.layerCost * count;
                SearchState& reached = stateAt(*to, holder.dataCentreIndex);
                if (cost < reached.cost)
                    reached = { cost, &holder, from, baseDataCentre };
            }
        }
    }
    const SearchState* best = nullptr;
    std::uint32_t dataCentreIndex = 0;
    for (std::uint32_t i = 0; i < dataCentreCount; ++i) {
        if (const SearchState& end = stateAt(last, i); end.holder && (!best || end.cost < best->cost)) {
            best = &end;
            dataCentreIndex = i;
        }
    }
    if (!best)
        return std::nullopt;
    Path path;
    for (std::uint32_t layer = last; layer > range.first;) {
        const SearchState& reached = stateAt(layer, dataCentreIndex);
        const RunnerEntry& entry = *reached.holder->entry;
        path.push_back({ entry.id, entry.address, { reached.previousLayer, layer }, entry.dataCentre });
        layer = reached.previousLayer;
        dataCentreIndex = reached.previousDataCentre;
    }
    std::reverse(path.begin(), path.end());
    mergeRepeatedStages(path);
    return path;
}

double PathFinder::cacheUsage(const TargetId& service, const EngineProfile& engine, TimePoint now) const
{
    double used = 0;
    double capacity = 0;
    for (const auto& [id, runner] : m_directory.runners()) {
        const AcceleratorProfile* accelerator = engine.accelerator(runner.entry.accelerator);
        if (runner.entry.service != service || !accelerator || runner.entry.layers.count() == 0 || !runner.usable(now))
            continue;
        used += m_ledger.at(id).cache;
        capacity += engine.cacheCapacity(*accelerator, runner.entry.layers.count());
    }
    return capacity > 0 ? used / capacity : 1;
}

} // namespace fuchsialb
