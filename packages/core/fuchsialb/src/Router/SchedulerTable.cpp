#include "SchedulerTable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fuchsialb::internal {

namespace {

    // An entry daemon asks again after a second of silence at most; ten times that also covers a paused one.
    constexpr Duration answerRetention = std::chrono::seconds(10);
    constexpr Duration sweepPeriod = std::chrono::seconds(1);

} // namespace

SchedulerTable::SchedulerTable(ClaimOptions claims, RouterFault fault, const Clock& clock, Random& random)
    : m_claimOptions(std::move(claims))
    , m_fault(fault)
    , m_clock(clock)
    , m_random(random)
{
}

void SchedulerTable::configure(std::shared_ptr<const Configuration> configuration)
{
    m_configuration = std::move(configuration);
    m_groupOfEndpoint.clear();
    for (const auto& [id, endpoint] : m_configuration->endpoints)
        m_groupOfEndpoint.emplace(id, endpoint.group);
    for (auto& [id, group] : m_groups)
        group->scheduler->configure(*m_configuration);
}

void SchedulerTable::own(const std::set<GroupId>& groups)
{
    for (auto it = m_groups.begin(); it != m_groups.end();) {
        if (groups.contains(it->first)) {
            ++it;
            continue;
        }
        retire(std::move(it->second), Reason::OwnershipMoved);
        it = m_groups.erase(it);
    }
    for (const GroupId& id : groups) {
        if (m_draining || m_groups.contains(id))
            continue;
        auto scheduler = GroupScheduler::create(id, *m_configuration, m_clock, m_random);
        if (!scheduler.ok())
            continue;
        auto group = std::make_unique<Group>();
        group->scheduler = std::move(*scheduler);
        m_groups.emplace(id, std::move(group));
    }
}

void SchedulerTable::retire(std::unique_ptr<Group> group, Reason reason)
{
    group->retired = true;
    group->scheduler->stopAccepting(reason);
    m_retired.push_back(std::move(group));
}

void SchedulerTable::drain()
{
    m_draining = true;
    for (auto& [id, group] : m_groups)
        retire(std::move(group), Reason::ShuttingDown);
    m_groups.clear();
}

void SchedulerTable::returnAtOnce(const HostId& entry, const Submit& submit, Reason reason)
{
    output(entry, Returned { submit.request.id, submit.request.submission, reason });
}

void SchedulerTable::submit(const HostId& entry, const Submit& submit)
{
    const EntryKey key { submit.request.id, submit.request.submission };
    if (const auto known = m_entries.find(key); known != m_entries.end()) {
        answerAgain(known->second, submit.received);
        return;
    }
    const auto group = m_groups.find(submit.group);
    if (group == m_groups.end()) {
        returnAtOnce(entry, submit, m_draining ? Reason::ShuttingDown : Reason::OwnershipMoved);
        return;
    }
    if (const Entry* earlier = latest(submit.request.id); earlier && answerFromEarlier(*earlier, entry, submit))
        return;
    Entry record;
    record.entry = entry;
    record.request = submit.request;
    record.group = group->second.get();
    m_entries.emplace(key, std::move(record));
    ++m_inProgress;
    output(entry, Accepted { submit.request.id, submit.request.submission });
    group->second->scheduler->submit(submit.request);
}

bool SchedulerTable::answerFromEarlier(const Entry& earlier, const HostId& entry, const Submit& submit)
{
    const Request& request = submit.request;
    const auto* finished = earlier.answer ? std::get_if<Finished>(&*earlier.answer) : nullptr;
    if (!finished) {
        // A returned submission was not run; one in progress must end first, since a scheduler tracks a request once.
        if (!earlier.answer)
            returnAtOnce(entry, submit, Reason::RequestInProgress);
        return !earlier.answer;
    }
    std::vector<std::string> tokens = earlier.request.generated;
    tokens.insert(tokens.end(), earlier.tokens.begin(), earlier.tokens.end());
    const std::vector<std::string>& known = request.generated;
    if (known.size() > tokens.size() || !std::equal(known.begin(), known.end(), tokens.begin())) {
        returnAtOnce(entry, submit, Reason::RequestInProgress);
        return true;
    }
    output(entry, Accepted { request.id, request.submission });
    tokens.erase(tokens.begin(), tokens.begin() + static_cast<std::ptrdiff_t>(known.size()));
    if (!tokens.empty())
        output(entry,
            TokensDelivered {
                request.id, request.submission, static_cast<std::uint32_t>(known.size()), std::move(tokens) });
    output(entry, Finished { request.id, request.submission, finished->result });
    return true;
}

