#include "EntryTable.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fuchsialb::internal {

namespace {

    // An accepted submission is asked about again after this silence, an unaccepted one sooner.
    constexpr Duration acceptTimeout = std::chrono::milliseconds(400);
    constexpr Duration silenceTimeout = std::chrono::seconds(1);
    // A scheduler that leaves this many repeats unanswered is taken for lost, well before the failure detector confirms
    // it.
    constexpr std::uint32_t maxUnanswered = 3;
    constexpr std::uint32_t maxSubmissions = 6;
    // Pause before another attempt when no scheduler could be found.
    constexpr Duration noSchedulerPause = std::chrono::milliseconds(200);
    constexpr std::uint32_t maxNoScheduler = 10;
    // The scheduler answers at the deadline itself; the entry daemon gives up on its answer only after this grace.
    constexpr Duration deadlineGrace = std::chrono::seconds(1);
    constexpr Duration minRetryAfter = std::chrono::seconds(1);

} // namespace

EntryTable::EntryTable(
    RouterFault fault, GroupChooser& chooser, const Membership& membership, const Clock& clock, Random& random)
    : m_fault(fault)
    , m_chooser(chooser)
    , m_membership(membership)
    , m_clock(clock)
    , m_random(random)
{
}

absl::Status EntryTable::check(const Request& request) const
{
    if (!m_configuration)
        return error(Reason::NoScheduler, "no configuration is in force yet");
    if (m_refuseNew)
        return error(Reason::ShuttingDown, "this host is shutting down");
    if (!m_configuration->serveUnlistedOrganisations && !m_configuration->organisations.contains(request.organisation))
        return error(Reason::OrganisationUnknown, fmt::format("organisation {}", request.organisation.value()));
    const auto target = m_configuration->targets.find(request.target);
    if (target == m_configuration->targets.end() || target->second.kind != request.kind)
        return error(Reason::TargetUnknown, fmt::format("target {}", request.target.value()));
    if (!request.idempotent && request.idempotencyKey.empty())
        return error(Reason::IdempotencyKeyRequired, "calls of this target may not be repeated: send Idempotency-Key");
    return absl::OkStatus();
}

void EntryTable::arrive(Request request)
{
    const RequestId id = request.id;
    if (m_entries.contains(id)) {
        ++m_staleEvents;
        return;
    }
    if (m_configuration && request.kind == TargetKind::Service) {
        if (const auto target = m_configuration->targets.find(request.target);
            target != m_configuration->targets.end() && !target->second.idempotent)
            request.idempotent = request.method == "GET" || request.method == "HEAD";
    }
    const absl::Status checked = check(request);
    Entry entry;
    entry.request = std::move(request);
    if (entry.request.timeLeft)
        entry.deadline = m_clock.now() + *entry.request.timeLeft;
    const auto it = m_entries.emplace(id, std::move(entry)).first;
    if (!checked.ok()) {
        giveUp(it, reasonOf(checked), std::string_view(checked.message().data(), checked.message().size()));
        return;
    }
    submit(it);
}

void EntryTable::submit(Entries::iterator it)
{
    Entry& entry = it->second;
    const TimePoint now = m_clock.now();
    if (!entry.delivered.empty()) {
        // The deadline bounds the first token; a stream that has begun is finished.
        entry.request.timeLeft.reset();
    } else if (entry.deadline) {
        if (*entry.deadline <= now) {
            giveUp(it, Reason::DeadlineExceeded, "the deadline passed before a scheduler took the request");
            return;
        }
        entry.request.timeLeft = *entry.deadline - now;
    }
    auto choice = m_chooser.choose(entry.request, m_membership, entry.excluded);
    if (!choice && !entry.excluded.empty()) {
        entry.excluded.clear();
        choice = m_chooser.choose(entry.request, m_membership, entry.excluded);
    }
    if (!choice) {
        if (++entry.retries > maxNoScheduler) {
            giveUp(it, Reason::NoScheduler, "no host schedules this target now");
            return;
        }
        entry.retryAt = now + noSchedulerPause;
        return;
    }
    entry.retryAt.reset();
    entry.submissions.push_back({ choice->scheduler, choice->group, SubmissionState::Open });
    entry.request.submission = static_cast<std::uint32_t>(entry.submissions.size());
    entry.request.generated = entry.delivered;
    entry.accepted = false;
    entry.unanswered = 0;
    entry.lastHeard = now;
    sendSubmit(entry);
}

