#include "Replay.h"

namespace fuchsialb::bench {

namespace {

    /// `GroupScheduler::tick` asks for a call at least this often.
    constexpr Duration tickInterval = std::chrono::milliseconds(10);
    /// The clock starts well above zero, as a real one does.
    constexpr Duration clockStart = std::chrono::hours(1);

    Duration sinceStart(const Timeline& timeline) { return timeline.now().time_since_epoch() - clockStart; }

} // namespace

absl::StatusOr<std::vector<CallRecord>> replay(
    const Workload& workload, const std::vector<Arrival>& arrivals, const std::string& policy, std::uint64_t seed)
{
    Timeline timeline;
    timeline.runUntil(TimePoint(clockStart));
    Random random(seed);
    std::vector<CallRecord> records(arrivals.size());
    std::unique_ptr<Policy> subject;
    EngineHooks engineHooks;
    engineHooks.onToken = [&](const EngineRun& run, std::uint32_t position) { subject->onToken(run, position); };
    engineHooks.onFinished = [&](const EngineRun& run) { subject->onFinished(run); };
    engineHooks.onFailed = [&](const EngineRun& run, std::uint32_t stage, FailureProof proof, Reason reason) {
        subject->onFailed(run, stage, proof, reason);
    };
    engineHooks.onReport = [&](const LoadReport& report) { subject->onReport(report); };
    EngineFakes engines(workload, timeline, std::move(engineHooks));
    CallerHooks callers;
    callers.onToken = [&](RequestId request, std::uint32_t) {
        records[request.value().low].tokens.push_back(sinceStart(timeline));
    };
    callers.onEnded = [&](RequestId request, const Result& result) {
        CallRecord& record = records[request.value().low];
        record.ended = true;
        record.result = result;
    };
    auto made = makePolicy(policy, { workload, timeline, random, engines, std::move(callers) });
    if (!made.ok())
        return made.status();
    subject = std::move(*made);
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        records[i].stream = arrivals[i].stream;
        records[i].arrivedAt = arrivals[i].at;
        records[i].requestedTokens = arrivals[i].request.maxTokens;
        timeline.after(arrivals[i].at, [&, i] { subject->submit(arrivals[i].request, arrivals[i].stream); });
    }
    for (const Fault& fault : workload.faults)
        timeline.after(fault.at, [&engines, &fault] { engines.apply(fault); });
    const TimePoint end = TimePoint(clockStart) + workload.duration + workload.drain;
    while (timeline.now() < end) {
        timeline.runUntil(timeline.now() + tickInterval);
        subject->tick();
    }
    return records;
}

} // namespace fuchsialb::bench