void SchedulerTable::inquire(const HostId& entry, const Inquire& inquiry)
{
    const auto known = m_entries.find({ inquiry.request, inquiry.submission });
    if (known == m_entries.end())
        output(entry, NotKnown { inquiry.request, inquiry.submission });
    else
        answerAgain(known->second, inquiry.received);
}

void SchedulerTable::answerAgain(const Entry& entry, std::uint32_t received)
{
    const auto first = std::min<std::size_t>(received, entry.tokens.size());
    output(entry.entry, Accepted { entry.request.id, entry.request.submission });
    if (first < entry.tokens.size()) {
        std::vector<std::string> rest(entry.tokens.begin() + static_cast<std::ptrdiff_t>(first), entry.tokens.end());
        const auto position = static_cast<std::uint32_t>(entry.request.generated.size() + first);
        output(entry.entry, TokensDelivered { entry.request.id, entry.request.submission, position, std::move(rest) });
    }
    if (entry.answer)
        output(entry.entry, *entry.answer);
}

void SchedulerTable::cancel(const HostId& entry, const CancelRequest& cancel)
{
    const auto it = m_entries.find({ cancel.request, cancel.submission });
    if (it == m_entries.end() || it->second.answer || it->second.entry != entry)
        return;
    it->second.group->scheduler->cancel(cancel.request);
}

void SchedulerTable::entriesLost(const std::set<HostId>& lost)
{
    for (auto& [key, entry] : m_entries) {
        if (!entry.answer && lost.contains(entry.entry))
            entry.group->scheduler->cancel(key.first);
    }
}

SchedulerTable::Entry* SchedulerTable::latest(RequestId request)
{
    auto it = m_entries.upper_bound({ request, UINT32_MAX });
    if (it == m_entries.begin())
        return nullptr;
    --it;
    return it->first.first == request ? &it->second : nullptr;
}

GroupScheduler* SchedulerTable::schedulerOf(RequestId request)
{
    Entry* entry = latest(request);
    if (!entry || entry->answer) {
        ++m_staleEvents;
        return nullptr;
    }
    return entry->group->scheduler.get();
}

ClaimLog* SchedulerTable::claimLog(const TargetId& target)
{
    const auto known = m_claims.find(target);
    if (known != m_claims.end())
        return known->second.get();
    const auto it = m_configuration->targets.find(target);
    if (it == m_configuration->targets.end())
        return nullptr;
    ClaimOptions options = m_claimOptions;
    options.retention = m_configuration->claimRetention;
    auto log = ClaimLog::create(target, it->second.claimShards, std::move(options), m_clock);
    if (!log.ok())
        return nullptr;
    return m_claims.emplace(target, std::move(*log)).first->second.get();
}

void SchedulerTable::onToken(const TokenReceived& event)
{
    if (GroupScheduler* scheduler = schedulerOf(event.request))
        scheduler->onToken(event.request, event.attempt, event.epoch, event.position, event.text);
}

void SchedulerTable::onRunFinished(const RunFinished& event)
{
    if (GroupScheduler* scheduler = schedulerOf(event.request))
        scheduler->onRunFinished(event.request, event.attempt, event.epoch, event.finishReason);
}

void SchedulerTable::onRunFailed(const RunFailed& event)
{
    if (GroupScheduler* scheduler = schedulerOf(event.request))
        scheduler->onRunFailed(event.request, event.attempt, event.epoch, event.stage, event.proof, event.reason);
}

