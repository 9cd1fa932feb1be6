#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief A part of a prompt; requests whose prompts share the part have the same id.
///
/// Takes eight bytes whatever the length of the name that callers give to the part, since a prompt may have many parts.
/// Names of up to fifteen hexadecimal digits can be told from the id; of others it holds a hash.
class PromptPartId {
public:
    PromptPartId() = default;
    /// \param name Compared whatever the case of its letters.
    explicit PromptPartId(std::string_view name);
    /// \param value That of another id.
    static PromptPartId fromValue(std::uint64_t value);

    std::uint64_t value() const { return m_value; }
    /// \return The name, or "#" and the hash as hexadecimal digits.
    std::string text() const;

    auto operator<=>(const PromptPartId&) const = default;
    bool operator==(const PromptPartId&) const = default;

private:
    std::uint64_t m_value = 0;
};

} // namespace fuchsialb
