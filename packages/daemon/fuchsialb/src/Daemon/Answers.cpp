#include "Answers.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace fuchsialb {

namespace {

    using nlohmann::json;

    std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

    std::int64_t milliseconds(Duration duration)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
    }

    json problemJson(const Result& result, RequestId request)
    {
        json problem = { { "type", fmt::format("urn:fuchsialb:problem:{}", reasonName(result.reason)) },
            { "title", reasonName(result.reason) }, { "status", statusOf(result) }, { "detail", result.detail },
            { "outcome", outcomeName(result.outcome) }, { "request", toHex(request.value()) } };
        if (result.retryAfter)
            problem["retry_after_ms"] = milliseconds(*result.retryAfter);
        return problem;
    }

    json choice(std::string_view text, const json& finishReason)
    {
        return json::array({ { { "index", 0 }, { "text", text }, { "finish_reason", finishReason } } });
    }

    HttpHeaders commonHeaders(Outcome outcome, RequestId request)
    {
        return { { "fuchsialb-outcome", std::string(outcomeName(outcome)) },
            { "fuchsialb-request", toHex(request.value()) } };
    }

    std::uint32_t statusOfRefusal(Reason reason)
    {
        switch (reason) {
        case Reason::InvalidInput:
        case Reason::OrganisationRequired:
            return 400;
        case Reason::OrganisationUnknown:
            return 403;
        case Reason::TargetUnknown:
            return 404;
        case Reason::BodyTooLarge:
            return 413;
        case Reason::IdempotencyKeyReused:
            return 422;
        case Reason::IdempotencyKeyRequired:
            return 428;
        case Reason::DeadlineUnreachable:
        case Reason::QueueFull:
        case Reason::Overloaded:
        case Reason::RetryBudgetExhausted:
            return 429;
        default:
            return 503;
        }
    }

} // namespace

std::uint32_t statusOf(const Result& result)
{
    switch (result.outcome) {
    case Outcome::Completed:
        return 200;
    case Outcome::NotRun:
        return statusOfRefusal(result.reason);
    case Outcome::Unknown:
        break;
    }
    if (result.reason == Reason::EarlierAttemptUnknown || result.reason == Reason::RequestInProgress)
        return 409;
    if (result.reason == Reason::DeadlineExceeded || result.reason == Reason::Timeout)
        return 504;
    return 502;
}

std::string problemDetails(const Result& result, RequestId request) { return dump(problemJson(result, request)); }

HttpResponse problemResponse(const Result& result, RequestId request)
{
    HttpResponse response;
    response.status = statusOf(result);
    response.headers = commonHeaders(result.outcome, request);
    response.headers.emplace_back("content-type", "application/problem+json");
    if (result.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*result.retryAfter).count();
        response.headers.emplace_back("retry-after", fmt::format("{}", seconds));
    }
    response.body = problemDetails(result, request);
    return response;
}

HttpResponse serviceResponse(const Result& result, RequestId request)
{
    HttpResponse response;
    response.status = result.httpStatus == 0 ? 200 : result.httpStatus;
    response.headers = commonHeaders(result.outcome, request);
    if (result.replayed)
        response.headers.emplace_back("fuchsialb-replayed", "true");
    if (!result.contentType.empty())
        response.headers.emplace_back("content-type", result.contentType);
    response.body = result.body;
    return response;
}

HttpResponse completionResponse(const Result& result, RequestId request, std::string_view model, std::string_view text)
{
    HttpResponse response;
    response.status = 200;
    response.headers = commonHeaders(result.outcome, request);
    response.headers.emplace_back("content-type", "application/json");
    if (result.replayed)
        response.headers.emplace_back("fuchsialb-replayed", "true");
    response.body = dump({ { "id", toHex(request.value()) }, { "object", "text_completion" }, { "model", model },
        { "choices", choice(text, result.finishReason) },
        { "usage", { { "completion_tokens", result.generatedTokens } } } });
    return response;
}

std::string tokenEvent(RequestId request, std::string_view model, std::string_view text)
{
    const json event = { { "id", toHex(request.value()) }, { "object", "text_completion" }, { "model", model },
        { "choices", choice(text, nullptr) } };
    return fmt::format("data: {}\n\n", dump(event));
}

std::string finalEvents(const Result& result, RequestId request, std::string_view model)
{
    if (result.outcome != Outcome::Completed)
        return fmt::format("data: {}\n\n", dump({ { "error", problemJson(result, request) } }));
    const json event = { { "id", toHex(request.value()) }, { "object", "text_completion" }, { "model", model },
        { "choices", choice("", result.finishReason) }, { "outcome", outcomeName(result.outcome) },
        { "usage", { { "completion_tokens", result.generatedTokens } } } };
    return fmt::format("data: {}\n\ndata: [DONE]\n\n", dump(event));
}

HttpHeaders streamHeaders(RequestId request)
{
    return { { "content-type", "text/event-stream" }, { "cache-control", "no-cache" },
        { "fuchsialb-request", toHex(request.value()) } };
}

} // namespace fuchsialb
