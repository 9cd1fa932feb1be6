#pragma once

#include "../Base/Units.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <span>
#include <string_view>

namespace fuchsialb {

/// \brief What a JSON text may cost when it is read.
///
/// A tree may take some hundred bytes for each one of its text, so a limit on the text doesn't bound its memory.
struct JsonLimits {
    /// Memory of the tree, by an upper estimate.
    Bytes maxTree { 16'777'216 };
    std::size_t maxDepth = 64;
    /// Members of the outermost object that are read; others are passed over, whatever they hold. Empty for all.
    std::span<const std::string_view> members {};
};

/// \return The tree of a JSON text; a discarded value if the text is malformed or its tree exceeds the limits.
nlohmann::json parseJson(std::string_view text, const JsonLimits& limits = {});

} // namespace fuchsialb
