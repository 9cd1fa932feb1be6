#include "RunnerNotices.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    constexpr std::uint32_t statusMisdirectedRequest = 421;
    // Larger rates are no limit in practice, and needn't fit the log's integers.
    constexpr double maxLoggedRate = 1e9;

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

    void recordRateLimit(GatewayContext& context, const RunnerLeaving& runner, const RunnerResponse& response,
        std::optional<TimePoint> sentAt)
    {
        if (response.rateLimitUnreadable) {
            context.log.log(LogLine("rate-limit-unreadable").add("runner", runner.runner.value()));
            context.metrics.count("runner_notices", "kind", "rate-limit-unreadable");
            return;
        }
        const bool mayEndLimit = sentAt && response.isSigned;
        if (!response.rateLimit && !mayEndLimit)
            return;
        const TimePoint now = context.now();
        if (context.rateLimits.recordResponse(
                runner.runner, runner.startedAt, response.rateLimit, sentAt.value_or(now), now))
            reportRateLimit(
                context, { runner.runner, runner.startedAt, response.rateLimit }, sentAt ? "response" : "report");
    }

} // namespace

void reportRateLimit(GatewayContext& context, const RequestRateLimit& limit, std::string_view source)
{
    constexpr double thousand = 1000;
    LogLine line("runner-rate-limit");
    line.add("runner", limit.runner.value()).add("source", source);
    line.add("started_at", limit.startedAt);
    if (limit.rate)
        line.add("per_1000_s", static_cast<std::int64_t>(std::min(limit.rate->value(), maxLoggedRate) * thousand));
    else
        line.add("ended", 1);
    context.log.log(line);
    context.metrics.count("runner_notices", "kind", limit.rate ? "rate-limit" : "rate-limit-ended");
}

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

void recordRunnerNotices(GatewayContext& context, const RunnerLeaving& runner, const RunnerResponse& response,
    std::uint32_t status, std::optional<TimePoint> sentAt)
{
    if (status == statusMisdirectedRequest)
        return;
    if (response.leaving && context.runners.recordLeaving(runner))
        reportRunnerLeaving(context, runner, "response");
    recordRateLimit(context, runner, response, sentAt);
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
