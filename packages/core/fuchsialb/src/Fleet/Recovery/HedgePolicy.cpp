#include "HedgePolicy.h"

#include <algorithm>
#include <tuple>

namespace fuchsialb {

namespace {

    // After a refusal the queues of a service need some seconds to empty.
    constexpr Duration refusalMemory = std::chrono::seconds(5);
    // A runner whose last answer was slow is taken to be sound again after this time.
    constexpr Duration slownessMemory = std::chrono::seconds(5);
    // Below this, delays on the host itself make up most of the difference.
    constexpr Duration minDelay = std::chrono::milliseconds(20);
    // Requests by which a runner of this data centre may be busier than one of another before that one is chosen.
    constexpr double remotePenalty = 2;

} // namespace

std::string_view hedgeObstacleName(HedgeObstacle obstacle)
{
    switch (obstacle) {
    case HedgeObstacle::TooEarly:
        return "too-early";
    case HedgeObstacle::Attempts:
        return "attempts";
    case HedgeObstacle::Deadline:
        return "deadline";
    case HedgeObstacle::Stopping:
        return "stopping";
    case HedgeObstacle::Quarantine:
        return "quarantine";
    case HedgeObstacle::HostHeldUp:
        return "host-held-up";
    case HedgeObstacle::Shortage:
        return "shortage";
    case HedgeObstacle::NoRunner:
        return "no-runner";
    case HedgeObstacle::Budget:
        return "budget";
    case HedgeObstacle::RetryBudget:
        return "retry-budget";
    }
    return "";
}

void HedgePolicy::recordRequest(const TargetId& service, TimePoint now)
{
    if (m_ratio <= 0)
        return;
    const auto [found, isNew] = m_services.try_emplace(service, Service { HedgeBudget(m_ratio, m_window), {} });
    found->second.budget.recordRequest(now);
}

void HedgePolicy::recordStart(const EndpointId& runner, TimePoint sentAt)
{
    if (m_ratio > 0)
        m_open[runner].insert(sentAt);
}

void HedgePolicy::recordEnd(const EndpointId& runner, TimePoint sentAt)
{
    const auto open = m_open.find(runner);
    if (open == m_open.end())
        return;
    if (const auto run = open->second.find(sentAt); run != open->second.end())
        open->second.erase(run);
    if (open->second.empty())
        m_open.erase(open);
}

void HedgePolicy::recordDuration(const TargetId& service, const EndpointId& runner, Duration took, TimePoint now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    if (const auto slowDelay = delay(service, now); slowDelay && took >= *slowDelay) {
        std::erase_if(m_slowAt, [&](const auto& item) { return now - item.second >= slownessMemory; });
        m_slowAt[runner] = now;
    } else {
        m_slowAt.erase(runner);
        m_givenUpAt.erase(runner);
    }
    found->second.delay.record(took, now);
}

void HedgePolicy::recordGivenUp(const TargetId& service, const EndpointId& runner, Duration age, TimePoint now)
{
    const auto slowDelay = delay(service, now);
    if (!slowDelay || age < *slowDelay)
        return;
    recordDuration(service, runner, age, now);
    m_givenUpAt[runner].push_back(now);
    for (auto& [id, times] : m_givenUpAt) {
        while (!times.empty() && now - times.front() >= slownessMemory)
            times.pop_front();
    }
    std::erase_if(m_givenUpAt, [](const auto& item) { return item.second.empty(); });
}

std::size_t HedgePolicy::givenUpLately(const EndpointId& runner, TimePoint now) const
{
    const auto found = m_givenUpAt.find(runner);
    if (found == m_givenUpAt.end())
        return 0;
    const auto& times = found->second;
    return static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(), [&](TimePoint time) { return now - time < slownessMemory; }));
}

void HedgePolicy::recordRefusal(const TargetId& service, TimePoint now)
{
    if (const auto found = m_services.find(service); found != m_services.end())
        found->second.refusedAt = now;
}

