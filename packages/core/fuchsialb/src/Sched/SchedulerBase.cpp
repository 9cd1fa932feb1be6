#include "SchedulerBase.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace fuchsialb::internal {

namespace {

    /// Bounds the memory of one organisation's backlog in a rank.
    constexpr std::size_t backlogLimit = 512;
    /// Finished requests that a duplicate submission is recognised for.
    constexpr std::size_t rememberedFinished = 16384;
    /// Time to come back when no backlog can be computed, for example while the store is unavailable.
    constexpr Duration shortRetry = std::chrono::seconds(1);
    constexpr std::uint32_t mostRetries = 2;
    /// Assumed time until a runner returns while the group can serve nothing: two of the shortest suspensions.
    constexpr double outageSeconds = 0.5;

    Duration fromSeconds(double seconds)
    {
        return Duration(static_cast<Duration::rep>(std::clamp(seconds, 0.0, 1e6) * 1e6));
    }

    RankTable<double> shares(const RankTable<RankRule>& rules)
    {
        RankTable<double> result;
        for (Rank rank : allRanks)
            result[rank] = rules[rank].share;
        return result;
    }

} // namespace

SchedulerBase::SchedulerBase(GroupId group, TargetId target, const Clock& clock, Random& random)
    : m_group(group)
    , m_target(std::move(target))
    , m_clock(clock)
    , m_random(random)
    , m_fleet(std::move(group))
    , m_queue(RankTable<double> {}, backlogLimit)
{
}

void SchedulerBase::begin(const Configuration& configuration)
{
    configure(configuration);
    m_capacitySlots = m_fleet.slots(now());
    m_admission = std::make_unique<Admission>(shares(m_rules), modelledCapacity());
}

void SchedulerBase::configure(const Configuration& configuration)
{
    m_rules = configuration.ranks;
    m_queue.shares().setGuaranteed(shares(m_rules));
    m_weights.clear();
    for (const auto& [id, organisation] : configuration.organisations)
        m_weights[id] = organisation.weight;
    m_fleet.configure(configuration, now());
    onConfigured(configuration);
    if (!m_admission)
        return;
    m_admission->setGuaranteed(shares(m_rules));
    followSlots();
    dispatch();
}

void SchedulerBase::followSlots()
{
    const std::uint32_t slots = m_fleet.slots(now());
    if (slots == 0 || slots == m_capacitySlots)
        return;
    if (m_capacitySlots > 0)
        m_admission->scaleCapacity(static_cast<double>(slots) / m_capacitySlots);
    m_capacitySlots = slots;
}

double SchedulerBase::costPerSlotSecond() const { return m_admission->capacity() / std::max(1U, m_capacitySlots); }

double SchedulerBase::weightOf(const OrganisationId& organisation) const
{
    const auto found = m_weights.find(organisation);
    return found == m_weights.end() || found->second <= 0 ? 1.0 : found->second;
}

ScheduledRequest* SchedulerBase::find(RequestId request)
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : found->second.get();
}

ScheduledRequest* SchedulerBase::findRunning(RequestId request, AttemptId attempt)
{
    ScheduledRequest* found = find(request);
    return found && found->state == State::Running && found->attempt == attempt ? found : nullptr;
}

void SchedulerBase::decide(const ScheduledRequest& request, Reason reason, std::string detail)
{
    emit(Decision { request.request.id, reason, std::move(detail) });
}

bool SchedulerBase::refuseInvalid(const Request& request)
{
    Reason reason = Reason::Ok;
    if (request.target != m_target)
        reason = Reason::TargetUnknown;
    else if (!request.idempotent && request.idempotencyKey.empty())
        reason = Reason::IdempotencyKeyRequired;
    if (reason == Reason::Ok)
        return false;
    emit(Decision { request.id, reason, {} });
    Result result;
    result.reason = reason;
    emit(Finish { request.id, std::move(result) });
    rememberFinished(request.id);
    return true;
}

