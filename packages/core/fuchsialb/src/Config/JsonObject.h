#pragma once

#include "../Base/Reason.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsialb::internal {

/// \brief Reads the members of a JSON object strictly; the first mistake is kept in a status shared by all readers of a
/// document, and every read after it returns a default.
class JsonObject {
public:
    /// \param path Where the value is in the document, for the error.
    JsonObject(const nlohmann::json& value, std::string path, absl::Status& status);

    std::string text(std::string_view key);
    std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high);
    double number(std::string_view key);
    bool boolean(std::string_view key);
    /// \return The member, or null when it is missing.
    const nlohmann::json* member(std::string_view key);
    /// \return The entries of a member that is an object, or an empty object.
    const nlohmann::json& object(std::string_view key);
    /// Reports members that were not read.
    void finish();
    /// Reports a mistake at `key`.
    void fail(std::string_view key, std::string_view accepted);

    const std::string& path() const { return m_path; }

private:
    const nlohmann::json* m_value = nullptr;
    std::string m_path;
    absl::Status& m_status;
    std::size_t m_read = 0;
};

} // namespace fuchsialb::internal