void SchedulerTable::onStateMoved(const StateMoved& event)
{
    if (GroupScheduler* scheduler = schedulerOf(event.request))
        scheduler->onStateMoved(event.request, event.attempt, event.epoch, event.succeeded);
}

void SchedulerTable::onServiceReplied(const ServiceReplied& event)
{
    if (GroupScheduler* scheduler = schedulerOf(event.request))
        scheduler->onServiceReply(event.request, event.attempt, event.httpStatus, event.contentType, event.body);
}

void SchedulerTable::onServiceFailed(const ServiceFailed& event)
{
    const FailureProof proof = m_fault == RouterFault::TrustEveryFailure ? FailureProof::NotStarted : event.proof;
    if (GroupScheduler* scheduler = schedulerOf(event.request))
        scheduler->onServiceFailed(event.request, event.attempt, proof, event.reason);
}

void SchedulerTable::onLoadReport(const LoadReport& report)
{
    const auto group = m_groupOfEndpoint.find(report.endpoint);
    if (group == m_groupOfEndpoint.end())
        return;
    if (const auto owned = m_groups.find(group->second); owned != m_groups.end())
        owned->second->scheduler->onLoadReport(report);
}

void SchedulerTable::onCacheChanged(const CacheChanged& event)
{
    const auto group = m_groupOfEndpoint.find(event.endpoint);
    if (group == m_groupOfEndpoint.end())
        return;
    if (const auto owned = m_groups.find(group->second); owned != m_groups.end())
        owned->second->scheduler->onCacheEvent(event.endpoint, event.prefixHash, event.held);
}

void SchedulerTable::onStoreAnswer(const TargetId& target, const StoreAnswer& answer)
{
    if (const auto log = m_claims.find(target); log != m_claims.end())
        log->second->onAnswer(answer);
}

void SchedulerTable::tick()
{
    for (auto& [id, group] : m_groups)
        group->scheduler->tick();
    for (auto& group : m_retired)
        group->scheduler->tick();
    for (auto& [id, log] : m_claims)
        log->tick();
    const TimePoint now = m_clock.now();
    if (now - m_lastSweep < sweepPeriod)
        return;
    m_lastSweep = now;
    std::erase_if(m_entries,
        [&](const auto& item) { return item.second.answer && now - item.second.answered >= answerRetention; });
    // Entries point into their group, so a retired group goes only after the last of them.
    std::erase_if(m_retired, [&](const std::unique_ptr<Group>& group) {
        const auto uses = [&](const auto& item) { return item.second.group == group.get(); };
        return group->scheduler->idle() && std::none_of(m_entries.begin(), m_entries.end(), uses);
    });
}

std::vector<GroupLoad> SchedulerTable::loads() const
{
    std::vector<GroupLoad> loads;
    loads.reserve(m_groups.size());
    for (const auto& [id, group] : m_groups)
        loads.push_back(group->scheduler->load());
    return loads;
}

std::vector<PollEndpoints::Entry> SchedulerTable::polled() const
{
    std::vector<PollEndpoints::Entry> entries;
    if (!m_configuration)
        return entries;
    for (const auto& [id, endpoint] : m_configuration->endpoints) {
        if (!m_groups.contains(endpoint.group))
            continue;
        const auto target = m_configuration->targets.find(endpoint.target);
        if (target != m_configuration->targets.end())
            entries.push_back({ id, target->second.kind, endpoint.address });
    }
    return entries;
}

std::size_t SchedulerTable::requestsInProgress() const { return m_inProgress; }

bool SchedulerTable::idle() const
{
    const auto logIdle = [](const auto& item) { return item.second->idle(); };
    return m_inProgress == 0 && std::all_of(m_claims.begin(), m_claims.end(), logIdle);
}