void EntryTable::sendSubmit(Entry& entry)
{
    entry.lastSent = m_clock.now();
    const Submission& submission = entry.current();
    const auto received = static_cast<std::uint32_t>(entry.delivered.size() - entry.request.generated.size());
    m_outputs.push_back(
        { submission.scheduler, submission.group, Submit { submission.group, entry.request, received } });
}

void EntryTable::inquire(const RequestId& id, Entry& entry)
{
    if (!entry.accepted) {
        sendSubmit(entry);
        return;
    }
    entry.lastSent = m_clock.now();
    const auto received = static_cast<std::uint32_t>(entry.delivered.size() - entry.request.generated.size());
    m_outputs.push_back(
        { entry.current().scheduler, entry.current().group, Inquire { id, entry.request.submission, received } });
}

void EntryTable::submitAgain(Entries::iterator it)
{
    Entry& entry = it->second;
    if (entry.submissions.size() >= maxSubmissions) {
        giveUp(it, Reason::SchedulerLost, "too many schedulers failed or returned the request");
        return;
    }
    submit(it);
}

void EntryTable::schedulerLost(Entries::iterator it)
{
    Entry& entry = it->second;
    Submission& submission = entry.current();
    submission.state = SubmissionState::Lost;
    entry.excluded.insert(submission.scheduler);
    m_actions.push_back(Decision { it->first, Reason::SchedulerLost,
        fmt::format("scheduler={} submission={}", submission.scheduler.value(), entry.request.submission) });
    m_outputs.push_back(
        { submission.scheduler, submission.group, CancelRequest { it->first, entry.request.submission } });
    submitAgain(it);
}

Duration EntryTable::retryAfter(const Request& request)
{
    const Duration wait = std::max(m_chooser.shortestWait(request.target, request.rank, m_membership), minRetryAfter);
    // Up to 25% on top spreads the callers that come back.
    return wait + Duration(static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(wait.count() / 4 + 1))));
}

bool EntryTable::mayHaveRun(const Entry& entry) const
{
    return std::any_of(entry.submissions.begin(), entry.submissions.end(), [&](const Submission& submission) {
        if (m_fault == RouterFault::ForgetLostSubmission && submission.state == SubmissionState::Lost)
            return false;
        return submission.state != SubmissionState::NotRun;
    });
}

void EntryTable::giveUp(Entries::iterator it, Reason reason, std::string_view detail)
{
    Entry& entry = it->second;
    Result result;
    result.outcome = mayHaveRun(entry) ? Outcome::Unknown : Outcome::NotRun;
    result.reason = reason;
    result.detail = std::string(detail);
    result.generatedTokens = static_cast<std::uint32_t>(entry.delivered.size());
    switch (reason) {
    case Reason::OrganisationUnknown:
    case Reason::TargetUnknown:
    case Reason::IdempotencyKeyRequired:
        break;
    default:
        result.retryAfter = retryAfter(entry.request);
    }
    finish(it, std::move(result));
}

void EntryTable::finish(Entries::iterator it, Result result)
{
    m_actions.push_back(Decision { it->first, result.reason,
        fmt::format("outcome={} submissions={}", outcomeName(result.outcome), it->second.submissions.size()) });
    m_actions.push_back(Finish { it->first, std::move(result) });
    m_entries.erase(it);
}

void EntryTable::callerGone(RequestId request)
{
    const auto it = m_entries.find(request);
    if (it == m_entries.end())
        return;
    std::uint32_t number = 0;
    for (const Submission& submission : it->second.submissions) {
        ++number;
        if (submission.state == SubmissionState::Open)
            m_outputs.push_back({ submission.scheduler, submission.group, CancelRequest { request, number } });
    }
    m_entries.erase(it);
}

EntryTable::Submission* EntryTable::find(Entries::iterator it, const HostId& from, std::uint32_t submission)
{
    if (it == m_entries.end() || submission == 0 || submission > it->second.submissions.size()) {
        ++m_staleEvents;
        return nullptr;
    }
    Submission& found = it->second.submissions[submission - 1];
    if (found.scheduler != from) {
        ++m_staleEvents;
        return nullptr;
    }
    if (submission == it->second.submissions.size()) {
        it->second.lastHeard = m_clock.now();
        it->second.unanswered = 0;
    }
    return &found;
}

void EntryTable::onAccepted(const HostId& from, const Accepted& message)
{
    const auto it = m_entries.find(message.request);
    if (!find(it, from, message.submission))
        return;
    if (message.submission == it->second.submissions.size())
        it->second.accepted = true;
}

