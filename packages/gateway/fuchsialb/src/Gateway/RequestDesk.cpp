#include "RequestDesk.h"

#include "PlainCall.h"
#include "StreamCall.h"

namespace fuchsialb {

namespace {

    // A caller that comes back has at least this much less time than its route gives at most.
    constexpr Duration returningGap = std::chrono::milliseconds(400);
    // Wait before a caller tries again when only this host can't serve it: its next attempt reaches another one.
    constexpr Duration unknownReturn = std::chrono::milliseconds(100);
    // Requests on kept connections that arrive later than this after the signal to stop might not end in time.
    constexpr Duration takenWhileStopping = std::chrono::milliseconds(2500);
    constexpr double durationSmoothing = 0.05;

} // namespace

RequestDesk::RequestDesk(GatewayContext& context)
    : m_context(context)
{
}

void RequestDesk::refuse(HttpReply& reply, OwnAnswer answer, std::string_view requestId, std::string_view cause,
    std::optional<Duration> retryAfter)
{
    if (m_context.stopping)
        reply.closeConnection();
    reply.send(m_context.translator.ownAnswer(answer, retryAfter));
    LogLine line("request-refused");
    line.add("request", requestId).add("cause", cause);
    line.add("configuration", static_cast<std::int64_t>(m_context.configuration.version().value()));
    m_context.log.log(line);
    m_context.metrics.count("refusals", "cause", cause);
}

void RequestDesk::handle(ServerRequest request, const std::shared_ptr<HttpReply>& reply)
{
    auto decoded = m_context.translator.callerRequest(std::move(request));
    if (!decoded.ok()) {
        refuse(*reply, OwnAnswer::Malformed, "", reasonName(reasonOf(decoded.status())));
        return;
    }
    MatchedRequest matched;
    matched.request = *std::move(decoded);
    const std::string id = matched.request.id;
    matched.receivedAt = m_context.now();
    matched.table = m_context.configuration.table();
    if (!matched.table) {
        refuse(*reply, OwnAnswer::NotRun, id, "configuration-unknown", unknownReturn);
        return;
    }
    matched.route = matched.table->match(matched.request.host, matched.request.path);
    if (!matched.route) {
        refuse(*reply, OwnAnswer::NoRoute, id, "no-route");
        return;
    }
    if (m_context.stopping && matched.receivedAt - m_context.stoppingSince >= takenWhileStopping) {
        refuse(*reply, OwnAnswer::NotRun, id, "stopping", unknownReturn);
        return;
    }
    if (const auto denied = identify(matched)) {
        refuse(*reply, *denied, id, *denied == OwnAnswer::UnknownKey ? "unknown-key" : "keys-not-proven",
            *denied == OwnAnswer::NotRun ? std::optional(unknownReturn) : std::nullopt);
        return;
    }
    matched.service = chooseService(*matched.table, *matched.route);
    if (!matched.service) {
        refuse(*reply, OwnAnswer::NotRun, id, "no-service", unknownReturn);
        return;
    }
    Duration left = matched.route->timeout;
    if (matched.request.patience) {
        left = std::min(left, *matched.request.patience);
        matched.returning = *matched.request.patience + returningGap < matched.route->timeout;
    }
    matched.deadline = matched.receivedAt + left;
    m_context.repeats.recordRequest(matched.receivedAt);
    std::shared_ptr<Call> call;
    if (matched.service->engine || matched.route->kind == RouteKind::Stream)
        call = std::make_shared<StreamCall>(m_context, std::move(matched), reply, m_meanDuration,
            [this](const EndpointId& runner) { runnerLost(runner); });
    else
        call = std::make_shared<PlainCall>(m_context, std::move(matched), reply);
    add(call);
    call->start();
}

std::optional<OwnAnswer> RequestDesk::identify(MatchedRequest& matched) const
{
    matched.urgency = matched.route->urgency;
    if (!matched.table->requiresKeys || matched.route->isPublic)
        return std::nullopt;
    if (!m_context.configuration.keysTrusted(bootTime()))
        return OwnAnswer::NotRun;
    const auto found = matched.request.apiKey ? matched.table->organisations.find(*matched.request.apiKey)
                                              : matched.table->organisations.end();
    if (found == matched.table->organisations.end())
        return OwnAnswer::UnknownKey;
    matched.organisation = found->second.name;
    matched.urgency = found->second.urgency.value_or(matched.urgency);
    return std::nullopt;
}

const ServiceProfile* RequestDesk::chooseService(const RoutingTable& table, const Route& route)
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

void RequestDesk::add(const std::shared_ptr<Call>& call)
{
    call->setKey(++m_lastKey);
    call->setOnOver([this](Call& ended) { over(ended); });
    m_open.emplace(call->key(), call);
}

void RequestDesk::over(Call& call)
{
    if (const auto* stream = dynamic_cast<const StreamCall*>(&call); stream && stream->servedDuration())
        m_meanDuration += Duration(static_cast<Duration::rep>(
            durationSmoothing * static_cast<double>((*stream->servedDuration() - m_meanDuration).count())));
    m_open.erase(call.key());
}

void RequestDesk::runnerLost(const EndpointId& runner)
{
    for (const auto& call : calls())
        call->runnerLost(runner);
}

void RequestDesk::runnerLeaving(const EndpointId& runner)
{
    for (const auto& call : calls())
        call->runnerLeaving(runner);
}

std::vector<std::shared_ptr<Call>> RequestDesk::calls() const
{
    std::vector<std::shared_ptr<Call>> list;
    list.reserve(m_open.size());
    for (const auto& [key, call] : m_open)
        list.push_back(call);
    return list;
}

void RequestDesk::tick()
{
    const TimePoint now = m_context.now();
    for (const auto& call : calls())
        call->tick(now);
    admitWaiting();
    for (const AdmissionQueue::Key key : m_context.waiting.takeExpired(now)) {
        if (const auto found = m_open.find(key); found != m_open.end()) {
            const auto call = found->second;
            call->waitedTooLong();
        }
    }
}

void RequestDesk::admitWaiting()
{
    // A request without room blocks those of a lower urgency, which would take the room it waits for.
    constexpr std::size_t mostTries = 8;
    std::size_t tries = 0;
    for (const AdmissionQueue::Key key : m_context.waiting.order()) {
        const auto found = m_open.find(key);
        if (found == m_open.end()) {
            m_context.waiting.remove(key);
            continue;
        }
        const auto call = found->second;
        if (!call->admit() && ++tries >= mostTries)
            return;
    }
}

} // namespace fuchsialb
