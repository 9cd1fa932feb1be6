#include "RequestRateLimits.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    // All hosts have heard of the end of a limit within this time.
    constexpr Duration endRelayTime = std::chrono::seconds(5);
    // A statement that another host passes on seems newer by the time it took on the way.
    constexpr Duration relayTime = std::chrono::milliseconds(200);
    // Those heard longest ago, mostly of runners that are gone, are dropped beyond this number.
    constexpr std::size_t maxStatements = 1024;

} // namespace

bool RequestRateLimits::recordResponse(const EndpointId& runner, std::int64_t startedAt,
    std::optional<RequestsPerSecond> rate, TimePoint sentAt, TimePoint now)
{
    const auto found = m_statements.find(runner);
    if (found == m_statements.end()) {
        if (rate)
            put(runner, { startedAt, rate, now, now });
        return rate.has_value();
    }
    Statement& known = found->second;
    if (startedAt < known.startedAt)
        return false;
    const bool isSame = startedAt == known.startedAt && rate == known.rate;
    const bool isOvertaken = startedAt == known.startedAt && sentAt <= known.heardAt;
    if (isSame)
        known.heardAt = std::max(known.heardAt, now);
    if (isSame || isOvertaken)
        return false;
    const bool hasChanged = find(runner, startedAt) != rate;
    put(runner, { startedAt, rate, now, now });
    return hasChanged;
}

bool RequestRateLimits::recordRelayed(const RequestRateLimit& limit, TimePoint now)
{
    const TimePoint heardAt = now - limit.age;
    const std::optional<RequestsPerSecond> former = find(limit.runner, limit.startedAt);
    if (const auto found = m_statements.find(limit.runner); found != m_statements.end()) {
        Statement& known = found->second;
        const bool isSameProcess = limit.startedAt == known.startedAt;
        if (limit.startedAt < known.startedAt || (isSameProcess && heardAt <= known.heardAt + relayTime))
            return false;
        if (isSameProcess && limit.rate == known.rate) {
            known.heardAt = heardAt;
            return false;
        }
    }
    put(limit.runner, { limit.startedAt, limit.rate, heardAt, now });
    return former != limit.rate;
}

void RequestRateLimits::put(const EndpointId& runner, const Statement& statement)
{
    m_statements[runner] = statement;
    removeOldest();
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
        if (statement.rate || now - statement.since < endRelayTime)
            list.push_back(
                { runner, statement.startedAt, statement.rate, std::max(Duration(0), now - statement.heardAt) });
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
