#include "StreamCall.h"

#include "RunnerNotices.h"

namespace fuchsialb {

namespace {

    // Short, since an interrupted stream may be due to the network and not to the runner.
    constexpr Duration brokenStreamSuspension = std::chrono::milliseconds(100);
    // Maximum size of an event; more bytes without the end of an event are not a stream of events.
    constexpr std::size_t maxEventBytes = 1'048'576;
    // Bytes that wait for a caller who reads more slowly than its runner sends.
    constexpr std::size_t maxUnsentBytes = 1'048'576;
    constexpr std::uint32_t statusMisdirectedRequest = 421;

    /// \return Whether the end of the response shows other than by the end of its connection.
    bool isFramed(const HttpResponse& response)
    {
        return std::any_of(response.headers.begin(), response.headers.end(),
            [](const auto& header) { return header.first == "content-length" || header.first == "transfer-encoding"; });
    }

} // namespace

HttpHandlers StreamCall::makeHandlers()
{
    const auto self = std::static_pointer_cast<StreamCall>(shared_from_this());
    const std::uint32_t number = m_run.number;
    HttpHandlers handlers;
    handlers.isOwnResponse = [self](const HttpResponse& head) { return self->isOwnResponse(head); };
    handlers.onHead = [self, number](const HttpResponse& head) {
        StreamRun* run = self->openRun(number);
        return run && self->handleHead(*run, head);
    };
    handlers.onPiece = [self, number](std::string_view piece) {
        if (StreamRun* run = self->openRun(number))
            self->handlePiece(*run, piece);
    };
    handlers.onResponse = [self, number](HttpResponse response) {
        if (const StreamRun* run = self->openRun(number))
            self->isFormer(*run) ? self->handleFormerResponse(std::move(response))
                                 : self->handleResponse(std::move(response));
    };
    handlers.onFailure = [self, number](const HttpFailure& failure) {
        if (const StreamRun* run = self->openRun(number))
            self->isFormer(*run) ? self->handleFormerFailure(failure) : self->handleFailure(failure);
    };
    return handlers;
}

StreamRun* StreamCall::openRun(std::uint32_t number)
{
    if (isFinished())
        return nullptr;
    if (m_former && m_former->number == number)
        return &*m_former;
    return m_run.number == number && m_run.exchange ? &m_run : nullptr;
}

void StreamCall::recordNotices(StreamRun& run, const RunnerResponse& response, std::uint32_t status)
{
    // At the end of a long response, what its head told is out of date.
    if (!std::exchange(run.noticesRecorded, true))
        recordRunnerNotices(m_context, { run.path.front().runner, run.first.startedAt }, response, status, run.sentAt);
}

bool StreamCall::isUnreadable(const StreamRun& run)
{
    const std::size_t former = m_former ? m_former->splitter.bufferedSize() : 0;
    const std::size_t buffered = m_run.splitter.bufferedSize() + former;
    return run.splitter.isInvalid() || run.splitter.bufferedSize() > maxEventBytes
        || !m_eventMemory.tryResize(Bytes(static_cast<std::int64_t>(buffered)));
}

bool StreamCall::handleHead(StreamRun& run, const HttpResponse& head)
{
    const RunnerResponse runnerResponse = m_context.translator.runnerResponse(head);
    if (!isAuthentic(runnerResponse))
        return false;
    recordNotices(run, runnerResponse, head.status);
    run.head = head;
    return true;
}

void StreamCall::handlePiece(StreamRun& run, std::string_view piece)
{
    if (run.isInvalid)
        return;
    run.splitter.add(piece);
    std::vector<EventSplitter::Event> events;
    while (auto event = run.splitter.next())
        events.push_back(*std::move(event));
    if (isFormer(run)) {
        if (events.empty()) {
            if (isUnreadable(run))
                cancelFormerRun();
            return;
        }
        if (mayBeInTransit(events, m_context.now())) {
            forwardEvents(run, takeNewEvents(run, events, m_context.now()), m_context.now());
            return;
        }
        returnToFormerRun("former-goes-on");
    }
    handleEvents(events);
    // The caller may have left on the way.
    if (isFinished() || !m_run.exchange || !isUnreadable(m_run))
        return;
    // The exchange then fails, and with it the run.
    m_run.isInvalid = true;
    m_context.http.cancel(*m_run.exchange);
}

void StreamCall::handleEvents(const std::vector<EventSplitter::Event>& events)
{
    const TimePoint now = m_context.now();
    const std::uint64_t eventsBefore = m_run.events;
    std::string text = takeNewEvents(m_run, events, now);
    // The first event of a run waits for the prompt to be read; a pause of this host says nothing of its runners.
    if (eventsBefore > 0 && !m_run.pathChangePending
        && m_run.stallDetector->pauseStart() == m_run.stallDetector->lastEvent())
        m_pauseWatch.recordEvents(m_run.path, now - m_run.stallDetector->lastEvent(),
            static_cast<std::int64_t>(m_run.events - eventsBefore), now);
    if (text.empty())
        return;
    cancelFormerRun();
    recordProgress(now);
    forwardEvents(m_run, std::move(text), now);
}

std::string StreamCall::takeNewEvents(StreamRun& run, const std::vector<EventSplitter::Event>& events, TimePoint now)
{
    std::string text;
    for (const EventSplitter::Event& event : events) {
        if (event.id && m_lastEventId && *event.id <= *m_lastEventId)
            continue;
        if (event.id)
            m_lastEventId = event.id;
        ++run.events;
        if (!isFormer(run))
            m_probation.recordEvent(now);
        text += event.text;
    }
    return text;
}

bool StreamCall::mayBeInTransit(const std::vector<EventSplitter::Event>& events, TimePoint now) const
{
    // Without ids, the events that the current run sends again couldn't be told from new ones.
    const bool haveIds
        = std::all_of(events.begin(), events.end(), [](const auto& event) { return event.id.has_value(); });
    return haveIds && m_former->repair.hasDeadStage() && now - m_suspectedAt < maxEventTransit;
}

void StreamCall::forwardEvents(const StreamRun& run, std::string text, TimePoint now)
{
    if (text.empty())
        return;
    m_timeliness.recordEvent(now);
    if (!m_responseStarted) {
        m_responseStarted = true;
        m_context.metrics.observe("first_event", now - m_matched.receivedAt);
        if (m_context.stopping)
            m_reply->closeConnection();
        m_reply->begin(run.head->status, m_context.translator.callerHeaders(*run.head));
    }
    m_reply->write(std::move(text));
    limitUnsentBytes(now);
}

void StreamCall::limitUnsentBytes(TimePoint now)
{
    const std::size_t unsent = m_reply->unsentBytes();
    const bool isTooMuch = unsent > (m_run.isPaused ? maxUnsentBytes / 2 : maxUnsentBytes);
    if (isTooMuch == m_run.isPaused || !m_run.exchange)
        return;
    m_run.isPaused = isTooMuch;
    // The runner isn't to blame for the pause.
    m_timeliness.recordReason("slow-caller");
    if (!m_run.isPaused)
        m_run.stallDetector.emplace(StallDetector::Limits {}, now);
    m_context.metrics.count("stream_pauses", "end", m_run.isPaused ? "begin" : "end");
    m_context.http.setPaused(*m_run.exchange, m_run.isPaused);
}

void StreamCall::handleResponse(HttpResponse response)
{
    const RunnerResponse runnerResponse = m_context.translator.runnerResponse(response);
    recordNotices(m_run, runnerResponse, response.status);
    const bool succeeded = response.status >= 200 && response.status < 300;
    if (succeeded && isAuthentic(runnerResponse)) {
        // Without a length or chunks, the end of the connection is the end of the response, also of one that broke off.
        // The end of a framed response also tells that no event follows the last one of an earlier run.
        const bool hasNoEvent = m_run.events == 0 && !(m_lastEventId && isFramed(response));
        if (m_run.splitter.hasPartialEvent() || hasNoEvent) {
            m_probation.recordBroken();
            recordFailure(m_run.path.front().runner, "event-cut", brokenStreamSuspension);
            releasePath();
            failOver("event-cut", true);
            return;
        }
        m_probation.recordComplete(m_context.now());
        for (const PathStage& stage : m_run.path)
            m_context.runners.recordSuccess(stage.runner, m_context.now());
        m_servedDuration = m_context.now() - m_startedAt;
        m_pauseWatch.recordServed(m_context.now());
        releasePath();
        countLateness();
        if (!m_responseStarted)
            m_reply->begin(response.status, m_context.translator.callerHeaders(response));
        m_reply->write(m_run.splitter.takeComments());
        m_reply->finish();
        complete(response.status);
        return;
    }
    if (runnerResponse.notRun || response.status == statusMisdirectedRequest) {
        handleRefusal(runnerResponse, response.status);
        return;
    }
    releasePath();
    if (m_responseStarted || m_former || !isAuthentic(runnerResponse))
        failOver("runner-error", true);
    else
        forward(std::move(response));
}

void StreamCall::addRunnerFields(LogLine& line, const EndpointId& id) const
{
    line.add("registry", static_cast<std::int64_t>(m_context.registryVersion.value()));
    const RunnerDirectory::Runner* runner = m_context.runners.find(id);
    if (!runner)
        return;
    const RunnerLoad load = m_context.ledger.at(id);
    line.add("draining", runner->entry.draining ? 1 : 0);
    line.add("layers_first", runner->entry.layers.first).add("layers_end", runner->entry.layers.end);
    line.add("reserved", static_cast<std::int64_t>(load.cache));
    line.add("streams", static_cast<std::int64_t>(load.sequences));
    const EngineProfile* engine = m_matched.service->engine ? &*m_matched.service->engine : nullptr;
    if (const AcceleratorProfile* accelerator = engine ? engine->accelerator(runner->entry.accelerator) : nullptr)
        line.add(
            "capacity", static_cast<std::int64_t>(engine->cacheCapacity(*accelerator, runner->entry.layers.count())));
}

void StreamCall::handleRefusal(const RunnerResponse& runnerResponse, std::uint32_t status)
{
    const RunnerDirectory::Runner* fault
        = runnerResponse.faultAddress.empty() ? nullptr : m_context.runners.findByAddress(runnerResponse.faultAddress);
    const EndpointId runner = fault ? fault->entry.id : m_run.path.front().runner;
    m_timeliness.recordReason("run-refused", runner.value());
    LogLine line = logLine("run-refused");
    line.add("runner", runner.value()).add("status", static_cast<std::int64_t>(status));
    line.add("first", runner == m_run.path.front().runner ? 1 : 0);
    addRunnerFields(line, runner);
    m_context.runners.recordFailure(runner, m_context.now(), refusalSuspension);
    m_excluded.insert(runner);
    m_context.log.log(line);
    releasePath();
    failOver("refused-by-runner", false);
}

void StreamCall::handleFailure(const HttpFailure& failure)
{
    const EndpointId first = m_run.path.front().runner;
    const bool broken = isPathBroken(m_context.now());
    const std::string_view cause = m_run.isInvalid ? "event-invalid" : reasonName(reasonOf(failure.status));
    m_timeliness.recordReason(cause, first.value());
    releasePath();
    if (!failure.notSent)
        m_probation.recordBroken();
    if (failure.notSent && !m_context.hostPause.overdue(m_context.now()))
        recordDead(first, "unreachable");
    else if (!broken)
        recordFailure(first, cause, brokenStreamSuspension);
    failOver(cause, !failure.notSent);
}

void StreamCall::handleFormerResponse(HttpResponse response)
{
    const RunnerResponse runnerResponse = m_context.translator.runnerResponse(response);
    recordNotices(*m_former, runnerResponse, response.status);
    const bool isWhole = response.status >= 200 && response.status < 300 && isAuthentic(runnerResponse)
        && m_former->events > 0 && !m_former->splitter.hasPartialEvent();
    if (!isWhole) {
        m_former.reset();
        return;
    }
    returnToFormerRun("former-goes-on");
    handleResponse(std::move(response));
}

void StreamCall::handleFormerFailure(const HttpFailure& failure)
{
    if (!failure.notSent) {
        m_probation.startRun(m_former->first, m_former->path);
        m_probation.recordBroken();
        m_probation.startRun(m_run.first, m_run.path);
    }
    recordFailure(m_former->path.front().runner, reasonName(reasonOf(failure.status)), brokenStreamSuspension);
    m_former.reset();
}

} // namespace fuchsialb