void SchedulerTable::settle()
{
    bool moved = true;
    while (moved) {
        moved = false;
        const auto take = [&](Group& group) {
            for (Effect& effect : group.scheduler->takeEffects()) {
                moved = true;
                std::visit([this](auto&& value) { apply(std::forward<decltype(value)>(value)); }, std::move(effect));
            }
        };
        for (auto& [id, group] : m_groups)
            take(*group);
        for (auto& group : m_retired)
            take(*group);
        for (auto& [id, log] : m_claims) {
            for (const ClaimAnswered& answered : log->takeAnswered()) {
                moved = true;
                if (answered.result.verdict != ClaimVerdict::Granted)
                    m_claimKeys.erase(answered.attempt);
                if (GroupScheduler* scheduler = schedulerOf(answered.request))
                    scheduler->onClaim(answered.request, answered.attempt, answered.result);
                else if (answered.result.verdict == ClaimVerdict::Granted)
                    apply(ClaimSettled { answered.request, answered.attempt, Outcome::NotRun, 0 });
            }
        }
    }
}

void SchedulerTable::apply(ClaimNeeded effect)
{
    Entry* entry = latest(effect.request);
    assert(entry);
    const Request& request = entry->request;
    if (m_fault == RouterFault::SkipClaim) {
        entry->group->scheduler->onClaim(effect.request, effect.attempt, { ClaimVerdict::Granted, 0 });
        return;
    }
    ClaimLog* log = claimLog(request.target);
    if (!log) {
        entry->group->scheduler->onClaim(effect.request, effect.attempt, { ClaimVerdict::Unavailable, 0 });
        return;
    }
    const ClaimKey key = claimKey(request.organisation, request.target, request.idempotencyKey);
    m_claimKeys.emplace(effect.attempt, std::pair(request.target, key));
    log->claim(effect.request, effect.attempt, key, request.bodyDigest);
}

void SchedulerTable::apply(ClaimSettled effect)
{
    auto node = m_claimKeys.extract(effect.attempt);
    if (node.empty())
        return;
    const auto& [target, key] = node.mapped();
    if (m_fault == RouterFault::ReleaseUnknown && effect.outcome == Outcome::Unknown)
        effect.outcome = Outcome::NotRun;
    if (ClaimLog* log = claimLog(target))
        log->settle(effect.attempt, key, effect.outcome, effect.httpStatus);
}

void SchedulerTable::apply(CallService effect)
{
    const Entry* entry = latest(effect.request);
    assert(entry);
    const Request& request = entry->request;
    m_actions.push_back(ServiceCall { std::move(effect), request.method, request.path, request.contentType,
        request.body, request.idempotencyKey, request.traceParent });
}

void SchedulerTable::apply(DeliverToken effect)
{
    Entry* entry = latest(effect.request);
    if (!entry || entry->answer)
        return;
    entry->tokens.push_back(effect.text);
    output(entry->entry,
        TokensDelivered { effect.request, entry->request.submission, effect.position, { std::move(effect.text) } });
}

void SchedulerTable::finishEntry(RequestId request, PeerMessage answer)
{
    Entry* entry = latest(request);
    if (!entry || entry->answer)
        return;
    entry->answer = answer;
    entry->answered = m_clock.now();
    // The body of the request is no longer needed to answer again.
    entry->request.body.clear();
    entry->request.prompt.clear();
    --m_inProgress;
    output(entry->entry, std::move(answer));
}

void SchedulerTable::apply(Finish effect)
{
    if (const Entry* entry = latest(effect.request))
        finishEntry(effect.request, Finished { effect.request, entry->request.submission, std::move(effect.result) });
}

void SchedulerTable::apply(ReturnRequest effect)
{
    if (const Entry* entry = latest(effect.request))
        finishEntry(effect.request, Returned { effect.request, entry->request.submission, effect.reason });
}

std::vector<SchedulerOutput> SchedulerTable::takeOutputs() { return std::exchange(m_outputs, {}); }

std::vector<Action> SchedulerTable::takeActions() { return std::exchange(m_actions, {}); }

std::vector<std::pair<TargetId, StoreOperation>> SchedulerTable::takeStoreOperations()
{
    std::vector<std::pair<TargetId, StoreOperation>> operations;
    for (auto& [target, log] : m_claims) {
        for (StoreOperation& operation : log->takeOperations())
            operations.emplace_back(target, std::move(operation));
    }
    return operations;
}

} // namespace fuchsialb::internal