void EntryTable::onTokens(const HostId& from, const TokensDelivered& message)
{
    const auto it = m_entries.find(message.request);
    if (!find(it, from, message.submission))
        return;
    Entry& entry = it->second;
    const bool old = message.submission != entry.submissions.size();
    if (old && m_fault != RouterFault::AcceptOldSubmission) {
        ++m_staleEvents;
        return;
    }
    entry.accepted = true;
    if (message.position > entry.delivered.size() && m_fault != RouterFault::IgnoreGap) {
        // A message was lost; the scheduler sends again from the first missing token.
        inquire(it->first, entry);
        return;
    }
    const std::size_t known
        = entry.delivered.size() > message.position && !old ? entry.delivered.size() - message.position : 0;
    for (std::size_t i = known; i < message.tokens.size(); ++i) {
        const auto position = static_cast<std::uint32_t>(entry.delivered.size());
        entry.delivered.push_back(message.tokens[i]);
        m_actions.push_back(DeliverToken { it->first, position, message.tokens[i] });
    }
}

void EntryTable::onFinished(const HostId& from, const Finished& message)
{
    const auto it = m_entries.find(message.request);
    Submission* submission = find(it, from, message.submission);
    if (!submission)
        return;
    Entry& entry = it->second;
    const bool current = message.submission == entry.submissions.size();
    if (message.result.outcome == Outcome::Completed) {
        const bool model = entry.request.kind == TargetKind::Model;
        if (model && !message.result.replayed) {
            if (!current) {
                ++m_staleEvents;
                return;
            }
            if (message.result.generatedTokens > entry.delivered.size()) {
                inquire(it->first, entry);
                return;
            }
        }
        finish(it, message.result);
        return;
    }
    submission->state = message.result.outcome == Outcome::NotRun ? SubmissionState::NotRun : SubmissionState::Unknown;
    if (!current)
        return;
    Result result = message.result;
    if (mayHaveRun(entry))
        result.outcome = Outcome::Unknown;
    result.generatedTokens = static_cast<std::uint32_t>(entry.delivered.size());
    finish(it, std::move(result));
}

void EntryTable::onReturned(const HostId& from, const Returned& message)
{
    const auto it = m_entries.find(message.request);
    Submission* submission = find(it, from, message.submission);
    if (!submission || submission->state != SubmissionState::Open)
        return;
    submission->state = SubmissionState::NotRun;
    if (message.submission != it->second.submissions.size())
        return;
    it->second.excluded.insert(from);
    submitAgain(it);
}

void EntryTable::onMembersLost(const std::set<HostId>& lost)
{
    std::vector<RequestId> affected;
    for (const auto& [id, entry] : m_entries) {
        if (!entry.retryAt && !entry.submissions.empty() && lost.contains(entry.submissions.back().scheduler))
            affected.push_back(id);
    }
    for (const RequestId& id : affected)
        schedulerLost(m_entries.find(id));
}

void EntryTable::onNotKnown(const HostId& from, const NotKnown& message)
{
    const auto it = m_entries.find(message.request);
    const Submission* submission = find(it, from, message.submission);
    if (submission && message.submission == it->second.submissions.size() && submission->state == SubmissionState::Open)
        schedulerLost(it);
}

void EntryTable::tickEntry(Entries::iterator it, TimePoint now)
{
    Entry& entry = it->second;
    if (entry.deadline && entry.delivered.empty() && now >= *entry.deadline + deadlineGrace) {
        if (!entry.submissions.empty())
            m_outputs.push_back({ entry.current().scheduler, entry.current().group,
                CancelRequest { it->first, entry.request.submission } });
        giveUp(it, Reason::DeadlineExceeded, "no answer by the deadline");
        return;
    }
    if (entry.retryAt) {
        if (now < *entry.retryAt)
            return;
        submit(it);
        return;
    }
    const Duration limit = entry.accepted ? silenceTimeout : acceptTimeout;
    if (now - std::max(entry.lastHeard, entry.lastSent) < limit)
        return;
    if (entry.unanswered >= maxUnanswered) {
        schedulerLost(it);
        return;
    }
    ++entry.unanswered;
    inquire(it->first, entry);
}

void EntryTable::tick()
{
    const TimePoint now = m_clock.now();
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto next = std::next(it);
        tickEntry(it, now);
        it = next;
    }
}

std::vector<EntryOutput> EntryTable::takeOutputs() { return std::exchange(m_outputs, {}); }

std::vector<Action> EntryTable::takeActions() { return std::exchange(m_actions, {}); }

} // namespace fuchsialb::internal