void SchedulerBase::setLimits(ScheduledRequest& request) const
{
    const Duration first = fromSeconds(firstAnswerSeconds(request.request));
    if (request.request.timeLeft) {
        request.deadline = request.arrivedAt + *request.request.timeLeft;
        request.startBy = request.deadline - first;
        return;
    }
    const RankRule& rule = m_rules[request.request.rank];
    if (rule.maxQueueWait > Duration(0))
        request.startBy = request.arrivedAt + rule.maxQueueWait;
    // The caller of a resubmitted request already has its first token.
    if (!request.request.generated.empty())
        return;
    // A prompt too long for the target can't meet it even when idle; it is served, after at most half the target.
    if (rule.firstTokenTarget > Duration(0)) {
        // The predicted first token leaves out prefills queued at the runner and the time between ticks.
        const Duration margin = rule.firstTokenTarget / 10;
        const Duration slack = std::max(rule.firstTokenTarget - first - margin, rule.firstTokenTarget / 2);
        request.startBy = std::min(request.startBy, request.arrivedAt + slack);
    }
}

double SchedulerBase::secondsUntilRoom() const
{
    if (hasRoom())
        return 0;
    if (m_fleet.slots(now()) == 0)
        return outageSeconds;
    if (m_running.empty())
        return 0;
    double least = 1e6;
    for (const RequestId& id : m_running)
        least = std::min(least, std::max(0.0, outstanding(at(id))));
    return least / std::max(costPerSlotSecond(), 1e-6);
}

Duration SchedulerBase::predictedWait(Rank rank, const OrganisationId& organisation, double weight, double cost) const
{
    const double ahead = m_queue.costAhead(rank, organisation, weight, cost);
    if (ahead <= 0 && rank == Rank::Urgent && canPreempt())
        return Duration(0);
    return fromSeconds(secondsUntilRoom()) + m_admission->wait(rank, ahead);
}

void SchedulerBase::submit(Request incoming)
{
    const RequestId id = incoming.id;
    if (m_requests.contains(id) || m_finished.contains(id))
        return;
    if (m_stopReason) {
        emit(ReturnRequest { id, *m_stopReason });
        return;
    }
    if (refuseInvalid(incoming))
        return;
    m_budget.onRequest(now());
    auto owned = std::make_unique<ScheduledRequest>();
    ScheduledRequest& request = *owned;
    request.request = std::move(incoming);
    request.run.resume(request.request);
    request.arrivedAt = now();
    request.weight = weightOf(request.request.organisation);
    request.order = m_nextOrder++;
    request.estimate = estimate(request.request);
    request.claimAttempt = AttemptId(m_random.bits128());
    setLimits(request);
    const Rank rank = request.request.rank;
    const Duration wait = predictedWait(rank, request.request.organisation, request.weight, request.estimate);
    m_requests.emplace(id, std::move(owned));
    if (now() + wait > request.startBy) {
        const Reason reason = m_fleet.slots(now()) == 0 ? Reason::NoRoute : Reason::DeadlineUnreachable;
        finishNotRun(request, reason, Admission::retryAfter(wait, m_random));
        return;
    }
    if (!m_queue.push(queued(request))) {
        finishNotRun(request, Reason::QueueFull, Admission::retryAfter(wait, m_random));
        return;
    }
    m_expiry.emplace(request.startBy, id);
    decide(request, Reason::Admitted, fmt::format("rank={} wait_us={}", rankName(rank), wait.count()));
    dispatch();
}

void SchedulerBase::cancel(RequestId id)
{
    ScheduledRequest* request = find(id);
    if (!request)
        return;
    if (request->state == State::Running)
        cancelRunning(*request);
    else
        giveUp(*request, Reason::Cancelled);
    dispatch();
}

void SchedulerBase::onLoadReport(const LoadReport& report)
{
    if (RunnerModel* runner = m_fleet.find(report.endpoint))
        runner->onReport(report, now());
}

