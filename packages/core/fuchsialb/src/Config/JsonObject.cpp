#include "JsonObject.h"

#include <fmt/format.h>

#include <limits>
#include <utility>

namespace fuchsialb::internal {

JsonObject::JsonObject(const nlohmann::json& value, std::string path, absl::Status& status)
    : m_path(std::move(path))
    , m_status(status)
{
    if (value.is_object())
        m_value = &value;
    else if (m_status.ok())
        m_status = error(Reason::InvalidConfiguration, fmt::format("{}: accepted is an object", m_path));
}

void JsonObject::fail(std::string_view key, std::string_view accepted)
{
    if (m_status.ok())
        m_status = error(Reason::InvalidConfiguration, fmt::format("{}/{}: accepted is {}", m_path, key, accepted));
}

const nlohmann::json* JsonObject::member(std::string_view key)
{
    if (!m_value)
        return nullptr;
    const auto found = m_value->find(key);
    if (found == m_value->end()) {
        fail(key, "a value; it is missing");
        return nullptr;
    }
    ++m_read;
    return &*found;
}

std::string JsonObject::text(std::string_view key)
{
    const nlohmann::json* found = member(key);
    if (found && found->is_string())
        return found->get<std::string>();
    fail(key, "a string");
    return {};
}

std::int64_t JsonObject::integer(std::string_view key, std::int64_t low, std::int64_t high)
{
    const nlohmann::json* found = member(key);
    const bool tooLarge = found && found->is_number_unsigned()
        && found->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (found && found->is_number_integer() && !tooLarge) {
        const auto value = found->get<std::int64_t>();
        if (value >= low && value <= high)
            return value;
    }
    fail(key, fmt::format("an integer from {} to {}", low, high));
    return low;
}

double JsonObject::number(std::string_view key)
{
    const nlohmann::json* found = member(key);
    if (found && found->is_number())
        return found->get<double>();
    fail(key, "a number");
    return 0;
}

bool JsonObject::boolean(std::string_view key)
{
    const nlohmann::json* found = member(key);
    if (found && found->is_boolean())
        return found->get<bool>();
    fail(key, "true or false");
    return false;
}

const nlohmann::json& JsonObject::object(std::string_view key)
{
    static const nlohmann::json empty = nlohmann::json::object();
    const nlohmann::json* found = member(key);
    if (found && found->is_object())
        return *found;
    fail(key, "an object");
    return empty;
}

void JsonObject::finish()
{
    if (m_value && m_status.ok() && m_read != m_value->size())
        m_status = error(Reason::InvalidConfiguration, fmt::format("{}: has a member that is not known", m_path));
}

} // namespace fuchsialb::internal
