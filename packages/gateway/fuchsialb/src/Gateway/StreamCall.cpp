#include "StreamCall.h"

#include "RunnerOrders.h"

namespace fuchsialb {

namespace {

    // A runner found dead is passed over until the registry has had time to say what became of it; a restart ends that
    // at once.
    constexpr Duration deadSuspension = std::chrono::seconds(3);
    // A stream that broke off says little of its runner: answers get lost on the way.
    constexpr Duration brokenSuspension = std::chrono::milliseconds(100);
    // A runner whose answers all break off may be the only one with its layers: it is passed over for less time than a
    // stream waits to go on.
    constexpr std::uint32_t brokenDoublings = 2;
    // A stage that refused, for example for a lack of memory, is likely to take requests again soon.
    constexpr Duration refusalSuspension = std::chrono::milliseconds(300);
    // Longest wait for another path in mid-stream; callers leave after a pause of two seconds.
    constexpr Duration resumePatience = std::chrono::milliseconds(1500);
    // A stream that goes on elsewhere had its room already, and is let in slightly above the usual limit.
    constexpr double resumeCacheLimit = 1.05;
    // An event that does not end within this size is not an event.
    constexpr std::size_t maxEventBytes = 1'048'576;
    // A runner that leaves works on for about two seconds. Most streams end in this part of it; the others are moved in
    // the rest, when its layers have been loaded elsewhere.
    constexpr Duration moveDelay = std::chrono::milliseconds(1100);
    // Wait before another try to move a request off a stage that leaves: its layers are being loaded elsewhere.
    constexpr Duration moveRetry = std::chrono::milliseconds(200);
    constexpr std::uint32_t misdirected = 421;

