#include "ServiceScheduler.h"

#include <fmt/format.h>

#include <algorithm>

namespace fuchsialb::internal {

namespace {

    /// Assumed time of a call before any was measured.
    constexpr double initialCallSeconds = 0.05;
    constexpr double callSmoothing = 0.05;
    /// A single call counts for at most this many mean calls, so that one stuck call does not bar its organisation.
    constexpr double mostMeanCalls = 20.0;
    constexpr Duration timeoutWithoutDeadline = std::chrono::seconds(60);
    /// The endpoint client reports a timeout itself; this guards against a report that never comes.
    constexpr Duration reportGrace = std::chrono::seconds(1);

    Duration timeLeft(const ScheduledRequest& request, TimePoint now)
    {
        return request.deadline == TimePoint::max() ? timeoutWithoutDeadline : request.deadline - now;
    }

} // namespace

ServiceScheduler::ServiceScheduler(
    GroupId group, const Target& target, const Configuration& configuration, const Clock& clock, Random& random)
    : SchedulerBase(std::move(group), target.id, clock, random)
    , m_meanSeconds(initialCallSeconds)
{
    begin(configuration);
}

double ServiceScheduler::modelledCapacity() const { return fleet().configuredSlots() / m_meanSeconds; }

double ServiceScheduler::outstanding(const ScheduledRequest& request) const
{
    return 1.0 - std::chrono::duration<double>(now() - request.startedAt).count() / m_meanSeconds;
}

const RunnerModel* ServiceScheduler::leastLoaded(bool deduplicatedOnly) const
{
    const RunnerModel* best = nullptr;
    double bestLoad = 0;
    for (const auto& [id, runner] : fleet().runners()) {
        if (!runner.hasRoom(now()) || (deduplicatedOnly && !runner.endpoint().deduplicates))
            continue;
        const double load = (runner.load() + 1) / runner.limit(now());
        if (best && load >= bestLoad)
            continue;
        best = &runner;
        bestLoad = load;
    }
    return best;
}

bool ServiceScheduler::start(ScheduledRequest& request)
{
    const RunnerModel* chosen = leastLoaded(request.deduplicatedOnly);
    if (!chosen)
        return false;
    const Endpoint& endpoint = chosen->endpoint();
    // The first dispatch carries the attempt of the claim; later ones get their own, so that a late report of an
    // earlier call is not taken for the current one.
    request.attempt = request.retries == 0 ? request.claimAttempt : AttemptId(random().bits128());
    request.endpoint = endpoint.id;
    fleet().find(endpoint.id)->acquire();
    markRunning(request);
    emit(CallService { request.request.id, request.attempt, endpoint.id, endpoint.address, timeLeft(request, now()) });
    decide(request, Reason::Dispatched,
        fmt::format("endpoint={} load={:.2f} retries={}", endpoint.id.value(), chosen->load(), request.retries));
    return true;
}

void ServiceScheduler::releaseEndpoint(const ScheduledRequest& request)
{
    if (RunnerModel* runner = fleet().find(request.endpoint))
        runner->release();
}

void ServiceScheduler::onServiceReply(
    RequestId id, AttemptId attempt, std::uint32_t httpStatus, std::string contentType, std::string body)
{
    ScheduledRequest* request = findRunning(id, attempt);
    if (!request)
        return;
    const double seconds = std::chrono::duration<double>(now() - request->startedAt).count();
    charge(*request, std::min(mostMeanCalls, seconds / m_meanSeconds));
    m_meanSeconds = std::max(1e-4, m_meanSeconds + (seconds - m_meanSeconds) * callSmoothing);
    releaseEndpoint(*request);
    if (RunnerModel* runner = fleet().find(request->endpoint))
        runner->onSuccess();
    Result result;
    result.outcome = Outcome::Completed;
    result.reason = Reason::Ok;
    result.httpStatus = httpStatus;
    result.contentType = std::move(contentType);
    result.body = std::move(body);
    finish(*request, std::move(result));
    dispatch();
}

void ServiceScheduler::onServiceFailed(RequestId id, AttemptId attempt, FailureProof proof, Reason reason)
{
    ScheduledRequest* request = findRunning(id, attempt);
    if (!request)
        return;
    releaseEndpoint(*request);
    // A call that ran out of its caller's time says nothing about the endpoint.
    RunnerModel* runner = fleet().find(request->endpoint);
    if (runner && now() < request->deadline)
        runner->onFailure(now(), reason == Reason::ConnectionSilent);
    retryOrEnd(*request, proof, reason);
    dispatch();
}

void ServiceScheduler::retryOrEnd(ScheduledRequest& request, FailureProof proof, Reason reason)
{
    const bool mayHaveRun = proof == FailureProof::MayHaveRun;
    request.mayHaveRun = request.mayHaveRun || mayHaveRun;
    const bool repeatable = request.request.idempotent || !mayHaveRun;
    const bool retry = repeatable && takeRetry(request);
    requeue(request);
    if (!retry) {
        giveUp(request, reason);
        return;
    }
    decide(request, Reason::Retried, fmt::format("cause={} retries={}", reasonName(reason), request.retries));
}

void ServiceScheduler::tickRunning(ScheduledRequest& request)
{
    const Duration allowed
        = request.deadline == TimePoint::max() ? timeoutWithoutDeadline : request.deadline - request.startedAt;
    if (now() - request.startedAt > allowed + reportGrace)
        onServiceFailed(request.request.id, request.attempt, FailureProof::MayHaveRun, Reason::Timeout);
}

} // namespace fuchsialb::internal
