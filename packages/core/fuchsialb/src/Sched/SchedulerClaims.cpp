#include "SchedulerBase.h"

#include <algorithm>

namespace fuchsialb::internal {

namespace {

    constexpr std::uint32_t statusInProgress = 409;
    constexpr std::uint32_t statusKeyReused = 422;

} // namespace

bool SchedulerBase::needsClaim(const ScheduledRequest& request) const
{
    return !request.request.idempotent && !request.claimed && !request.deduplicatedOnly && !request.mayHaveRun;
}

void SchedulerBase::startClaim(ScheduledRequest& request)
{
    request.state = State::Claiming;
    ++m_claiming;
    emit(ClaimNeeded { request.request.id, request.claimAttempt });
}

void SchedulerBase::onClaim(RequestId id, AttemptId attempt, const ClaimResult& result)
{
    if (m_abandonedClaims.erase({ id, attempt }) > 0) {
        // The request was answered "not run" before the claim stood, and it is never dispatched.
        if (result.verdict == ClaimVerdict::Granted)
            emit(ClaimSettled { id, attempt, Outcome::NotRun, 0 });
        return;
    }
    ScheduledRequest* request = find(id);
    if (!request || request->state != State::Claiming || request->claimAttempt != attempt)
        return;
    --m_claiming;
    request->state = State::Queued;
    if (result.verdict == ClaimVerdict::Granted) {
        request->claimed = true;
        if (m_stopReason)
            returnRequest(*request);
        else
            putBack(*request);
    } else if (result.verdict == ClaimVerdict::Unavailable) {
        onClaimUnavailable(*request);
    } else {
        answerClaimed(*request, result);
    }
    dispatch();
}

void SchedulerBase::onClaimUnavailable(ScheduledRequest& request)
{
    if (m_stopReason) {
        returnRequest(request);
        return;
    }
    const auto& runners = m_fleet.runners();
    const bool usable = std::any_of(runners.begin(), runners.end(),
        [](const auto& each) { return each.second.available() && each.second.endpoint().deduplicates; });
    if (!usable) {
        finishNotRun(request, Reason::StoreUnavailable, shortRetryAfter());
        return;
    }
    request.deduplicatedOnly = true;
    decide(request, Reason::StoreUnavailable, "endpoints=deduplicating");
    putBack(request);
}

void SchedulerBase::answerClaimed(ScheduledRequest& request, const ClaimResult& claim)
{
    Result result;
    if (claim.verdict == ClaimVerdict::KeyReused) {
        result.outcome = Outcome::NotRun;
        result.reason = Reason::IdempotencyKeyReused;
        result.httpStatus = statusKeyReused;
    } else if (claim.verdict == ClaimVerdict::Completed) {
        result.outcome = Outcome::Completed;
        result.reason = Reason::AlreadyCompleted;
        result.httpStatus = claim.httpStatus;
        result.replayed = true;
    } else {
        result.outcome = Outcome::Unknown;
        result.reason = Reason::EarlierAttemptUnknown;
        result.httpStatus = statusInProgress;
        result.retryAfter = shortRetryAfter();
    }
    decide(request, result.reason, {});
    finish(request, std::move(result));
}

void SchedulerBase::settleClaim(ScheduledRequest& request, Outcome outcome, std::uint32_t httpStatus)
{
    if (!request.claimed)
        return;
    request.claimed = false;
    emit(ClaimSettled { request.request.id, request.claimAttempt, outcome, httpStatus });
}

} // namespace fuchsialb::internal
