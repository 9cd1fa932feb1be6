#pragma once

#include "Rules.h"

#include <cstddef>
#include <string_view>

namespace fuchsialb {

/// \brief Reads the rules, a YAML file with exactly one document. Unknown and repeated keys are errors.
class RulesParser {
public:
    struct Limits {
        std::size_t maxFile = std::size_t { 4 } * 1024 * 1024;
    };

    /// \param text The whole file.
    /// \param file Its name, for errors.
    static Parsed<Rules> parse(std::string_view text, std::string_view file, Limits limits);
    static Parsed<Rules> parse(std::string_view text, std::string_view file) { return parse(text, file, Limits()); }
};

} // namespace fuchsialb
