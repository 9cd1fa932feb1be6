#pragma once

#include "Environment.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fuchsialb {

enum class Command : unsigned char {
    Help,
    ConfigCheck,
    ConfigDiff,
    ConfigApply,
    ConfigShow,
    ConfigHistory,
    Status,
    Drain,
    Explain,
};

/// \brief The command line, with flags that are not given taken from environment variables of the same name.
struct Settings {
    Command command = Command::Help;
    /// "http://IP:port", or empty.
    std::string store;
    /// "http://IP:port" of each daemon's admin listener.
    std::vector<std::string> admin;
    std::string inventory;
    std::string rules;
    /// The version that the operator saw.
    std::optional<std::uint64_t> expect;
    /// An earlier version to show or to compare with.
    std::optional<std::uint64_t> version;
    /// How long `config apply` waits for the configuration to be in force.
    Duration wait { std::chrono::seconds(6) };
    /// Longest time of one HTTP call.
    Duration timeout { std::chrono::seconds(2) };
    bool json = false;
    /// What `explain` asks for: "request", "host" or "runner", and its id.
    std::string subject;
    std::string subjectId;
};

/// \return `InvalidFlag` with what was read and what is accepted.
absl::StatusOr<Settings> parseSettings(const std::vector<std::string>& arguments, const Environment& environment);

/// \return The text of `--help`.
std::string helpText();

} // namespace fuchsialb
