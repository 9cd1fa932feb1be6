#include "SchedDriver.h"

#include <fmt/format.h>

namespace fuchsialb::test {

namespace {

    std::string name(const char* prefix, std::uint32_t number) { return fmt::format("{}{}", prefix, number); }

    Configuration base(TargetKind kind)
    {
        Configuration configuration;
        Target target;
        target.id = TargetId("t");
        target.kind = kind;
        target.layers = kind == TargetKind::Model ? 8 : 0;
        configuration.targets[target.id] = target;
        const AcceleratorKind accelerator { AcceleratorKindId("k"), 5ms, 50us, 10us };
        configuration.acceleratorKinds[accelerator.id] = accelerator;
        const LinkClass link { LinkClassId("l"), 100us, BytesPerSecond(1e9) };
        configuration.linkClasses[link.id] = link;
        configuration.ranks[Rank::Urgent] = { 0.5, 1s, 60ms, 2s };
        configuration.ranks[Rank::Recording] = { 0.3, 0s, 0s, 20s };
        configuration.ranks[Rank::Summary] = { 0.2, 0s, 0s, 60s };
        return configuration;
    }

    Endpoint endpoint(const std::string& id, LayerRange layers, std::uint32_t concurrency)
    {
        Endpoint result;
        result.id = EndpointId(id);
        result.group = GroupId("g");
        result.target = TargetId("t");
        result.address = "127.0.0.1:1";
        result.layers = layers;
        result.acceleratorKind = AcceleratorKindId("k");
        result.link = LinkClassId("l");
        result.maxConcurrency = concurrency;
        return result;
    }

