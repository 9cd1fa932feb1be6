#include "RunnerControl.h"

#include "RunnerNotices.h"

namespace fuchsialb {

namespace {

    // A healthy runner answers within milliseconds; one that doesn't answer in this time is unreachable or dead.
    constexpr Duration reportTimeout = std::chrono::milliseconds(400);
    constexpr Duration orderTimeout = std::chrono::milliseconds(1000);

    RunnerLeaving start(const RunnerDirectory::Runner& runner) { return { runner.entry.id, runner.entry.startedAt }; }

} // namespace

void requestReport(GatewayContext& context, const std::string& address,
    const std::function<void(absl::StatusOr<RunnerReport>)>& onReport)
{
    const RunnerDirectory::Runner* runner = context.runners.findByAddress(address);
    if (runner && runner->resting(context.now())) {
        onReport(error(Reason::Cancelled, "the runner wants no requests for a while"));
        return;
    }
    const RunnerLeaving asked = runner ? start(*runner) : RunnerLeaving {};
    HttpRequest request = context.translator.reportRequest(address);
    request.timeout = reportTimeout;
    HttpHandlers handlers;
    handlers.onResponse = [&context, onReport, asked](const HttpResponse& response) {
        const auto report = context.translator.report(response);
        RunnerResponse notices = context.translator.runnerResponse(response);
        // Requests for reports name no runner, so the address may be that of another one by now.
        const bool isSameProcess = report.ok() && report->startedAt == asked.startedAt;
        notices.leaving = notices.leaving && isSameProcess;
        if (isSameProcess || !report.ok())
            recordRunnerNotices(context, asked, notices, response.status);
        if (isSameProcess)
            context.runnerPace.recordReport(asked.runner, report->pace, context.now());
        onReport(report);
    };
    handlers.onFailure = [&context, onReport](const HttpFailure& failure) {
        // The report may wait unread.
        if (context.hostPause.overdue(context.now()))
            onReport(error(Reason::Cancelled, "this host was held up"));
        else
            onReport(failure.status);
    };
    if (const auto started = context.http.start(std::move(request), std::move(handlers)); !started.ok())
        onReport(started.status());
}

void sendPlacementOrder(
    GatewayContext& context, const PlacementOrder& order, const std::function<void(OrderOutcome)>& onOutcome)
{
    const RunnerDirectory::Runner* runner = context.runners.find(order.runner);
    if (!runner || runner->resting(context.now())) {
        onOutcome(OrderOutcome::Refused);
        return;
    }
    HttpRequest request = context.translator.placeRequest(order);
    request.timeout = orderTimeout;
    request.freshConnection = true;
    HttpHandlers handlers;
    handlers.onResponse = [&context, onOutcome, asked = start(*runner)](const HttpResponse& response) {
        recordRunnerNotices(context, asked, context.translator.runnerResponse(response), response.status);
        onOutcome(context.translator.placeOutcome(response));
    };
    handlers.onFailure = [onOutcome](const HttpFailure&) { onOutcome(OrderOutcome::Unknown); };
    context.metrics.count("orders", "kind", "place");
    if (!context.http.start(std::move(request), std::move(handlers)).ok())
        onOutcome(OrderOutcome::Unknown);
}

void sendPathChangeOrder(GatewayContext& context, const std::string& requestId, const Path& path,
    const std::function<void(const PathChangeResult&)>& onResult)
{
    HttpRequest request = context.translator.pathChangeRequest(requestId, path);
    request.timeout = orderTimeout;
    HttpHandlers handlers;
    const RunnerDirectory::Runner* first = context.runners.find(path.front().runner);
    const RunnerLeaving asked = first ? start(*first) : RunnerLeaving {};
    handlers.onResponse = [&context, onResult, asked](const HttpResponse& response) {
        recordRunnerNotices(context, asked, context.translator.runnerResponse(response), response.status);
        onResult(context.translator.pathChangeResult(response));
    };
    handlers.onFailure = [onResult](const HttpFailure&) { onResult({ OrderOutcome::Unknown, "" }); };
    context.metrics.count("orders", "kind", "path");
    if (!context.http.start(std::move(request), std::move(handlers)).ok())
        onResult({ OrderOutcome::Unknown, "" });
}

} // namespace fuchsialb