    /// The data centres that a path passes through, in order.
    std::string dataCentresOf(const Path& path)
    {
        std::string names;
        std::string last;
        for (const PathStage& stage : path) {
            const std::string& name = stage.dataCentre.value();
            if (name == last)
                continue;
            names += (names.empty() ? "" : ",") + name;
            last = name;
        }
        return names;
    }

} // namespace

StreamCall::StreamCall(GatewayContext& context, MatchedRequest matched, std::shared_ptr<HttpReply> reply,
    const Duration& meanDuration, OnRunnerLost onRunnerLost)
    : Call(context, std::move(matched), std::move(reply))
    , m_meanDuration(meanDuration)
    , m_onRunnerLost(std::move(onRunnerLost))
    , m_lastEvent(m_matched.request.lastEvent)
    , m_history(m_matched.route->maxAttempts)
{
}

double StreamCall::expectedTokens() const
{
    const CallerRequest& request = m_matched.request;
    std::int64_t output = request.likelyOutputTokens.value_or(
        m_matched.service->engine ? m_matched.service->engine->usualOutputTokens : 0);
    if (request.mostOutputTokens > 0)
        output = std::min(output, request.mostOutputTokens);
    return static_cast<double>(request.promptTokens + output);
}

bool StreamCall::mayRunAgain() const
{
    if (!m_mayHaveRun)
        return true;
    const std::set<EndpointId>& ran = m_history.runners();
    const bool anySound
        = std::any_of(ran.begin(), ran.end(), [&](const EndpointId& runner) { return !m_avoided.contains(runner); });
    return m_matched.route->mayRepeat() && (m_history.mayUseAnotherRunner() || anySound);
}

void StreamCall::start()
{
    watchCaller();
    const TimePoint now = m_context.now();
    // Requests that wait must not be overtaken by new ones of the same or a lower urgency.
    if (!m_context.waiting.waitsBefore(m_matched.urgency)) {
        if (auto path = findPath(now)) {
            run(*std::move(path));
            return;
        }
    }
    if (!canBePlaced(now)) {
        refuse("layers-missing");
        return;
    }
    wait(AdmissionPolicy::patience(m_matched.route->latencyObjective));
}

bool StreamCall::canBePlaced(TimePoint now) const
{
    if (!m_matched.service->engine)
        return true;
    const PathFinder finder(m_context.runners, m_context.ledger);
    return finder.feasibleWhenIdle(
        wanted(AdmissionPolicy::cacheLimit(m_matched.urgency)), *m_matched.service->engine, now);
}

PathRequest StreamCall::wanted(double cacheLimit) const
{
    return { m_matched.service->name, m_context.settings.dataCentre, expectedTokens(), cacheLimit, m_avoided };
}

void StreamCall::wait(Duration patience)
{
    m_waiting = true;
    // In mid-stream a caller waits with an answer that has begun, so it goes first.
    const std::uint32_t urgency = m_begun ? 0 : m_matched.urgency;
    m_context.waiting.push(key(), { urgency, m_begun || m_matched.returning, m_context.now() + patience });
}

std::optional<Path> StreamCall::findPath(TimePoint now)
{
    if (!m_matched.service->engine) {
        const RunnerDirectory::Runner* best = nullptr;
        for (const auto& [id, runner] : m_context.runners.runners()) {
            if (runner.entry.service != m_matched.service->name || !runner.usable(now) || m_avoided.contains(id))
                continue;
            if (!best || m_context.ledger.at(id).firstStages < m_context.ledger.at(best->entry.id).firstStages)
                best = &runner;
        }
        return best ? std::optional(Path { { best->entry.id, best->entry.address, {}, best->entry.dataCentre } })
                    : std::nullopt;
    }
    const PathFinder finder(m_context.runners, m_context.ledger);
    const double limit = m_runs > 0 ? resumeCacheLimit : AdmissionPolicy::cacheLimit(m_matched.urgency);
    const EngineProfile& engine = *m_matched.service->engine;
    PathRequest request = wanted(limit);
    request.mayCrossDataCentres = engine.linkMegabits <= 0 || m_context.link.allows(now, m_context.hosts.size());
    if (!m_history.mayUseAnotherRunner())
        request.allowedFirstRunners = m_history.runners();
    auto path = finder.find(request, engine, now);
    if (path)
        m_context.link.take(engine.linkTransferTime(expectedTokens()) * static_cast<int>(dataCentreCrossings(*path)));
    return path;
}

bool StreamCall::admit()
{
    if (isOver() || !m_waiting)
        return true;
    auto path = findPath(m_context.now());
    if (!path)
        return false;
    m_waiting = false;
    m_context.waiting.remove(key());
    run(*std::move(path));
    return true;
}

void StreamCall::waitedTooLong()
{
    m_waiting = false;
    if (m_begun || m_mayHaveRun)
        giveUp("no-path-to-go-on");
    else
        refuse("no-room");
}

void StreamCall::refuse(std::string_view cause)
{
    const TimePoint now = m_context.now();
    const Duration left = timeLeft(now);
    answer(OwnAnswer::NotRun, cause, AdmissionPolicy::retryAfter(m_meanDuration, left, m_context.random.unit()));
}

void StreamCall::run(Path path)
{
    const TimePoint now = m_context.now();
    m_path = std::move(path);
    m_history.recordRun(m_path.front().runner);
    m_context.ledger.reserve(m_path, expectedTokens());
    ++m_runs;
    m_splitter = {};
    m_stalls.emplace(StallDetector::Limits {}, now);
    if (m_runs == 1)
        m_startedAt = now;
    RunnerCall call;
    call.runner = m_path.front().runner;
    call.address = m_path.front().address;
    call.timeLeft = timeLeft(now);
    call.organisation = m_matched.organisation;
    call.urgency = m_matched.urgency;
    if (m_matched.service->engine)
        call.path = m_path;
    call.lastEvent = m_lastEvent;
    call.freshConnection = !m_matched.route->mayRepeat();
    LogLine line = logLine("request-sent");
    line.add("run", static_cast<std::int64_t>(m_runs));
    line.add("first", call.runner.value());
    line.add("stages", static_cast<std::int64_t>(m_path.size())).add("data_centres", dataCentresOf(m_path));
    line.add("registry", static_cast<std::int64_t>(m_context.registryVersion.value()));
    m_context.log.log(line);
    const auto started = m_context.http.start(m_context.translator.runnerRequest(m_matched.request, call), handlers());
    if (started.ok()) {
        m_exchange = *started;
        return;
    }
    leavePath();
    failOver("client-full", false);
}

HttpHandlers StreamCall::handlers()
{
    const auto self = std::static_pointer_cast<StreamCall>(shared_from_this());
    const std::uint32_t run = m_runs;
    const auto current = [self, run] { return !self->isOver() && self->m_runs == run && self->m_exchange.has_value(); };
    HttpHandlers handlers;
    handlers.onHead = [self, current](const HttpResponse& head) { return current() && self->takeHead(head); };
    handlers.onPiece = [self, current](std::string_view piece) {
        if (current())
            self->takePiece(piece);
    };
    handlers.onResponse = [self, current](HttpResponse response) {
        if (current())
            self->takeResponse(std::move(response));
    };
    handlers.onFailure = [self, current](const HttpFailure& failure) {
        if (current())
            self->takeFailure(failure);
    };
    return handlers;
}

bool StreamCall::takeHead(const HttpResponse& head)
{
    if (!isGenuine(m_context.translator.runnerAnswer(head)))
        return false;
    if (!m_head)
        m_head = head;
    return true;
}

void StreamCall::takePiece(std::string_view piece)
{
    m_splitter.add(piece);
    if (m_splitter.restSize() > maxEventBytes)
        return;
    const TimePoint now = m_context.now();
    std::string text;
    while (auto event = m_splitter.next()) {
        if (event->id && m_lastEvent && *event->id <= *m_lastEvent)
            continue;
        if (event->id)
            m_lastEvent = event->id;
        text += event->text;
    }
    if (text.empty())
        return;
    m_stalls->event(now);
    if (!m_begun) {
        m_begun = true;
        m_context.metrics.observe("first_event", now - m_matched.receivedAt);
        if (m_context.stopping)
            m_reply->closeConnection();
        m_reply->begin(m_head->status, m_context.translator.callerHeaders(*m_head));
    }
    m_reply->write(std::move(text));
}

void StreamCall::takeResponse(HttpResponse response)
{
    const RunnerAnswer answer = m_context.translator.runnerAnswer(response);
    const bool succeeded = response.status >= 200 && response.status < 300;
    if (succeeded && m_head) {
        if (m_splitter.hasRest()) {
            blame(m_path.front().runner, "event-cut", brokenSuspension);
            leavePath();
            failOver("event-cut", true);
            return;
        }
        for (const PathStage& stage : m_path)
            m_context.runners.recordSuccess(stage.runner, m_context.now());
        m_servedDuration = m_context.now() - m_startedAt;
        leavePath();
        if (!m_begun)
            m_reply->begin(response.status, m_context.translator.callerHeaders(response));
        m_reply->finish();
        completed(response.status);
        return;
    }
    if (answer.notRun || response.status == misdirected) {
        takeRefusal(answer);
        return;
    }
    leavePath();
    if (m_begun || !isGenuine(answer))
        failOver("runner-error", true);
    else
        passOn(std::move(response));
}

void StreamCall::takeRefusal(const RunnerAnswer& answer)
{
    const RunnerDirectory::Runner* fault
        = answer.faultAt.empty() ? nullptr : m_context.runners.findByAddress(answer.faultAt);
    const EndpointId runner = fault ? fault->entry.id : m_path.front().runner;
    m_context.runners.recordFailure(runner, m_context.now(), refusalSuspension);
    m_avoided.insert(runner);
    LogLine line = logLine("run-refused");
    line.add("runner", runner.value());
    m_context.log.log(line);
    leavePath();
    failOver("refused-by-runner", false);
}

void StreamCall::takeFailure(const HttpFailure& failure)
{
    const EndpointId first = m_path.front().runner;
    const bool broken = pathBroken(m_context.now());
    leavePath();
    if (failure.notSent)
        blameDead(first, "unreachable");
    else if (!broken)
        blame(first, reasonName(reasonOf(failure.status)), brokenSuspension);
    failOver(reasonName(reasonOf(failure.status)), !failure.notSent);
}

void StreamCall::blame(const EndpointId& runner, std::string_view cause, Duration suspension)
{
    m_context.runners.recordFailure(runner, m_context.now(), suspension, brokenDoublings);
    logBlame(runner, cause);
}

void StreamCall::blameDead(const EndpointId& runner, std::string_view cause)
{
    m_context.runners.markDead(runner, m_context.now(), deadSuspension);
    m_avoided.insert(runner);
    // The limit of runners is on those that are there.
    m_history.removeDead(runner);
    logBlame(runner, cause);
    m_onRunnerLost(runner);
}

void StreamCall::logBlame(const EndpointId& runner, std::string_view cause)
{
    LogLine line = logLine("runner-blamed");
    line.add("runner", runner.value()).add("cause", cause);
    m_context.log.log(line);
    m_context.metrics.count("runners_blamed", "cause", cause);
}

void StreamCall::leavePath()
{
    m_exchange.reset();
    m_leaving.clear();
    m_moving = false;
    m_context.ledger.release(std::exchange(m_path, {}), expectedTokens());
}

void StreamCall::failOver(std::string_view cause, bool mayHaveRun)
{
    if (isOver())
        return;
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    if (!mayHaveRun)
        m_history.discardLast();
    const TimePoint now = m_context.now();
    if (!mayRunAgain() || timeLeft(now) == Duration::zero() || !m_context.repeats.take(now, m_context.hosts.size())) {
        giveUp(cause);
        return;
    }
    if (auto path = findPath(now))
        run(*std::move(path));
    else
        wait(m_begun ? resumePatience : AdmissionPolicy::patience(m_matched.route->latencyObjective));
}

void StreamCall::giveUp(std::string_view cause)
{
    if (m_begun)
        cut(cause);
    else if (m_mayHaveRun)
        answer(OwnAnswer::Failed, cause);
    else
        refuse(cause);
}

void StreamCall::tick(TimePoint now)
{
    if (isOver())
        return;
    if (now >= m_matched.deadline) {
        if (m_begun)
            cut("deadline");
        else
            answer(m_runs > 0 ? OwnAnswer::TimedOut : OwnAnswer::NotRun, "deadline");
        return;
    }
    if (!m_exchange || !m_stalls)
        return;
    if (!m_leaving.empty() && !m_moving && now >= m_nextMove)
        moveAway(m_leaving.begin()->first, now);
    switch (m_stalls->check(now)) {
    case StallDetector::Verdict::Flowing:
        return;
    case StallDetector::Verdict::Ask:
        askForStall();
        return;
    case StallDetector::Verdict::GiveUp:
        // Without another run the rest of the wait costs nothing.
        if (!mayRunAgain() || !m_matched.route->mayRepeat())
            return;
        stopRunner();
        failOver("stalled", true);
        return;
    }
}

void StreamCall::askForStall()
{
    const auto self = std::static_pointer_cast<StreamCall>(shared_from_this());
    const std::uint32_t run = m_runs;
    askReport(m_context, m_path.front().address, [self, run](const absl::StatusOr<RunnerReport>& report) {
        if (self->isOver() || self->m_runs != run || !self->m_exchange)
            return;
        if (report.ok()) {
            self->takeReport(*report);
        } else if (const Reason reason = reasonOf(report.status()); reason == Reason::EndpointFailed) {
            self->m_context.log.log(self->logLine("report-unreadable"));
        } else if (reason != Reason::Cancelled) {
            // A copy: the path changes when the stream goes on elsewhere.
            const EndpointId first = self->m_path.front().runner;
            self->blameDead(first, "silent");
        }
    });
}

void StreamCall::takeReport(const RunnerReport& report)
{
    for (const StalledRequest& stalled : report.stalled) {
        if (stalled.requestId != m_matched.request.id)
            continue;
        const RunnerDirectory::Runner* runner = m_context.runners.findByAddress(stalled.address);
        if (!runner)
            return;
        const EndpointId lost = runner->entry.id;
        blameDead(lost, "stalled");
        return;
    }
}

bool StreamCall::onPath(const EndpointId& runner) const
{
    return std::any_of(m_path.begin(), m_path.end(), [&](const PathStage& stage) { return stage.runner == runner; });
}

bool StreamCall::pathBroken(TimePoint now) const
{
    return std::any_of(std::next(m_path.begin()), m_path.end(), [&](const PathStage& stage) {
        const RunnerDirectory::Runner* runner = m_context.runners.find(stage.runner);
        return !runner || runner->entry.draining || runner->dead(now);
    });
}

void StreamCall::runnerLost(const EndpointId& runner)
{
    const TimePoint now = m_context.now();
    // Events that still flow are not behind the lost runner.
    constexpr Duration flowing = std::chrono::milliseconds(250);
    if (!onPath(runner) || isOver() || !m_exchange || now - m_stalls->lastEvent() < flowing)
        return;
    m_avoided.insert(runner);
    m_leaving[runner] = true;
    if (m_moving || moveAway(runner, now) || !m_matched.route->mayRepeat())
        return;
    m_history.removeDead(runner);
    stopRunner();
    failOver("runner-lost", true);
}

void StreamCall::runnerLeaving(const EndpointId& runner)
{
    if (isOver() || !m_exchange || !onPath(runner) || m_path.front().runner == runner)
        return;
    if (m_leaving.empty())
        m_nextMove = m_context.now() + moveDelay;
    m_leaving.emplace(runner, false);
}

bool StreamCall::moveAway(const EndpointId& runner, TimePoint now)
{
    m_nextMove = now + moveRetry;
    if (!m_matched.service->engine)
        return false;
    const PathFinder finder(m_context.runners, m_context.ledger);
    auto changed = finder.replaceStage(m_path, runner, wanted(resumeCacheLimit), *m_matched.service->engine, now);
    if (!changed)
        return false;
    m_moving = true;
    const Path before = std::exchange(m_path, *std::move(changed));
    m_context.ledger.release(before, expectedTokens());
    m_context.ledger.reserve(m_path, expectedTokens());
    const auto self = std::static_pointer_cast<StreamCall>(shared_from_this());
    const std::uint32_t run = m_runs;
    orderPathChange(
        m_context, m_matched.request.id, m_path, [self, run, runner, before](const PathChangeAnswer& answer) {
            if (!self->isOver() && self->m_runs == run && self->m_exchange)
                self->moved(runner, before, answer);
        });
    return true;
}

void StreamCall::moved(const EndpointId& runner, const Path& before, const PathChangeAnswer& answer)
{
    m_moving = false;
    LogLine line = logLine("path-changed");
    line.add("leaving", runner.value()).add("outcome", static_cast<std::int64_t>(answer.outcome));
    line.add("fault", answer.faultAt).add("registry", static_cast<std::int64_t>(m_context.registryVersion.value()));
    m_context.log.log(line);
    if (answer.outcome == OrderOutcome::Begun || answer.outcome == OrderOutcome::Done) {
        m_leaving.erase(runner);
        // The new stages read the tokens so far before the next event.
        m_stalls.emplace(StallDetector::Limits {}, m_context.now());
        return;
    }
    const bool dead = m_leaving[runner];
    m_context.ledger.release(m_path, expectedTokens());
    m_path = before;
    m_context.ledger.reserve(m_path, expectedTokens());
    if (const RunnerDirectory::Runner* fault = m_context.runners.findByAddress(answer.faultAt)) {
        const EndpointId full = fault->entry.id;
        m_context.runners.recordFailure(full, m_context.now(), refusalSuspension);
        m_avoided.insert(full);
    }
    if (!dead || !m_matched.route->mayRepeat())
        return;
    stopRunner();
    failOver("runner-lost", true);
}

void StreamCall::describe(LogLine& line) const
{
    line.add("runs", static_cast<std::int64_t>(m_runs)).add("waiting", m_waiting ? 1 : 0);
    line.add("last_event", static_cast<std::int64_t>(m_lastEvent.value_or(0)));
    if (!m_stalls)
        return;
    const Duration pause = m_context.now() - m_stalls->lastEvent();
    line.add("pause_ms", std::chrono::duration_cast<std::chrono::milliseconds>(pause).count());
}

void StreamCall::stopRunner()
{
    if (m_waiting) {
        m_context.waiting.remove(key());
        m_waiting = false;
    }
    if (!m_exchange)
        return;
    const HttpExchangeId exchange = *m_exchange;
    leavePath();
    m_context.http.cancel(exchange);
}

} // namespace fuchsialb
