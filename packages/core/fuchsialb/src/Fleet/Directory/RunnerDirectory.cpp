#include "RunnerDirectory.h"

#include <algorithm>
#include <utility>

namespace fuchsialb {

namespace {

    // A dead runner is removed from the registry within a few seconds, so longer suspensions have no use.
    constexpr Duration maxSuspension = std::chrono::seconds(6);
    // A runner that answered this host within this time is not dead, whatever another host reports.
    constexpr Duration successTrustPeriod = std::chrono::milliseconds(300);
    // A runner that is to be left alone for longer leaves the registry, so a larger value is more likely an error.
    constexpr Duration maxRest = std::chrono::minutes(5);
    // Ends of rests are spread over this share of the time, up to the maximum.
    constexpr double restSpread = 0.2;
    constexpr Duration maxRestSpread = std::chrono::seconds(1);
    // Statements of runners that are gone are dropped beyond this number.
    constexpr std::size_t maxLeaving = 1024;

} // namespace

void RunnerDirectory::replaceAll(const std::vector<RunnerEntry>& entries)
{
    recordListing(entries);
    removeMissing();
}

void RunnerDirectory::put(RunnerEntry entry)
{
    Runner& runner = m_runners[entry.id];
    if (runner.entry.startedAt != entry.startedAt)
        runner = {};
    runner.drainingInRegistry = entry.draining;
    runner.entry = std::move(entry);
    runner.missing = false;
    applyLeaving(runner);
}

void RunnerDirectory::applyLeaving(Runner& runner)
{
    const auto said = m_leaving.find(runner.entry.id);
    if (said == m_leaving.end())
        return;
    if (runner.entry.startedAt > said->second)
        m_leaving.erase(said);
    else
        runner.entry.draining = true;
}

bool RunnerDirectory::recordLeaving(const RunnerLeaving& leaving)
{
    const auto found = m_runners.find(leaving.runner);
    if (found == m_runners.end() || leaving.startedAt < found->second.entry.startedAt)
        return false;
    const auto [said, isNew] = m_leaving.try_emplace(leaving.runner, leaving.startedAt);
    said->second = std::max(said->second, leaving.startedAt);
    limitLeaving();
    const bool wasDraining = std::exchange(found->second.entry.draining, true);
    return isNew && !wasDraining;
}

void RunnerDirectory::limitLeaving()
{
    if (m_leaving.size() > maxLeaving)
        std::erase_if(m_leaving, [&](const auto& said) { return !m_runners.contains(said.first); });
}

std::vector<RunnerLeaving> RunnerDirectory::leavingAheadOfRegistry() const
{
    std::vector<RunnerLeaving> list;
    for (const auto& [id, startedAt] : m_leaving) {
        if (const Runner* runner = find(id); runner && !runner->drainingInRegistry && !runner->missing)
            list.push_back({ id, startedAt });
    }
    return list;
}

Duration RunnerDirectory::recordRest(const EndpointId& id, TimePoint now, Duration asked, double share)
{
    const Duration bounded = std::min(asked, maxRest);
    const Duration spread = std::min(maxRestSpread, std::chrono::duration_cast<Duration>(bounded * restSpread));
    const Duration rest = bounded + std::chrono::duration_cast<Duration>(spread * share);
    if (const auto found = m_runners.find(id); found != m_runners.end())
        found->second.restUntil = std::max(found->second.restUntil, now + rest);
    return rest;
}

std::optional<TimePoint> RunnerDirectory::earliestRestEnd(const TargetId& service, TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const auto& [id, runner] : m_runners) {
        if (runner.entry.service != service || runner.entry.draining || !runner.resting(now))
            continue;
        if (!earliest || runner.restUntil < *earliest)
            earliest = runner.restUntil;
    }
    return earliest;
}

bool RunnerDirectory::hasUsable(const TargetId& service, TimePoint now) const
{
    return std::any_of(m_runners.begin(), m_runners.end(),
        [&](const auto& item) { return item.second.entry.service == service && item.second.usable(now); });
}

