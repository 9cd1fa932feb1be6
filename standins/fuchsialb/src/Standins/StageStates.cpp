#include "StageStates.h"

#include <algorithm>

namespace fuchsialb::standins {

bool StageStates::admit(const std::string& request, std::uint32_t epoch)
{
    std::uint32_t& newest = m_newestEpochs[request];
    if (epoch < newest)
        return false;
    newest = epoch;
    return true;
}

StageStates::Held& StageStates::at(const std::string& request)
{
    if (const auto active = m_active.find(request); active != m_active.end())
        return active->second;
    const auto retained
        = std::find_if(m_retained.begin(), m_retained.end(), [&](const auto& entry) { return entry.first == request; });
    if (retained != m_retained.end()) {
        m_retainedTokens -= retained->second.state.positions();
        m_active.insert_or_assign(request, std::move(retained->second));
        m_retained.erase(retained);
    }
    return m_active.try_emplace(request, Held { LayerState(m_layers), {} }).first->second;
}

Json StageStates::prepare(const StageStep& step, std::size_t& computed)
{
    if (!admit(step.request, step.epoch))
        return { { "error", "old-epoch" } };
    Held& held = at(step.request);
    const std::size_t have = held.state.positions();
    if (step.position > have)
        return { { "error", "missing-positions" }, { "have", have } };
    if (step.position < have && !step.truncate)
        return { { "error", "not-next-position" }, { "have", have } };
    held.state.truncate(step.position);
    if (step.position == 0 && step.kind == "prefill")
        adopt(held.state, step);
    computed = step.end() - held.state.positions();
    return nullptr;
}

void StageStates::adopt(LayerState& state, const StageStep& step) const
{
    const LayerState* best = nullptr;
    std::size_t longest = 0;
    const auto consider = [&](const LayerState& other) {
        const std::size_t common = other.commonPrefix(step.hidden);
        if (common > longest) {
            longest = common;
            best = &other;
        }
    };
    for (const auto& [request, held] : m_active)
        consider(held.state);
    for (const auto& [request, held] : m_retained)
        consider(held.state);
    if (!best)
        return;
    LayerState adopted = *best;
    // The last position is always computed, since its output is what the next stage waits for.
    adopted.truncate(std::min(longest, step.hidden.size() - 1));
    state = std::move(adopted);
}

Json StageStates::run(const StageStep& step)
{
    if (!admit(step.request, step.epoch))
        return { { "error", "old-epoch" } };
    Held& held = at(step.request);
    const std::size_t have = held.state.positions();
    if (have < step.position || have >= step.end())
        return { { "error", "missing-positions" }, { "have", std::min(have, step.position) } };
    for (std::size_t position = have; position < step.end(); ++position)
        held.state.append(step.hidden[position - step.position]);
    if (!step.prefixes.empty()) {
        held.prefixes = step.prefixes;
        report(held.prefixes, true);
    }
    return nullptr;
}

const LayerState* StageStates::find(const std::string& request) const
{
    if (const auto active = m_active.find(request); active != m_active.end())
        return &active->second.state;
    const auto retained
        = std::find_if(m_retained.begin(), m_retained.end(), [&](const auto& entry) { return entry.first == request; });
    return retained == m_retained.end() ? nullptr : &retained->second.state;
}

void StageStates::install(const std::string& request, LayerState state) { at(request).state = std::move(state); }

void StageStates::cancel(const std::string& request, std::uint32_t epoch)
{
    std::uint32_t& newest = m_newestEpochs[request];
    if (newest > epoch)
        return;
    newest = epoch + 1;
    retain(request);
}

void StageStates::retain(const std::string& request)
{
    auto node = m_active.extract(request);
    if (node.empty())
        return;
    m_retainedTokens += node.mapped().state.positions();
    m_retained.emplace_back(request, std::move(node.mapped()));
    evict();
}

void StageStates::evict()
{
    while (m_retainedTokens > m_cacheTokens) {
        const Held& oldest = m_retained.front().second;
        m_retainedTokens -= oldest.state.positions();
        report(oldest.prefixes, false);
        m_retained.pop_front();
    }
}

std::size_t StageStates::usedPositions() const
{
    std::size_t used = 0;
    for (const auto& [request, held] : m_active)
        used += held.state.positions();
    return used;
}

void StageStates::report(const std::vector<std::uint64_t>& prefixes, bool held)
{
    const TimePoint now = SystemClock().now();
    for (const std::uint64_t prefix : prefixes)
        m_events.push_back({ ++m_lastEvent, prefix, held, now });
}

} // namespace fuchsialb::standins
