#include "SilenceWatch.h"

#include "RunnerControl.h"

namespace fuchsialb {

namespace {

    // After a longer gap between two checks, events may wait unread.
    constexpr Duration maxCheckGap = std::chrono::milliseconds(60);
    // Events that a runner has passed on before it ended arrive within this time.
    constexpr Duration maxEventTransit = std::chrono::milliseconds(60);
    constexpr Duration maxUncertainSilence = std::chrono::milliseconds(75);
    constexpr std::size_t minStreamsToLeave = 5;
    // Longer than it takes to ask the runner, so that its suspension doesn't end before its answer is known.
    constexpr Duration suspicionSuspension = std::chrono::milliseconds(1200);
    // A runner at work mostly goes on within this time, and its streams are then needed no longer.
    constexpr Duration askAfter = std::chrono::milliseconds(250);
    // Spreads the hosts; those that ask later learn from the beats of the first one.
    constexpr Duration askSpread = std::chrono::milliseconds(300);
    constexpr Duration refutedTrust = std::chrono::seconds(3);
    // Gives the registry time to reflect the state of a dead runner.
    constexpr Duration deadSuspension = std::chrono::seconds(3);

} // namespace

SilenceWatch::SilenceWatch(GatewayContext& context, OnRunnerLost onRunnerLost)
    : m_context(context)
    , m_onRunnerLost(std::move(onRunnerLost))
{
}

void SilenceWatch::check(const std::vector<std::shared_ptr<Call>>& calls, TimePoint now)
{
    const bool wasHeldUp = now - std::exchange(m_checkedAt, now) > maxCheckGap;
    std::vector<StreamObservation> streams;
    for (const auto& call : calls) {
        if (const auto observation = call->observation())
            streams.push_back(*observation);
    }
    removeRefuted(streams, now);
    verify(now);
    if (wasHeldUp || streams.empty())
        return;
    addSuspicions(streams, now);
    if (m_suspicions.empty())
        return;
    std::set<EndpointId> silent;
    for (const auto& [runner, suspicion] : m_suspicions)
        silent.insert(runner);
    for (const auto& call : calls)
        call->stagesSilent(silent, now);
}

void SilenceWatch::addSuspicions(const std::vector<StreamObservation>& streams, TimePoint now)
{
    for (const SilentStage& stage : SilentStages::find(streams, now)) {
        const RunnerDirectory::Runner* runner = m_context.runners.find(stage.runner);
        const auto trusted = m_trustedUntil.find(stage.runner);
        // Waiting tells runners apart while the objective allows it.
        if (!stage.isCertain && stage.silence < maxUncertainSilence)
            continue;
        const bool isTrusted = trusted != m_trustedUntil.end() && now < trusted->second;
        if (!runner || isTrusted || m_suspicions.contains(stage.runner))
            continue;
        // Streams that have to leave the data centre need stronger evidence, since a silent runner may go on.
        if (stage.streams < minStreamsToLeave && !m_context.runners.hasOtherHolders(stage.runner, now))
            continue;
        const auto spread = std::chrono::duration_cast<Duration>(askSpread * m_context.random.unit());
        m_suspicions[stage.runner] = { now, now + askAfter + spread, false, runner->entry.startedAt };
        m_context.runners.markSuspected(stage.runner, now, suspicionSuspension);
        LogLine line("stage-silent");
        line.add("runner", stage.runner.value()).add("streams", static_cast<std::int64_t>(stage.streams));
        line.add("certain", stage.isCertain ? 1 : 0);
        line.add("observed", static_cast<std::int64_t>(streams.size()));
        line.add("silence_ms", std::chrono::duration_cast<std::chrono::milliseconds>(stage.silence).count());
        m_context.log.log(line);
        m_context.metrics.count("silent_stages", "outcome", "suspected");
    }
}

void SilenceWatch::removeRefuted(const std::vector<StreamObservation>& streams, TimePoint now)
{
    std::erase_if(m_trustedUntil, [&](const auto& item) { return now >= item.second; });
    std::set<EndpointId> refuted;
    for (const StreamObservation& stream : streams) {
        for (const PathStage& stage : *stream.path) {
            const auto found = m_suspicions.find(stage.runner);
            if (found != m_suspicions.end() && stream.hasEventOnPath
                && stream.lastEvent > found->second.since + maxEventTransit)
                refuted.insert(stage.runner);
        }
    }
    for (const EndpointId& runner : refuted)
        refute(runner, "event");
}

void SilenceWatch::verify(TimePoint now)
{
    std::erase_if(m_suspicions, [&](const auto& item) {
        const RunnerDirectory::Runner* runner = m_context.runners.find(item.first);
        // Beats of another host or the streams themselves may have settled it.
        return !runner || runner->entry.startedAt != item.second.startedAt || !runner->dead(now)
            || runner->markedDeadLocally;
    });
    std::vector<EndpointId> due;
    for (auto& [runner, suspicion] : m_suspicions) {
        const bool isKnownByPeers
            = m_context.runners.find(runner)->suspendedUntil > suspicion.since + suspicionSuspension;
        if (!isKnownByPeers && now >= suspicion.askAt && !std::exchange(suspicion.isAsked, true))
            due.push_back(runner);
    }
    for (const EndpointId& runner : due)
        ask(runner);
}

void SilenceWatch::ask(const EndpointId& runner)
{
    requestReport(m_context, m_context.runners.find(runner)->entry.address,
        [this, alive = m_alive, runner](const absl::StatusOr<RunnerReport>& report) {
            if (!*alive || !m_suspicions.contains(runner))
                return;
            if (report.ok())
                refute(runner, "report");
            else if (reasonOf(report.status()) != Reason::Cancelled)
                confirm(runner);
        });
}

void SilenceWatch::refute(const EndpointId& runner, std::string_view evidence)
{
    const TimePoint now = m_context.now();
    m_suspicions.erase(runner);
    m_trustedUntil[runner] = now + refutedTrust;
    m_context.runners.recordSuccess(runner, now);
    m_context.log.log(LogLine("stage-works").add("runner", runner.value()).add("evidence", evidence));
    m_context.metrics.count("silent_stages", "outcome", "refuted");
}

void SilenceWatch::confirm(const EndpointId& runner)
{
    m_suspicions.erase(runner);
    m_context.runners.markDead(runner, m_context.now(), deadSuspension);
    m_context.log.log(LogLine("stage-dead").add("runner", runner.value()));
    m_context.metrics.count("silent_stages", "outcome", "confirmed");
    m_onRunnerLost(runner);
}

} // namespace fuchsialb
