#include "DirectoryLog.h"

#include <cstdint>
#include <string>

namespace fuchsialb {

namespace {

    constexpr std::int64_t maxLoggedKeys = 4;

} // namespace

void logDirectoryUpdate(Logger& log, const DirectorySource& source, StoreEra era, KeyVersion from, KeyVersion to,
    const std::vector<KeyItem>& changes)
{
    std::int64_t removals = 0;
    std::string removed;
    for (const KeyItem& change : changes) {
        if (!change.removed)
            continue;
        if (++removals <= maxLoggedKeys)
            removed += (removed.empty() ? "" : ",") + change.key;
    }
    LogLine line("directory-update");
    line.add("prefix", source.prefix).add("source", source.from);
    line.add("era", static_cast<std::int64_t>(era.value()));
    line.add("from", static_cast<std::int64_t>(from.value())).add("to", static_cast<std::int64_t>(to.value()));
    line.add("changes", static_cast<std::int64_t>(changes.size())).add("removals", removals);
    if (removals > 0)
        line.add("removed", removed);
    log.log(line);
}

} // namespace fuchsialb
