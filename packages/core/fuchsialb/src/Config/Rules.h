#pragma once

#include "Configuration.h"
#include "ConfigurationCheck.h"
#include "InputError.h"

#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace fuchsialb {

/// \brief The rules as read, before they are checked against the inventory.
struct Rules {
    /// Kind of the entry, its id and its field; the field is empty for the entry itself.
    using Place = std::tuple<EntryKind, std::string, std::string>;

    std::string file;
    /// Everything but the endpoints and the version.
    Configuration values;
    std::map<Place, SourcePosition> positions;

    /// \return Where the field is, or its entry, or the beginning of the file when the rules leave both out.
    SourcePosition position(EntryKind kind, const std::string& id, const std::string& field) const;
};

/// \return What a rank is promised where the rules say nothing.
RankRule defaultRankRule(Rank rank);

} // namespace fuchsialb
