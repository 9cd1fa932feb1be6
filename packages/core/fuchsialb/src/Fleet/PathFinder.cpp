#include "PathFinder.h"

#include <algorithm>
#include <limits>

namespace fuchsialb {

namespace {

    // Each stage adds a network hop to every token, in milliseconds.
    constexpr double stageMilliseconds = 0.3;
    // A hidden state that crosses between data centres waits for a link that all requests share; far above the step
    // time of a whole model, so that crossing is the last resort.
    constexpr double crossingMilliseconds = 400;
    // Answers of another data centre's runners cross once, as text.
    constexpr double remoteAnswerMilliseconds = 6;
    // Longest path that runners accept.
    constexpr std::size_t mostStages = 32;
    // How strongly a filling KV cache repels: the cost at a full runner is this factor above that of an empty one.
    constexpr double fillWeight = 3;

    struct Holder {
        const RunnerEntry* entry = nullptr;
        std::uint32_t place = 0;
        /// Milliseconds for each layer.
        double layerCost = 0;
        /// Layers that still fit.
        double freeLayers = 0;
        /// Whether a path may begin there.
        bool freeSlot = true;
    };

    struct Node {
        double cost = std::numeric_limits<double>::infinity();
        const Holder* holder = nullptr;
        std::uint32_t from = 0;
        std::uint32_t fromPlace = 0;
    };

