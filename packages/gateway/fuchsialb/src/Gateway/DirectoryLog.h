#pragma once

#include "fuchsialb/Fleet.h"
#include "fuchsialb/Net.h"

#include <string_view>
#include <vector>

namespace fuchsialb {

/// \brief Where a change of a directory view came from.
struct DirectorySource {
    /// Name of the prefix of the store, such as "runners".
    std::string_view prefix;
    /// "listing" or "watch" for this host's own calls of the store, otherwise the id of the host that sent the update.
    std::string_view from;
};

/// \brief Logs changes that move a view from one version of the store to another as one event.
/// \param changes Their number, the number of removals and the first removed keys are logged.
void logDirectoryUpdate(Logger& log, const DirectorySource& source, StoreEra era, KeyVersion from, KeyVersion to,
    const std::vector<KeyItem>& changes);

} // namespace fuchsialb
