#include "RunnerNotices.h"

namespace fuchsialb {

namespace {

    constexpr std::uint32_t statusMisdirectedRequest = 421;

    void recordRest(GatewayContext& context, const EndpointId& id, Duration rest)
    {
        const Duration total = context.runners.recordRest(id, context.now(), rest, context.random.unit());
        LogLine line("runner-rests");
        line.add("runner", id.value());
        line.add("asked_ms", std::chrono::duration_cast<std::chrono::milliseconds>(rest).count());
        line.add("for_ms", std::chrono::duration_cast<std::chrono::milliseconds>(total).count());
        context.log.log(line);
        context.metrics.count("runner_notices", "kind", "rest");
    }

} // namespace

void reportRunnerLeaving(GatewayContext& context, const RunnerLeaving& leaving, std::string_view source)
{
    LogLine line("runner-leaving");
    line.add("runner", leaving.runner.value()).add("source", source);
    line.add("started_at", leaving.startedAt);
    line.add("registry", static_cast<std::int64_t>(context.registryVersion.value()));
    context.log.log(line);
    context.metrics.count("runner_notices", "kind", "leaving");
    if (context.onRunnerLeaving)
        context.onRunnerLeaving(leaving.runner);
}

void recordRunnerNotices(
    GatewayContext& context, const RunnerLeaving& runner, const RunnerResponse& response, std::uint32_t status)
{
    if (status == statusMisdirectedRequest)
        return;
    if (response.leaving && context.runners.recordLeaving(runner))
        reportRunnerLeaving(context, runner, "response");
    if (response.restUnreadable) {
        context.log.log(LogLine("rest-unreadable").add("runner", runner.runner.value()));
        context.metrics.count("runner_notices", "kind", "rest-unreadable");
    }
    if (response.rest <= Duration(0))
        return;
    recordRest(context, runner.runner, response.rest);
    // The response of a first runner may repeat that of a later one on the path.
    const RunnerDirectory::Runner* fault
        = response.faultAddress.empty() ? nullptr : context.runners.findByAddress(response.faultAddress);
    if (fault && fault->entry.id != runner.runner)
        recordRest(context, fault->entry.id, response.rest);
}

} // namespace fuchsialb
