#pragma once

#include <string_view>

namespace fuchsialb {

/// \brief Exit codes of `fuchsialb`; stable, for scripts.
enum class ExitCode : int {
    Done = 0,
    /// An error that has no code of its own.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Inventory or rules are wrong, or the stored configuration can't be read.
    InvalidInput = 3,
    /// Someone else applied a configuration; nothing was changed.
    Conflict = 4,
    /// The store or a daemon can't be reached; nothing was changed.
    Unavailable = 5,
    /// The store's answer was lost and could not be settled: the configuration may have been accepted.
    Unknown = 6,
    /// Accepted, but not seen in force everywhere within `--wait`.
    NotInForce = 7,
    /// No daemon knows what was asked for.
    NotFound = 8,
};

/// Shown by `--help`.
inline constexpr std::string_view exitCodeHelp
    = "Exit codes: 0 done, 1 other error, 2 wrong command line, 3 invalid input, 4 conflict (nothing changed),\n"
      "5 store or daemon unavailable (nothing changed), 6 outcome unknown (the store's answer was lost),\n"
      "7 accepted but not yet in force everywhere, 8 not found.\n";

} // namespace fuchsialb
