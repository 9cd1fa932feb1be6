#include "ConfigHistory.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace fuchsialb {

std::vector<ConfigurationHead> ConfigHistory::append(const ConfigurationHead& head)
{
    if (find(head.version))
        return {};
    heads.push_back(head);
    if (heads.size() <= maxHeads)
        return {};
    const auto end = heads.begin() + static_cast<std::ptrdiff_t>(heads.size() - maxHeads);
    std::vector<ConfigurationHead> dropped(heads.begin(), end);
    heads.erase(heads.begin(), end);
    return dropped;
}

const ConfigurationHead* ConfigHistory::find(ConfigurationVersion version) const
{
    const auto found = std::find_if(
        heads.begin(), heads.end(), [&](const ConfigurationHead& head) { return head.version == version; });
    return found == heads.end() ? nullptr : &*found;
}

std::string encodeHistory(const ConfigHistory& history)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ConfigurationHead& head : history.heads)
        list.push_back(nlohmann::json::parse(encodeHead(head)));
    return list.dump();
}

absl::StatusOr<ConfigHistory> decodeHistory(std::string_view bytes)
{
    const nlohmann::json list = nlohmann::json::parse(bytes, nullptr, false);
    if (!list.is_array())
        return error(Reason::InvalidConfiguration, "the history is not a list");
    ConfigHistory history;
    for (const nlohmann::json& entry : list) {
        auto head = decodeHead(entry.dump());
        if (!head.ok())
            return head.status();
        history.heads.push_back(*std::move(head));
    }
    return history;
}

} // namespace fuchsialb