    void add(Configuration& configuration, Endpoint added) { configuration.endpoints[added.id] = std::move(added); }

} // namespace

Configuration schedModel(std::uint32_t replicas, std::uint32_t concurrency)
{
    Configuration configuration = base(TargetKind::Model);
    for (std::uint32_t i = 0; i < replicas; ++i) {
        add(configuration, endpoint(name("a", i), { 0, 4 }, concurrency));
        add(configuration, endpoint(name("b", i), { 4, 8 }, concurrency));
    }
    return configuration;
}

Configuration schedService(std::uint32_t endpoints, std::uint32_t concurrency, bool deduplicates)
{
    Configuration configuration = base(TargetKind::Service);
    for (std::uint32_t i = 0; i < endpoints; ++i) {
        Endpoint added = endpoint(name("s", i), {}, concurrency);
        added.deduplicates = deduplicates;
        add(configuration, added);
    }
    return configuration;
}

Request schedRequest(std::uint64_t number, Rank rank, std::uint32_t maxTokens, const std::string& organisation)
{
    Request request;
    request.id = SchedDriver::id(number);
    request.organisation = OrganisationId(organisation);
    request.rank = rank;
    request.target = TargetId("t");
    request.prompt = fmt::format("prompt {} {}", number, std::string(500, 'x'));
    request.promptTokens = 100;
    request.maxTokens = maxTokens;
    return request;
}

Request schedCall(std::uint64_t number, bool idempotent, Rank rank)
{
    Request request;
    request.id = SchedDriver::id(number);
    request.organisation = OrganisationId("o");
    request.rank = rank;
    request.kind = TargetKind::Service;
    request.target = TargetId("t");
    request.idempotent = idempotent;
    request.idempotencyKey = idempotent ? "" : fmt::format("key-{}", number);
    return request;
}

SchedDriver::SchedDriver(const Configuration& configuration, std::uint64_t seed)
    : random(seed)
{
    clock.advance(1h);
    auto created = GroupScheduler::create(GroupId("g"), configuration, clock, random);
    if (!created.ok())
        throw std::runtime_error(created.status().ToString());
    scheduler = std::move(*created);
}

void SchedDriver::submit(const Request& request)
{
    m_requests[request.id] = request;
    m_closed.erase(request.id);
    scheduler->submit(request);
    pump();
}

void SchedDriver::at(Duration delay, std::function<void()> action)
{
    m_events.emplace(clock.now() + delay, std::move(action));
}

void SchedDriver::advance(Duration by)
{
    const TimePoint end = clock.now() + by;
    while (clock.now() < end) {
        const TimePoint next = std::min(end, clock.now() + 10ms);
        while (!m_events.empty() && m_events.begin()->first <= next) {
            const auto event = m_events.extract(m_events.begin());
            clock.set(std::max(clock.now(), event.key()));
            event.mapped()();
            pump();
        }
        clock.set(next);
        scheduler->tick();
        pump();
    }
}

void SchedDriver::pump()
{
    if (m_pumping)
        return;
    m_pumping = true;
    for (auto taken = scheduler->takeEffects(); !taken.empty(); taken = scheduler->takeEffects()) {
        for (const Effect& effect : taken) {
            effects.push_back(effect);
            record(effect);
            handle(effect);
        }
    }
    m_pumping = false;
}

void SchedDriver::kill(const std::string& endpoint)
{
    dead.insert(endpoint);
    const auto runs = m_runs;
    for (const auto& [request, run] : runs) {
        for (std::uint32_t stage = 0; stage < run.route.size(); ++stage) {
            if (run.route[stage].endpoint.value() != endpoint || m_runs[request].epoch != run.epoch)
                continue;
            m_runs.erase(request);
            scheduler->onRunFailed(
                request, run.attempt, run.epoch, stage, FailureProof::MayHaveRun, Reason::ConnectionLost);
            break;
        }
    }
    pump();
}

void SchedDriver::handle(const Effect& effect)
{
    if (const auto* claim = std::get_if<ClaimNeeded>(&effect)) {
        if (plays)
            at(5ms, [this, claim = *claim] { scheduler->onClaim(claim.request, claim.attempt, verdict); });
    } else if (const auto* start = std::get_if<StartRun>(&effect)) {
        m_runs[start->request] = *start;
        if (plays)
            play(*start);
    } else if (const auto* call = std::get_if<CallService>(&effect)) {
        if (plays)
            play(*call);
    } else if (const auto* cancel = std::get_if<CancelRun>(&effect)) {
        const auto run = m_runs.find(cancel->request);
        if (run != m_runs.end() && run->second.epoch <= cancel->epoch)
            m_runs.erase(run);
    } else if (const auto* move = std::get_if<ImportState>(&effect)) {
        if (plays)
            at(10ms, [this, m = *move] { scheduler->onStateMoved(m.request, m.attempt, m.epoch, stateMoves); });
    } else if (const auto* replay = std::get_if<ReplayState>(&effect)) {
        if (plays)
            at(10ms, [this, m = *replay] { scheduler->onStateMoved(m.request, m.attempt, m.epoch, stateMoves); });
    }
}

void SchedDriver::play(const StartRun& start)
{
    for (std::uint32_t stage = 0; stage < start.route.size(); ++stage) {
        const std::string& endpoint = start.route[stage].endpoint.value();
        if (silent.contains(endpoint))
            return;
        if (!dead.contains(endpoint))
            continue;
        at(1ms, [this, start, stage] {
            scheduler->onRunFailed(start.request, start.attempt, start.epoch, stage, deadProof, Reason::ConnectFailed);
        });
        return;
    }
    nextToken(start, static_cast<std::uint32_t>(start.generated.size()));
}

void SchedDriver::nextToken(const StartRun& start, std::uint32_t position)
{
    at(tokenInterval, [this, start, position] {
        const auto run = m_runs.find(start.request);
        if (run == m_runs.end() || run->second.epoch != start.epoch)
            return;
        const auto early = earlyStops.find(m_requests[start.request].organisation);
        const bool stops = early != earlyStops.end() && position >= early->second;
        if (stops || position >= start.maxTokens) {
            m_runs.erase(run);
            scheduler->onRunFinished(start.request, start.attempt, start.epoch, "length");
            return;
        }
        scheduler->onToken(start.request, start.attempt, start.epoch, position, fmt::format("t{}", position));
        nextToken(start, position + 1);
    });
}

void SchedDriver::play(const CallService& call)
{
    if (silent.contains(call.endpoint.value()))
        return;
    if (dead.contains(call.endpoint.value())) {
        at(1ms,
            [this, call] { scheduler->onServiceFailed(call.request, call.attempt, deadProof, Reason::ConnectFailed); });
        return;
    }
    at(callTime, [this, call] { scheduler->onServiceReply(call.request, call.attempt, 200, "text/plain", "body"); });
}

void SchedDriver::record(const Effect& effect)
{
    trace += fmt::format("{} {}", clock.now().time_since_epoch().count(), effect.index());
    std::visit([this](const auto& each) { trace += toHex(each.request.value()); }, effect);
    RequestId closed;
    if (const auto* token = std::get_if<DeliverToken>(&effect)) {
        auto& tokens = delivered[token->request];
        if (token->position != tokens.size() || m_closed.contains(token->request))
            faults.push_back(fmt::format("token {} after {} tokens", token->position, tokens.size()));
        tokens.push_back(token->text);
        firstToken.emplace(token->request, clock.now());
        tokensOf[m_requests[token->request].rank] += 1;
        tokensOfOrganisation[m_requests[token->request].organisation.value()] += 1;
        trace += token->text;
    } else if (const auto* finish = std::get_if<Finish>(&effect)) {
        closed = finish->request;
        results[closed] = finish->result;
        trace += fmt::format("{} {} {}", outcomeName(finish->result.outcome), reasonName(finish->result.reason),
            finish->result.retryAfter.value_or(0us).count());
    } else if (const auto* returned = std::get_if<ReturnRequest>(&effect)) {
        closed = returned->request;
    } else if (const auto* start = std::get_if<StartRun>(&effect)) {
        trace += start->route.front().endpoint.value() + start->route.back().endpoint.value()
            + toHex(start->attempt.value());
    } else if (const auto* decision = std::get_if<Decision>(&effect)) {
        trace += fmt::format("{} {}", reasonName(decision->reason), decision->detail);
    }
    trace += "\n";
    if (closed != RequestId() && !m_closed.insert(closed).second)
        faults.push_back("second final answer of " + toHex(closed.value()));
}

std::size_t SchedDriver::decisions(Reason reason) const
{
    std::size_t count = 0;
    for (const Decision& decision : all<Decision>())
        count += decision.reason == reason;
    return count;
}

const Result& SchedDriver::result(std::uint64_t number) const { return results.at(id(number)); }

} // namespace fuchsialb::test