bool RunnerDirectory::hasOtherHolders(const EndpointId& id, TimePoint now) const
{
    const Runner* held = find(id);
    if (!held)
        return false;
    const LayerRange& layers = held->entry.layers;
    for (std::uint32_t next = layers.first; next < layers.end;) {
        std::uint32_t end = next;
        for (const auto& [otherId, other] : m_runners) {
            const RunnerEntry& entry = other.entry;
            const bool isCandidate = otherId != id && entry.service == held->entry.service
                && entry.dataCentre == held->entry.dataCentre && other.usable(now);
            if (isCandidate && entry.layers.first <= next)
                end = std::max(end, entry.layers.end);
        }
        if (end == next)
            return false;
        next = end;
    }
    return true;
}

void RunnerDirectory::recordMissing(const EndpointId& id)
{
    if (const auto found = m_runners.find(id); found != m_runners.end())
        found->second.missing = true;
}

void RunnerDirectory::recordListing(const std::vector<RunnerEntry>& entries)
{
    for (auto& [id, runner] : m_runners)
        runner.missing = true;
    for (const RunnerEntry& entry : entries)
        put(entry);
}

std::vector<RunnerEntry> RunnerDirectory::removeMissing()
{
    std::vector<RunnerEntry> removed;
    std::erase_if(m_runners, [&](const auto& item) {
        if (item.second.missing)
            removed.push_back(item.second.entry);
        return item.second.missing;
    });
    return removed;
}

const RunnerDirectory::Runner* RunnerDirectory::find(const EndpointId& id) const
{
    const auto found = m_runners.find(id);
    return found == m_runners.end() ? nullptr : &found->second;
}

const RunnerDirectory::Runner* RunnerDirectory::findByAddress(std::string_view address) const
{
    const auto found = std::find_if(
        m_runners.begin(), m_runners.end(), [&](const auto& item) { return item.second.entry.address == address; });
    return found == m_runners.end() ? nullptr : &found->second;
}

void RunnerDirectory::recordFailure(
    const EndpointId& id, TimePoint now, Duration suspension, std::uint32_t maxDoublings)
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end() || now < found->second.suspendedUntil)
        return;
    Runner& runner = found->second;
    runner.suspendedUntil = now + std::min(maxSuspension, suspension * (1U << std::min(runner.failures, maxDoublings)));
    if (runner.failures++ == 0)
        runner.failingSince = now;
    runner.markedDead = false;
    runner.markedDeadLocally = false;
}

void RunnerDirectory::markDead(const EndpointId& id, TimePoint now, Duration suspension)
{
    recordFailure(id, now, suspension);
    const auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    found->second.suspendedUntil = std::max(found->second.suspendedUntil, now + suspension);
    found->second.markedDead = true;
    found->second.markedDeadLocally = true;
}

void RunnerDirectory::markSuspected(const EndpointId& id, TimePoint now, Duration suspension)
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end() || found->second.dead(now))
        return;
    Runner& runner = found->second;
    runner.suspendedUntil = std::max(runner.suspendedUntil, now + suspension);
    runner.markedDead = true;
    runner.markedDeadLocally = false;
}

void RunnerDirectory::markDeadByPeer(const EndpointId& id, TimePoint now, Duration left)
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end() || now - found->second.succeededAt < successTrustPeriod)
        return;
    if (now + left > found->second.suspendedUntil) {
        found->second.suspendedUntil = now + std::min(left, maxSuspension);
        found->second.markedDead = true;
        found->second.markedDeadLocally = false;
    }
}

void RunnerDirectory::recordSuccess(const EndpointId& id, TimePoint now)
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    found->second.failures = 0;
    // Its silence is over. A suspension after a refusal stays.
    if (found->second.markedDead)
        found->second.suspendedUntil = std::min(found->second.suspendedUntil, now);
    found->second.markedDead = false;
    found->second.markedDeadLocally = false;
    found->second.succeededAt = now;
}

void RunnerDirectory::recordReport(
    const EndpointId& id, std::uint64_t ordersBegun, const LayerRange& layers, std::int64_t startedAt)
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    if (startedAt != 0 && startedAt != found->second.entry.startedAt) {
        RunnerEntry restarted = found->second.entry;
        restarted.startedAt = startedAt;
        restarted.draining = found->second.drainingInRegistry;
        const bool missing = found->second.missing;
        put(std::move(restarted));
        found->second.missing = missing;
    }
    found->second.ordersBegun = ordersBegun;
    found->second.entry.layers = layers;
}

void RunnerDirectory::recordOrder(const EndpointId& id)
{
    if (const auto found = m_runners.find(id); found != m_runners.end())
        ++found->second.ordersBegun;
}

} // namespace fuchsialb
