#include "RunnerControl.h"

namespace fuchsialb {

namespace {

    // A healthy runner answers within milliseconds; one that doesn't answer in this time is unreachable or dead.
    constexpr Duration reportTimeout = std::chrono::milliseconds(400);
    constexpr Duration orderTimeout = std::chrono::milliseconds(1000);

} // namespace

void requestReport(GatewayContext& context, const std::string& address,
    const std::function<void(absl::StatusOr<RunnerReport>)>& onReport)
{
    HttpRequest request = context.translator.reportRequest(address);
    request.timeout = reportTimeout;
    HttpHandlers handlers;
    handlers.onResponse
        = [&context, onReport](const HttpResponse& response) { onReport(context.translator.report(response)); };
    handlers.onFailure = [onReport](const HttpFailure& failure) { onReport(failure.status); };
    if (const auto started = context.http.start(std::move(request), std::move(handlers)); !started.ok())
        onReport(started.status());
}

void sendPlacementOrder(
    GatewayContext& context, const PlacementOrder& order, const std::function<void(OrderOutcome)>& onOutcome)
{
    HttpRequest request = context.translator.placeRequest(order);
    request.timeout = orderTimeout;
    request.freshConnection = true;
    HttpHandlers handlers;
    handlers.onResponse
        = [&context, onOutcome](const HttpResponse& response) { onOutcome(context.translator.placeOutcome(response)); };
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
    handlers.onResponse = [&context, onResult](const HttpResponse& response) {
        onResult(context.translator.pathChangeResult(response));
    };
    handlers.onFailure = [onResult](const HttpFailure&) { onResult({ OrderOutcome::Unknown, "" }); };
    context.metrics.count("orders", "kind", "path");
    if (!context.http.start(std::move(request), std::move(handlers)).ok())
        onResult({ OrderOutcome::Unknown, "" });
}

} // namespace fuchsialb
