#include "EndpointJson.h"

#include "fuchsialb/Json.h"

#include <algorithm>

namespace fuchsialb::internal {

namespace {

    using nlohmann::json;

    json stageJson(const RouteStage& stage)
    {
        return { { "endpoint", stage.address }, { "first_layer", stage.layers.first },
            { "end_layer", stage.layers.end } };
    }

    template <typename T> T numberOr(const json& object, const char* name, T fallback)
    {
        const auto it = object.find(name);
        if (it == object.end() || !it->is_number_unsigned())
            return fallback;
        return it->get<T>();
    }

    bool flag(const json& object, const char* name)
    {
        const auto it = object.find(name);
        return it != object.end() && it->is_boolean() && it->get<bool>();
    }

    std::string textOr(const json& object, const char* name)
    {
        const auto it = object.find(name);
        return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

} // namespace

std::string runBody(const StartRun& action)
{
    json route = json::array();
    for (const RouteStage& stage : action.route)
        route.push_back(stageJson(stage));
    const json body = { { "request", toHex(action.request.value()) }, { "epoch", action.epoch.value() },
        { "priority", static_cast<int>(action.rank) }, { "model", action.model.value() }, { "route", std::move(route) },
        { "prompt", action.prompt }, { "generated", action.generated }, { "resume_from", action.generated.size() },
        { "max_tokens", action.maxTokens } };
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string cancelBody(RequestId request, Epoch epoch)
{
    return json { { "request", toHex(request.value()) }, { "epoch", epoch.value() } }.dump();
}

std::string importBody(const ImportState& action)
{
    return json {
        { "request", toHex(action.request.value()) }, { "epoch", action.epoch.value() },
        { "from", action.from.address }, { "positions", action.positions }
    }.dump();
}

std::string replayBody(const ReplayState& action)
{
    return json {
        { "request", toHex(action.request.value()) }, { "epoch", action.epoch.value() }, { "to", action.to.address },
        { "positions", action.positions }
    }.dump();
}

absl::StatusOr<RunEvent> parseRunEvent(std::string_view data)
{
    const json event = parseJson(data);
    if (!event.is_object())
        return error(Reason::MalformedMessage, "the event of a run is not a JSON object");
    if (event.contains("done"))
        return RunDone { textOr(event, "finish_reason") };
    if (event.contains("error")) {
        RunError failed;
        failed.stage = numberOr<std::uint32_t>(event, "stage", 0);
        const std::string name = textOr(event, "error");
        if (name == "old-epoch")
            failed.reason = Reason::OldEpoch;
        failed.notStarted = flag(event, "not_started");
        return failed;
    }
    if (!event.contains("epoch") || !event.contains("position") || !event.contains("text"))
        return error(Reason::MalformedMessage, "the token of a run lacks epoch, position or text");
    return RunToken { Epoch(numberOr<std::uint32_t>(event, "epoch", 0)),
        numberOr<std::uint32_t>(event, "position", UINT32_MAX), textOr(event, "text") };
}

absl::StatusOr<LoadReport> parseLoad(const EndpointId& endpoint, const HttpResponse& response)
{
    const json load = parseJson(response.body);
    if (response.status != 200 || !load.is_object())
        return error(Reason::MalformedMessage, "the load report is not a JSON object");
    LoadReport report;
    report.endpoint = endpoint;
    report.running = numberOr<std::uint32_t>(load, "running", 0);
    report.waiting = numberOr<std::uint32_t>(load, "waiting", 0);
    report.step = Duration(numberOr<std::int64_t>(load, "step_us", 0));
    return report;
}

std::vector<CacheChanged> parseCacheEvents(
    const EndpointId& endpoint, const HttpResponse& response, std::uint64_t& sequence)
{
    std::vector<CacheChanged> changes;
    const json body = parseJson(response.body);
    if (response.status != 200 || !body.is_object() || !body.contains("events") || !body["events"].is_array())
        return changes;
    for (const json& event : body["events"]) {
        if (!event.is_object())
            continue;
        sequence = std::max(sequence, numberOr<std::uint64_t>(event, "sequence", 0));
        changes.push_back({ endpoint, numberOr<std::uint64_t>(event, "prefix", 0), flag(event, "held") });
    }
    return changes;
}

} // namespace fuchsialb::internal