    /// Joins stages at the same runner, which arise when a short detour between them looked cheaper.
    void joinRepeated(Path& path)
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
    return search(request, engine, now, { 0, engine.layers }, false);
}

bool PathFinder::covered(const PathRequest& request, const EngineProfile& engine, TimePoint now) const
{
    return search(request, engine, now, { 0, engine.layers }, true).has_value();
}

std::optional<Path> PathFinder::detour(const Path& path, const EndpointId& leaving, const PathRequest& request,
    const EngineProfile& engine, TimePoint now) const
{
    const auto stage
        = std::find_if(path.begin(), path.end(), [&](const PathStage& held) { return held.runner == leaving; });
    if (stage == path.end() || stage == path.begin())
        return std::nullopt;
    PathRequest part = request;
    part.from = std::prev(stage)->dataCentre;
    part.firstAmong.clear();
    part.mayCross = false;
    // A path names a runner once.
    for (const PathStage& held : path)
        part.avoided.insert(held.runner);
    const auto between = search(part, engine, now, stage->layers, false);
    if (!between || path.size() - 1 + between->size() > mostStages)
        return std::nullopt;
    Path changed(path.begin(), stage);
    changed.insert(changed.end(), between->begin(), between->end());
    changed.insert(changed.end(), std::next(stage), path.end());
    return changed;
}

std::optional<Path> PathFinder::search(const PathRequest& request, const EngineProfile& engine, TimePoint now,
    const LayerRange& wanted, bool ignoreLoad) const
{
    std::vector<Holder> holders;
    std::vector<DataCentreId> places;
    const std::uint32_t last = std::min(wanted.end, engine.layers);
    std::set<std::uint32_t> cuts { wanted.first, last };
    for (const auto& [id, runner] : m_directory.runners()) {
        const RunnerEntry& entry = runner.entry;
        if (entry.service != request.service || entry.layers.count() == 0 || !runner.usable(now)
            || request.avoided.contains(id))
            continue;
        const AcceleratorProfile* accelerator = engine.accelerator(entry.accelerator);
        if (!accelerator)
            continue;
        const RunnerLoad load = ignoreLoad ? RunnerLoad() : m_ledger.at(id);
        const double room = engine.cacheRoom(*accelerator, entry.layers.count()) * request.cacheLimit;
        if (room <= 0)
            continue;
        const auto place = std::find(places.begin(), places.end(), entry.dataCentre);
        Holder holder;
        holder.entry = &entry;
        holder.place = static_cast<std::uint32_t>(place - places.begin());
        if (place == places.end())
            places.push_back(entry.dataCentre);
        const double fill = std::min(1.0, load.cache / room);
        holder.layerCost = engine.stepTime(*accelerator, 1, load.sequences + 1) * (1 + fillWeight * fill * fill);
        holder.freeLayers = request.tokens > 0 ? (room - load.cache) / request.tokens : engine.layers;
        holder.freeSlot = load.first < engine.slots * std::min(1.0, request.cacheLimit)
            && (request.firstAmong.empty() || request.firstAmong.contains(id));
        holders.push_back(holder);
        for (const std::uint32_t cut : { entry.layers.first, entry.layers.end }) {
            if (cut > wanted.first && cut < last)
                cuts.insert(cut);
        }
    }
    const std::vector<std::uint32_t> cutList(cuts.begin(), cuts.end());
    const std::size_t width = places.size();
    std::vector<Node> nodes((engine.layers + 1) * std::max<std::size_t>(1, width));
    const auto node = [&](std::uint32_t layer, std::uint32_t place) -> Node& { return nodes[layer * width + place]; };
    for (const std::uint32_t from : cutList) {
        if (from >= last)
            continue;
        for (const Holder& holder : holders) {
            if (from < holder.entry->layers.first || from >= holder.entry->layers.end)
                continue;
            double base = std::numeric_limits<double>::infinity();
            std::uint32_t basePlace = holder.place;
            if (from == wanted.first) {
                const bool local = holder.entry->dataCentre == request.from;
                if (from == 0 ? !holder.freeSlot : !local)
                    continue;
                base = local ? 0 : remoteAnswerMilliseconds;
            } else {
                for (std::uint32_t place = 0; place < width; ++place) {
                    if (place != holder.place && !request.mayCross)
                        continue;
                    const double cost = node(from, place).cost + (place == holder.place ? 0 : crossingMilliseconds);
                    if (cost < base) {
                        base = cost;
                        basePlace = place;
                    }
                }
            }
            if (base == std::numeric_limits<double>::infinity())
                continue;
            for (auto to = std::upper_bound(cutList.begin(), cutList.end(), from);
                 to != cutList.end() && *to <= std::min(holder.entry->layers.end, last); ++to) {
                const std::uint32_t count = *to - from;
                if (count > holder.freeLayers)
                    break;
                const double cost = base + stageMilliseconds + holder.layerCost * count;
                Node& reached = node(*to, holder.place);
                if (cost < reached.cost)
                    reached = { cost, &holder, from, basePlace };
            }
        }
    }
    const Node* best = nullptr;
    std::uint32_t place = 0;
    for (std::uint32_t i = 0; i < width; ++i) {
        if (const Node& end = node(last, i); end.holder && (!best || end.cost < best->cost)) {
            best = &end;
            place = i;
        }
    }
    if (!best)
        return std::nullopt;
    Path path;
    for (std::uint32_t layer = last; layer > wanted.first;) {
        const Node& reached = node(layer, place);
        const RunnerEntry& entry = *reached.holder->entry;
        path.push_back({ entry.id, entry.address, { reached.from, layer }, entry.dataCentre });
        layer = reached.from;
        place = reached.fromPlace;
    }
    std::reverse(path.begin(), path.end());
    joinRepeated(path);
    return path;
}

double PathFinder::fill(const TargetId& service, const EngineProfile& engine, TimePoint now) const
{
    double used = 0;
    double room = 0;
    for (const auto& [id, runner] : m_directory.runners()) {
        const AcceleratorProfile* accelerator = engine.accelerator(runner.entry.accelerator);
        if (runner.entry.service != service || !accelerator || runner.entry.layers.count() == 0 || !runner.usable(now))
            continue;
        used += m_ledger.at(id).cache;
        room += engine.cacheRoom(*accelerator, runner.entry.layers.count());
    }
    return room > 0 ? used / room : 1;
}

} // namespace fuchsialb
