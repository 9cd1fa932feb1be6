#pragma once

#include "fuchsialb/Config.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb {

inline constexpr std::string_view configurationHistoryKey = "config/history";

/// \brief Heads that were in force before the present one, oldest first: one bounded value of the store.
struct ConfigHistory {
    /// Older heads are dropped, and chunks that only they name are deleted.
    static constexpr std::size_t maxHeads = 100;

    std::vector<ConfigurationHead> heads;

    /// Appends a head unless its version is listed.
    /// \return The heads that were dropped.
    std::vector<ConfigurationHead> append(const ConfigurationHead& head);
    /// \return The head of that version, or null.
    const ConfigurationHead* find(ConfigurationVersion version) const;
};

std::string encodeHistory(const ConfigHistory& history);
/// \return `InvalidConfiguration` when the bytes are no history.
absl::StatusOr<ConfigHistory> decodeHistory(std::string_view bytes);

} // namespace fuchsialb
