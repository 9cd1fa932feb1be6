#pragma once

#include "Environment.h"
#include "ExitCode.h"

#include "fuchsialb/Config.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb {

/// \brief What a command prints: lines of text as they come, or one JSON object at the end.
class Report {
public:
    Report(const Environment& environment, bool json);

    /// Prints a line in text mode.
    void line(std::string_view text);
    /// Adds a member of the JSON object.
    void set(const std::string& name, nlohmann::json value);
    /// Appends to a member of the JSON object that is an array.
    void append(const std::string& name, nlohmann::json value);
    /// Reports an error: in text mode on standard error.
    void fail(const absl::Status& status);
    void fail(const std::vector<InputError>& errors);
    /// Prints the JSON object, with the exit code, in JSON mode.
    ExitCode finish(ExitCode code);

private:
    const Environment& m_environment;
    bool m_json;
    nlohmann::json m_object = nlohmann::json::object();
};

/// \return The exit code for an error of the store, a daemon or the input.
ExitCode exitCodeOf(const absl::Status& status);

} // namespace fuchsialb
