#include "StageStep.h"

namespace fuchsialb::standins {

Json StageStep::toJson() const
{
    return { { "request", request }, { "epoch", epoch }, { "priority", priority }, { "kind", kind },
        { "position", position }, { "truncate", truncate }, { "last", last }, { "hidden", hidden },
        { "prefixes", prefixes }, { "route", route }, { "stage", stage } };
}

StageStep StageStep::fromJson(const Json& content)
{
    StageStep step;
    step.request = field<std::string>(content, "request", {});
    step.epoch = field(content, "epoch", 0U);
    step.priority = priorityOf(content);
    step.kind = field<std::string>(content, "kind", "decode");
    step.position = field<std::size_t>(content, "position", 0);
    step.truncate = field(content, "truncate", false);
    step.last = field(content, "last", false);
    step.hidden = field(content, "hidden", step.hidden);
    step.prefixes = field(content, "prefixes", step.prefixes);
    step.route = field(content, "route", Json::array());
    step.stage = field<std::size_t>(content, "stage", 0);
    return step;
}

std::string stageAddress(const Json& route, std::size_t index)
{
    if (!route.is_array() || index >= route.size())
        return {};
    return field(route[index], "address", field<std::string>(route[index], "endpoint", {}));
}

std::uint32_t priorityOf(const Json& content)
{
    if (const auto rank = rankFromName(field<std::string>(content, "priority", {})))
        return static_cast<std::uint32_t>(*rank);
    return field(content, "priority", 0U);
}

} // namespace fuchsialb::standins
