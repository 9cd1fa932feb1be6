#include "Rollout.h"

#include <algorithm>
#include <fmt/format.h>

namespace fuchsialb {

absl::StatusOr<Rollout> Rollout::create(
    const std::vector<RolloutEndpoint>& endpoints, const RolloutOptions& options, const Clock& clock)
{
    Rollout rollout(options, clock);
    for (const RolloutEndpoint& endpoint : endpoints) {
        if (!(endpoint.capacity > 0))
            return error(Reason::InvalidInput, "the capacity of an endpoint must be over 0");
        rollout.m_entries[endpoint.endpoint].capacity = endpoint.capacity;
    }
    for (const auto& [endpoint, entry] : rollout.m_entries)
        rollout.m_capacity += entry.capacity;
    for (const auto& [endpoint, entry] : rollout.m_entries) {
        if (entry.capacity > options.maxFraction * rollout.m_capacity)
            return error(Reason::InvalidInput,
                fmt::format("endpoint {} alone is {:.2f} of the group's capacity, and {:.2f} may be away at a time",
                    endpoint.value(), entry.capacity / rollout.m_capacity, options.maxFraction));
    }
    if (rollout.m_entries.empty())
        rollout.m_state = State::Complete;
    return rollout;
}

double Rollout::away() const
{
    double sum = 0;
    for (const auto& [endpoint, entry] : m_entries) {
        if (entry.step == Step::Ordered || entry.step == Step::Soaking)
            sum += entry.capacity;
    }
    return sum;
}

double Rollout::fractionAway() const { return m_capacity > 0 ? away() / m_capacity : 0; }

std::vector<EndpointId> Rollout::takeOrders()
{
    std::vector<EndpointId> orders;
    if (m_state != State::Going)
        return orders;
    for (auto& [endpoint, entry] : m_entries) {
        if (entry.step == Step::Soaking && m_clock->now() - entry.loaded >= m_options.soak)
            entry.step = Step::New;
    }
    double left = m_options.maxFraction * m_capacity - away();
    for (auto& [endpoint, entry] : m_entries) {
        if (entry.step != Step::Old || entry.capacity > left)
            continue;
        left -= entry.capacity;
        entry.step = Step::Ordered;
        orders.push_back(endpoint);
    }
    const bool complete = std::all_of(
        m_entries.begin(), m_entries.end(), [](const auto& item) { return item.second.step == Step::New; });
    if (complete)
        m_state = State::Complete;
    return orders;
}

void Rollout::onOrderDone(const EndpointId& endpoint, bool loaded)
{
    const auto known = m_entries.find(endpoint);
    if (known == m_entries.end() || known->second.step != Step::Ordered)
        return;
    if (!loaded) {
        // Its state is unknown, so it stays counted as away.
        m_state = State::Stopped;
        return;
    }
    known->second.step = Step::Soaking;
    known->second.loaded = m_clock->now();
}

void Rollout::onRequest(bool newVersion, bool failed)
{
    Count& count = newVersion ? m_new : m_old;
    ++count.requests;
    count.failures += failed ? 1 : 0;
    const bool worse
        = m_new.requests >= m_options.minSamples && m_new.ratio() > m_old.ratio() + m_options.failureMargin;
    if (worse && m_state == State::Going)
        m_state = State::Stopped;
}

} // namespace fuchsialb
