#include "RequestRateLimits.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    // All hosts have heard of the end of a limit within this time.
    constexpr Duration endRelayTime = std::chrono::seconds(5);
    // A statement that comes back from other hosts seems newer by the time it took on the way.
    constexpr Duration relayTime = std::chrono::milliseconds(500);
    // Those heard longest ago, mostly of runners that are gone, are dropped beyond this number.
    constexpr std::size_t maxStatements = 1024;

} // namespace

bool RequestRateLimits::recordResponse(const EndpointId& runner, std::int64_t startedAt,
    std::optional<RequestsPerSecond> rate, TimePoint sentAt, TimePoint now)
{
    const auto found = m_statements.find(runner);
    const bool isKnown = found != m_statements.end();
    if (isKnown && startedAt < found->second.startedAt)
        return false;
    const std::optional<RequestsPerSecond> former = find(runner, startedAt);
    if (!rate && (!former || sentAt <= found->second.heardAt))
        return false;
    m_statements[runner] = { startedAt, rate, now };
    removeOldest();
    return former != rate;
}

bool RequestRateLimits::recordRelayed(const RequestRateLimit& limit, TimePoint now)
{
    const TimePoint heardAt = now - limit.age;
    const auto found = m_statements.find(limit.runner);
    if (found != m_statements.end()) {
        const Statement& known = found->second;
        const bool isOlder = limit.startedAt < known.startedAt
            || (limit.startedAt == known.startedAt && heardAt <= known.heardAt + relayTime);
        if (isOlder)
            return false;
    }
    const bool hasChanged = find(limit.runner, limit.startedAt) != limit.rate;
    m_statements[limit.runner] = { limit.startedAt, limit.rate, heardAt };
    removeOldest();
    return hasChanged;
}

std::optional<RequestsPerSecond> RequestRateLimits::find(const EndpointId& runner, std::int64_t startedAt) const
{
    const auto found = m_statements.find(runner);
    return found == m_statements.end() || found->second.startedAt < startedAt ? std::nullopt : found->second.rate;
}

std::vector<RequestRateLimit> RequestRateLimits::statements(TimePoint now) const
{
    std::vector<RequestRateLimit> list;
    for (const auto& [runner, statement] : m_statements) {
        const Duration age = std::max(Duration(0), now - statement.heardAt);
        if (statement.rate || age < endRelayTime)
            list.push_back({ runner, statement.startedAt, statement.rate, age });
    }
    return list;
}

void RequestRateLimits::removeOldest()
{
    if (m_statements.size() <= maxStatements)
        return;
    m_statements.erase(std::min_element(m_statements.begin(), m_statements.end(),
        [](const auto& a, const auto& b) { return a.second.heardAt < b.second.heardAt; }));
}

} // namespace fuchsialb
