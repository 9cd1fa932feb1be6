#include "SchedulerBase.h"

#include <algorithm>

namespace fuchsialb::internal {

namespace {

    /// Claims in flight at once. Requests behind it that need no claim are served as usual.
    constexpr std::size_t mostClaiming = 1024;
    /// Requests of a rank that may be passed over in one dispatch because they can't start now.
    constexpr std::size_t mostPassedOver = 16;
    constexpr Duration tailsInterval = std::chrono::milliseconds(100);
    constexpr std::size_t mostTailRounds = 64;
    /// A queued request is rejected early only when the prediction exceeds its time by this factor, so that noise of
    /// the measured rate rejects nothing.
    constexpr double tailTolerance = 1.25;

} // namespace

QueuedRequest SchedulerBase::queued(const ScheduledRequest& request) const
{
    return { request.request.id, request.request.organisation, request.weight, request.request.rank, request.estimate,
        request.order };
}

void SchedulerBase::putBack(ScheduledRequest& request)
{
    m_queue.correct(request.request.rank, request.request.organisation, -request.estimate);
    m_queue.putBack(queued(request));
}

void SchedulerBase::markRunning(ScheduledRequest& request)
{
    const Rank rank = request.request.rank;
    request.state = State::Running;
    request.startedAt = now();
    request.used = 0;
    // Charging about a second ahead spreads slots that become free at the same moment over the ranks.
    request.rankCharged = std::min(request.estimate, costPerSlotSecond());
    m_queue.shares().charge(rank, request.rankCharged, now());
    m_expiry.erase({ request.startBy, request.request.id });
    m_running.insert(request.request.id);
    ++m_runningOf[rank];
}

void SchedulerBase::charge(ScheduledRequest& request, double cost)
{
    request.used += cost;
    m_admission->served(request.request.rank, cost);
    if (request.used <= request.rankCharged)
        return;
    m_queue.shares().charge(request.request.rank, request.used - request.rankCharged, now());
    request.rankCharged = request.used;
}

void SchedulerBase::settleCost(ScheduledRequest& request)
{
    const Rank rank = request.request.rank;
    m_queue.shares().charge(rank, request.used - request.rankCharged, now());
    m_queue.correct(rank, request.request.organisation, request.used - request.estimate);
    request.rankCharged = 0;
    m_running.erase(request.request.id);
    --m_runningOf[rank];
}

void SchedulerBase::requeue(ScheduledRequest& request)
{
    settleCost(request);
    request.state = State::Queued;
    request.used = 0;
    request.estimate = remaining(request);
    m_expiry.emplace(request.startBy, request.request.id);
    m_queue.putBack(queued(request));
}

void SchedulerBase::dispatch()
{
    // Starting a request can end in another dispatch, for example when it is given up.
    if (m_dispatching)
        return;
    m_dispatching = true;
    std::vector<RequestId> passedOver;
    RankTable<std::size_t> passed;
    RankTable<bool> excluded;
    while (!m_queue.empty()) {
        const bool room = hasRoom();
        if (!room && (m_queue.size(Rank::Urgent) == 0 || excluded[Rank::Urgent] || !canPreempt()))
            break;
        const auto item = room ? m_queue.pop(excluded) : m_queue.pop(Rank::Urgent);
        if (!item)
            break;
        ScheduledRequest& request = at(item->request);
        if (needsClaim(request) && m_claiming < mostClaiming) {
            startClaim(request);
            continue;
        }
        bool started = false;
        if (!needsClaim(request)) {
            if (!room)
                preempt();
            started = start(request);
        }
        if (started)
            continue;
        passedOver.push_back(item->request);
        excluded[item->rank] = !room || ++passed[item->rank] >= mostPassedOver;
    }
    for (const RequestId& id : passedOver)
        putBack(at(id));
    m_dispatching = false;
}

void SchedulerBase::expire()
{
    while (!m_expiry.empty() && m_expiry.begin()->first < now()) {
        ScheduledRequest& request = at(m_expiry.begin()->second);
        giveUp(request, request.started() ? Reason::DeadlineExceeded : Reason::DeadlineUnreachable);
    }
}

void SchedulerBase::rejectTails()
{
    if (now() - m_tailsCheckedAt < tailsInterval)
        return;
    m_tailsCheckedAt = now();
    for (Rank rank : allRanks) {
        bool rejected = true;
        for (std::size_t round = 0; rejected && round < mostTailRounds; ++round) {
            rejected = false;
            for (const auto& [id, cost] : m_queue.tails(rank)) {
                ScheduledRequest& request = at(id);
                const Duration wait = m_admission->wait(rank, cost / tailTolerance);
                if (request.started() || now() + wait <= request.startBy)
                    continue;
                finishNotRun(request, Reason::DeadlineUnreachable, Admission::retryAfter(wait, m_random));
                rejected = true;
            }
        }
    }
}

void SchedulerBase::tick()
{
    m_fleet.tick(now());
    followSlots();
    RankTable<bool> backlogged;
    for (Rank rank : allRanks)
        backlogged[rank] = m_queue.size(rank) > 0;
    m_admission->observe(now(), !hasRoom(), backlogged);
    expire();
    rejectTails();
    const std::vector<RequestId> running(m_running.begin(), m_running.end());
    for (const RequestId& id : running) {
        ScheduledRequest* request = find(id);
        if (request && request->state == State::Running)
            tickRunning(*request);
    }
    dispatch();
}

} // namespace fuchsialb::internal