void SchedulerBase::finish(ScheduledRequest& request, Result result)
{
    const RequestId id = request.request.id;
    if (request.state == State::Running) {
        settleCost(request);
    } else if (request.state == State::Claiming) {
        --m_claiming;
        m_abandonedClaims.emplace(id, request.claimAttempt);
    }
    settleClaim(request, result.outcome, result.httpStatus);
    emit(Finish { id, std::move(result) });
    rememberFinished(id);
    forget(request);
}

void SchedulerBase::forget(ScheduledRequest& request)
{
    const RequestId id = request.request.id;
    m_queue.remove(id);
    m_expiry.erase({ request.startBy, id });
    m_requests.erase(id);
}

void SchedulerBase::finishNotRun(ScheduledRequest& request, Reason reason, std::optional<Duration> retryAfter)
{
    assert(!request.started());
    decide(request, reason, fmt::format("outcome=not-run retry_after_us={}", retryAfter.value_or(Duration(0)).count()));
    Result result;
    result.outcome = Outcome::NotRun;
    result.reason = reason;
    result.retryAfter = retryAfter;
    finish(request, std::move(result));
}

void SchedulerBase::giveUp(ScheduledRequest& request, Reason reason)
{
    if (!request.started()) {
        finishNotRun(request, reason,
            reason == Reason::Cancelled ? std::nullopt : std::optional(retryAfter(request.request.rank)));
        return;
    }
    abandonRunning(request);
    decide(request, reason, "outcome=outcome-unknown");
    Result result;
    result.outcome = Outcome::Unknown;
    result.reason = reason;
    result.generatedTokens = static_cast<std::uint32_t>(request.run.generated.size());
    finish(request, std::move(result));
}

void SchedulerBase::returnRequest(ScheduledRequest& request)
{
    settleClaim(request, Outcome::NotRun, 0);
    emit(ReturnRequest { request.request.id, *m_stopReason });
    forget(request);
}

void SchedulerBase::rememberFinished(RequestId request)
{
    m_finished.insert(request);
    m_finishedOrder.push_back(request);
    if (m_finishedOrder.size() <= rememberedFinished)
        return;
    m_finished.erase(m_finishedOrder.front());
    m_finishedOrder.pop_front();
}

bool SchedulerBase::takeRetry(ScheduledRequest& request)
{
    if (request.retries >= mostRetries || now() >= request.deadline || !m_budget.take(now()))
        return false;
    ++request.retries;
    return true;
}

Duration SchedulerBase::retryAfter(Rank rank)
{
    return Admission::retryAfter(
        m_admission->wait(rank, m_queue.costAhead(rank, OrganisationId(), 1.0, 1.0)), m_random);
}

std::optional<Duration> SchedulerBase::shortRetryAfter() { return Admission::retryAfter(shortRetry, m_random); }

void SchedulerBase::stopAccepting(Reason reason)
{
    m_stopReason = reason;
    std::vector<RequestId> waiting;
    for (const auto& [id, request] : m_requests) {
        if (request->state == State::Queued && !request->started())
            waiting.push_back(id);
    }
    for (const RequestId& id : waiting)
        returnRequest(at(id));
}

GroupLoad SchedulerBase::load() const
{
    GroupLoad load;
    load.group = m_group;
    // The whole backlog, not what fair queueing puts ahead of a new organisation: groups are to be kept equally full.
    const Duration untilRoom = fromSeconds(secondsUntilRoom());
    for (Rank rank : allRanks)
        load.wait[rank] = m_queue.size(rank) == 0 && rank == Rank::Urgent && canPreempt()
            ? Duration(0)
            : untilRoom + m_admission->wait(rank, m_queue.backlog(rank));
    load.running = static_cast<std::uint32_t>(m_running.size());
    load.slots = m_fleet.slots(now());
    return load;
}

bool SchedulerBase::idle() const { return m_requests.empty() && m_abandonedClaims.empty(); }

std::vector<Effect> SchedulerBase::takeEffects() { return std::exchange(m_effects, {}); }

} // namespace fuchsialb::internal
