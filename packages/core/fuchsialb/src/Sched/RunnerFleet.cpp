#include "RunnerFleet.h"

#include <algorithm>
#include <limits>
#include <set>

namespace fuchsialb {

namespace {

    template <typename Map, typename Key> typename Map::mapped_type valueOrDefault(const Map& map, const Key& key)
    {
        const auto found = map.find(key);
        return found == map.end() ? typename Map::mapped_type {} : found->second;
    }

} // namespace

void RunnerFleet::configure(const Configuration& configuration, TimePoint now)
{
    const bool atWork = !m_runners.empty();
    std::set<EndpointId> present;
    for (const auto& [id, endpoint] : configuration.endpoints) {
        if (endpoint.group != m_group)
            continue;
        present.insert(id);
        const AcceleratorKind kind = valueOrDefault(configuration.acceleratorKinds, endpoint.acceleratorKind);
        const LinkClass link = valueOrDefault(configuration.linkClasses, endpoint.link);
        const auto found = m_runners.find(id);
        if (found == m_runners.end())
            m_runners.emplace(id, RunnerModel(endpoint, kind, link, atWork, now));
        else
            found->second.update(endpoint, kind, link, now);
    }
    for (auto& [id, runner] : m_runners) {
        if (!present.contains(id))
            runner.remove();
    }
}

RunnerModel* RunnerFleet::find(const EndpointId& id)
{
    const auto found = m_runners.find(id);
    return found == m_runners.end() ? nullptr : &found->second;
}

const RunnerModel* RunnerFleet::find(const EndpointId& id) const
{
    const auto found = m_runners.find(id);
    return found == m_runners.end() ? nullptr : &found->second;
}

void RunnerFleet::judgeSlowness(TimePoint now)
{
    std::map<AcceleratorKindId, std::vector<double>> ratios;
    for (const auto& [id, runner] : m_runners) {
        if (const auto ratio = runner.stepRatio())
            ratios[runner.endpoint().acceleratorKind].push_back(*ratio);
    }
    for (auto& [kind, values] : ratios) {
        // The lower median: of two runners the slower one is the slow one.
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
        std::nth_element(values.begin(), middle, values.end());
        std::swap(values.front(), *middle);
    }
    for (auto& [id, runner] : m_runners) {
        const auto ratio = runner.stepRatio();
        const double median = ratio ? ratios[runner.endpoint().acceleratorKind].front() : 1.0;
        runner.judgeSlowness(ratio && median > 0 ? *ratio / median : 1.0, now);
    }
}

void RunnerFleet::tick(TimePoint now)
{
    judgeSlowness(now);
    for (auto& [id, runner] : m_runners)
        runner.refresh(now);
    std::erase_if(m_runners, [](const auto& each) { return each.second.removed() && each.second.inProgress() == 0; });
}

template <typename Limit> std::uint32_t RunnerFleet::narrowest(Limit limit) const
{
    std::set<std::uint32_t> boundaries;
    for (const auto& [id, runner] : m_runners)
        boundaries.insert(runner.endpoint().layers.first);
    std::uint64_t least = std::numeric_limits<std::uint32_t>::max();
    for (std::uint32_t layer : boundaries) {
        std::uint64_t sum = 0;
        for (const auto& [id, runner] : m_runners) {
            const LayerRange layers = runner.endpoint().layers;
            // A plain endpoint holds no layers: all of them count.
            if (layers.count() == 0 || (layers.first <= layer && layer < layers.end))
                sum += limit(runner);
        }
        least = std::min(least, sum);
    }
    return boundaries.empty() ? 0 : static_cast<std::uint32_t>(least);
}

std::uint32_t RunnerFleet::slots(TimePoint now) const
{
    return narrowest([now](const RunnerModel& runner) { return runner.limit(now); });
}

std::uint32_t RunnerFleet::configuredSlots() const
{
    return narrowest([](const RunnerModel& runner) {
        const bool active = !runner.removed() && runner.endpoint().state == EndpointState::Active;
        return active ? runner.endpoint().maxConcurrency : 0;
    });
}

std::uint32_t RunnerFleet::inProgress() const
{
    std::uint32_t sum = 0;
    for (const auto& [id, runner] : m_runners)
        sum += runner.inProgress();
    return sum;
}

} // namespace fuchsialb
