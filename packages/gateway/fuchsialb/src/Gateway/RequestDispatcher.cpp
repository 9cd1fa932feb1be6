#include "RequestDispatcher.h"

#include "StreamCall.h"
#include "UnaryCall.h"

namespace fuchsialb {

namespace {

    // A request counts as a retry if its caller waits for less than the timeout of the route by more than this.
    constexpr Duration retryTimeGap = std::chrono::milliseconds(400);
    // Short, since only this host can't serve the request and the next attempt of the caller reaches another one.
    constexpr Duration otherHostRetryAfter = std::chrono::milliseconds(100);
    constexpr double durationSmoothing = 0.05;

    bool isStream(const MatchedRequest& matched)
    {
        return matched.service->engine || matched.route->kind == RouteKind::Stream;
    }

} // namespace

RequestDispatcher::RequestDispatcher(GatewayContext& context)
    : m_context(context)
    , m_crashWatch(context)
    , m_silenceWatch(context, [this](const EndpointId& runner) { runnerLost(runner); })
{
}

HttpResponse RequestDispatcher::refusalResponse(const Refusal& refusal, std::string_view requestId)
{
    LogLine line("request-refused");
    line.add("request", requestId).add("cause", refusal.cause);
    line.add("configuration", static_cast<std::int64_t>(m_context.configuration.version().value()));
    m_context.log.log(line);
    m_context.metrics.count("refusals", "cause", refusal.cause);
    return m_context.translator.errorResponse(refusal.error, refusal.retryAfter);
}

void RequestDispatcher::refuse(HttpReply& reply, GatewayError error, std::string_view requestId, std::string_view cause,
    std::optional<Duration> retryAfter)
{
    if (m_context.stopping)
        reply.closeConnection();
    reply.send(refusalResponse({ error, cause, retryAfter }, requestId));
}

std::optional<HttpResponse> RequestDispatcher::judge(const ServerRequest& head)
{
    MatchedRequest matched;
    const auto refusal = match(head, matched);
    return refusal ? std::optional(refusalResponse(*refusal, matched.request.id)) : std::nullopt;
}

std::optional<RequestDispatcher::Refusal> RequestDispatcher::match(ServerRequest request, MatchedRequest& matched) const
{
    auto decoded = m_context.translator.callerRequest(std::move(request));
    if (!decoded.ok())
        return Refusal { GatewayError::Malformed, reasonName(reasonOf(decoded.status())) };
    matched.request = *std::move(decoded);
    matched.receivedAt = m_context.now();
    matched.table = m_context.configuration.table();
    if (!matched.table)
        return Refusal { GatewayError::NotRun, "configuration-unknown", otherHostRetryAfter };
    matched.route = matched.table->match(matched.request.host, matched.request.path);
    if (!matched.route)
        return Refusal { GatewayError::NoRoute, "no-route" };
    const auto denial = authenticate(matched);
    if (denial == GatewayError::UnknownKey)
        return Refusal { *denial, "unknown-key" };
    if (denial)
        return Refusal { *denial, "keys-not-proven", otherHostRetryAfter };
    return std::nullopt;
}

void RequestDispatcher::handle(ServerRequest request, const std::shared_ptr<HttpReply>& reply)
{
    MatchedRequest matched;
    const auto refusal = match(std::move(request), matched);
    const std::string id = matched.request.id;
    if (refusal) {
        refuse(*reply, refusal->error, id, refusal->cause, refusal->retryAfter);
        return;
    }
    matched.service = chooseService(*matched.table, *matched.route);
    if (!matched.service) {
        refuse(*reply, GatewayError::NotRun, id, "no-service", otherHostRetryAfter);
        return;
    }
    Duration timeLimit = matched.route->timeout;
    if (matched.request.timeout) {
        timeLimit = std::min(timeLimit, *matched.request.timeout);
        matched.isRetry = *matched.request.timeout + retryTimeGap < matched.route->timeout;
    }
    matched.deadline = matched.receivedAt + timeLimit;
    if (m_context.stopping && !acceptsWhileStopping(matched)) {
        refuse(*reply, GatewayError::NotRun, id, "stopping", otherHostRetryAfter);
        return;
    }
    bool isTrial = false;
    if (refuseQuarantined(matched, *reply, isTrial))
        return;
    m_context.retryBudget.recordRequest(matched.service->name, matched.receivedAt);
    std::shared_ptr<Call> call;
    if (isStream(matched)) {
        StreamCall::Owner owner { m_meanDuration, m_crashWatch, m_eventIntervals[matched.service->name],
            [this](const EndpointId& runner) { runnerLost(runner); } };
        call = std::make_shared<StreamCall>(m_context, std::move(matched), reply, std::move(owner), isTrial);
    } else {
        call = std::make_shared<UnaryCall>(m_context, std::move(matched), reply);
    }
    add(call);
    call->start();
}

bool RequestDispatcher::acceptsWhileStopping(const MatchedRequest& matched) const
{
    const Duration timeLimit = matched.deadline - matched.receivedAt;
    const auto durations = m_durations.find(matched.service->name);
    const bool isKnown = isStream(matched) && durations != m_durations.end();
    const Duration longest = isKnown ? durations->second.longest().value_or(timeLimit) : timeLimit;
    return ShutdownSchedule(m_context.settings.stopGrace)
        .accepts(matched.receivedAt - m_context.stoppingSince, std::min(timeLimit, longest));
}

void RequestDispatcher::endForShutdown()
{
    for (const auto& call : openCalls())
        call->endForShutdown();
}

bool RequestDispatcher::refuseQuarantined(const MatchedRequest& matched, HttpReply& reply, bool& isTrial)
{
    CrashEvidence& evidence = m_context.crashEvidence;
    const TargetId& service = matched.service->name;
    const CrashEvidence::Quarantine* quarantine = evidence.quarantine(service, matched.request.sharedParts);
    if (!quarantine)
        return false;
    const TimePoint now = matched.receivedAt;
    const PromptPartId part = quarantine->part;
    const Duration untilTrial = std::max<Duration>(quarantine->trialAt - now, otherHostRetryAfter);
    isTrial = m_context.hosts.leadsFleet(now) && evidence.beginTrial(service, part, now);
    LogLine line(isTrial ? "quarantine-trial" : "quarantine-applied");
    m_context.log.log(line.add("request", matched.request.id).add("part", part.text()));
    if (!isTrial)
        refuse(reply, GatewayError::NotRun, matched.request.id, "prompt-quarantined", untilTrial);
    return !isTrial;
}

std::optional<GatewayError> RequestDispatcher::authenticate(MatchedRequest& matched) const
{
    matched.urgency = matched.route->urgency;
    if (!matched.table->requiresKeys || matched.route->isPublic)
        return std::nullopt;
    if (!m_context.configuration.keysTrusted(bootTime()))
        return GatewayError::NotRun;
    const auto found = matched.request.apiKey ? matched.table->organisations.find(*matched.request.apiKey)
                                              : matched.table->organisations.end();
    if (found == matched.table->organisations.end())
        return GatewayError::UnknownKey;
    matched.organisation = found->second.name;
    matched.urgency = found->second.urgency.value_or(matched.urgency);
    return std::nullopt;
}

const ServiceProfile* RequestDispatcher::chooseService(const RoutingTable& table, const Route& route)
{
    double total = 0;
    for (const RouteTarget& target : route.targets)
        total += target.weight;
    double draw = m_context.random.unit() * total;
    for (const RouteTarget& target : route.targets) {
        draw -= target.weight;
        if (draw < 0)
            return table.service(target.service);
    }
    return route.targets.empty() ? nullptr : table.service(route.targets.back().service);
}

void RequestDispatcher::add(const std::shared_ptr<Call>& call)
{
    call->setKey(++m_lastKey);
    call->setOnFinished([this](Call& ended) { handleFinished(ended); });
    m_openCalls.emplace(call->key(), call);
}

void RequestDispatcher::handleFinished(Call& call)
{
    if (const auto* stream = dynamic_cast<const StreamCall*>(&call); stream && stream->servedDuration()) {
        const Duration duration = *stream->servedDuration();
        m_meanDuration += Duration(
            static_cast<Duration::rep>(durationSmoothing * static_cast<double>((duration - m_meanDuration).count())));
        m_durations[call.matched().service->name].record(duration);
    }
    m_openCalls.erase(call.key());
}

void RequestDispatcher::runnerLost(const EndpointId& runner)
{
    for (const auto& call : openCalls())
        call->runnerLost(runner);
}

void RequestDispatcher::runnerLeaving(const EndpointId& runner)
{
    for (const auto& call : openCalls())
        call->runnerLeaving(runner);
}

std::vector<std::shared_ptr<Call>> RequestDispatcher::openCalls() const
{
    std::vector<std::shared_ptr<Call>> list;
    list.reserve(m_openCalls.size());
    for (const auto& [key, call] : m_openCalls)
        list.push_back(call);
    return list;
}

void RequestDispatcher::tick()
{
    const TimePoint now = m_context.now();
    if (const auto gap = m_context.hostPause.tick(now))
        reportHostPause(*gap, now);
    m_crashWatch.tick(now);
    for (const auto& call : openCalls())
        call->tick(now);
    admitQueued();
    for (const AdmissionQueue::Key key : m_context.admissionQueue.takeExpired(now)) {
        if (const auto found = m_openCalls.find(key); found != m_openCalls.end()) {
            const auto call = found->second;
            call->queueTimedOut();
        }
    }
}

void RequestDispatcher::checkSilence() { m_silenceWatch.check(openCalls(), m_context.now()); }

void RequestDispatcher::reportHostPause(Duration gap, TimePoint now)
{
    const auto calls = openCalls();
    LogLine line("host-held-up");
    line.add("gap_ms", std::chrono::duration_cast<std::chrono::milliseconds>(gap).count());
    line.add("open_requests", static_cast<std::int64_t>(calls.size()));
    m_context.log.log(line);
    m_context.metrics.observe("host_pause", gap);
    for (const auto& call : calls)
        call->hostHeldUp(now);
}

void RequestDispatcher::admitQueued()
{
    // Stop after several requests without capacity: less urgent ones would take the capacity that these wait for.
    constexpr std::size_t maxAdmissionFailures = 8;
    std::size_t failures = 0;
    for (const AdmissionQueue::Key key : m_context.admissionQueue.order()) {
        const auto found = m_openCalls.find(key);
        if (found == m_openCalls.end()) {
            m_context.admissionQueue.remove(key);
            continue;
        }
        const auto call = found->second;
        if (!call->admit() && ++failures >= maxAdmissionFailures)
            return;
    }
}

} // namespace fuchsialb
