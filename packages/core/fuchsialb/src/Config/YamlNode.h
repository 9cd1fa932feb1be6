#pragma once

#include "InputError.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fuchsialb::internal {

/// \brief A value of a YAML document with its place.
struct YamlNode {
    enum class Kind : unsigned char {
        Null,
        Scalar,
        Sequence,
        Map,
    };

    Kind kind = Kind::Null;
    std::string scalar;
    SourcePosition at;
    /// Items of a sequence; keys and values of a map in turn.
    std::vector<YamlNode> children;

    bool isScalar() const { return kind == Kind::Scalar; }
    bool isMap() const { return kind == Kind::Map; }
};

/// \brief Why a text is not one YAML document within the bounds.
struct YamlFault {
    SourcePosition at;
    std::string read;
    std::string accepted;
};

/// \brief Parses exactly one document by yaml-cpp's events.
///
/// `YAML::LoadAll` is not used: it returns documents without end for a comma outside of a list. Aliases are refused and
/// the depth and the number of nodes are bounded.
std::variant<YamlNode, YamlFault> parseYaml(std::string_view text);

} // namespace fuchsialb::internal