std::optional<Duration> HedgePolicy::delay(const TargetId& service, TimePoint now) const
{
    const auto found = m_services.find(service);
    const auto learnt = found == m_services.end() ? std::nullopt : found->second.delay.at(now);
    return learnt ? std::optional(std::max(*learnt, minDelay)) : std::nullopt;
}

bool HedgePolicy::isShort(const Service& service, const TargetId& name, const Fleet& fleet, TimePoint now) const
{
    if (service.refusedAt && now - *service.refusedAt < refusalMemory)
        return true;
    return std::any_of(fleet.runners.runners().begin(), fleet.runners.runners().end(), [&](const auto& item) {
        const RunnerDirectory::Runner& runner = item.second;
        return runner.entry.service == name
            && (runner.resting(now) || fleet.limits.find(runner.entry.id, runner.entry.startedAt));
    });
}

bool HedgePolicy::isSlow(const EndpointId& runner, Duration delay, TimePoint now) const
{
    if (const auto open = m_open.find(runner); open != m_open.end() && now - *open->second.begin() >= delay)
        return true;
    const auto slow = m_slowAt.find(runner);
    return slow != m_slowAt.end() && now - slow->second < slownessMemory;
}

const RunnerDirectory::Runner* HedgePolicy::chooseRunner(
    const Run& run, const Fleet& fleet, Duration delay, TimePoint now) const
{
    const RunnerDirectory::Runner* present = fleet.runners.find(run.runner);
    const double presentLoad = fleet.ledger.at(run.runner).firstStages;
    const RunnerDirectory::Runner* best = nullptr;
    // At equal cost a runner in another data centre than the present one's shares fewer causes of slowness with it.
    std::tuple<double, bool> bestCost;
    for (const auto& [id, runner] : fleet.runners.runners()) {
        if (runner.entry.service != run.service || id == run.runner || run.excluded.contains(id) || !runner.usable(now))
            continue;
        const double load = fleet.ledger.at(id).firstStages;
        if (load > presentLoad || isSlow(id, delay, now))
            continue;
        const std::tuple cost { load + (runner.entry.dataCentre == fleet.dataCentre ? 0 : remotePenalty),
            present && runner.entry.dataCentre == present->entry.dataCentre };
        if (!best || cost < bestCost) {
            best = &runner;
            bestCost = cost;
        }
    }
    return best;
}

HedgePolicy::Decision HedgePolicy::decide(
    const Run& run, const Fleet& fleet, SharedRetryBudget& retryBudget, TimePoint now)
{
    const auto service = m_services.find(run.service);
    const auto slowDelay = delay(run.service, now);
    if (service == m_services.end() || !slowDelay || now - run.sentAt < *slowDelay)
        return HedgeObstacle::TooEarly;
    if (run.attempts >= run.maxAttempts)
        return HedgeObstacle::Attempts;
    if (run.deadline - now < *slowDelay)
        return HedgeObstacle::Deadline;
    if (fleet.isStopping)
        return HedgeObstacle::Stopping;
    if (run.isQuarantined)
        return HedgeObstacle::Quarantine;
    if (run.hostWasHeldUp)
        return HedgeObstacle::HostHeldUp;
    if (!service->second.budget.hasOne())
        return HedgeObstacle::Budget;
    if (isShort(service->second, run.service, fleet, now))
        return HedgeObstacle::Shortage;
    const RunnerDirectory::Runner* runner = chooseRunner(run, fleet, *slowDelay, now);
    if (!runner)
        return HedgeObstacle::NoRunner;
    if (!retryBudget.tryTake(
            { run.service, SharedRetryBudget::Purpose::Hedge }, { fleet.hosts, fleet.nearbyHosts, fleet.ledger }, now))
        return HedgeObstacle::RetryBudget;
    service->second.budget.take();
    return runner->entry.id;
}

} // namespace fuchsialb
