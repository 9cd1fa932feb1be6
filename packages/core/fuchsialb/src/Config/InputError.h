#pragma once

#include "../Base/Reason.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb {

/// \brief Place in an input file; both numbers begin at 1 and columns count characters.
struct SourcePosition {
    std::uint32_t line = 1;
    std::uint32_t column = 1;

    auto operator<=>(const SourcePosition&) const = default;
    bool operator==(const SourcePosition&) const = default;
};

/// \brief One mistake in what operators supply.
struct InputError {
    std::string file;
    std::uint32_t line = 1;
    std::uint32_t column = 1;
    /// What the file has there, as it is.
    std::string read;
    /// What would be accepted instead.
    std::string accepted;
    /// `InvalidInventory`, `InvalidRules`, `InvalidConfiguration` (the two don't fit together) or `BodyTooLarge`.
    Reason reason = Reason::InvalidInput;

    bool operator==(const InputError&) const = default;
};

/// \return "file:line:column: read '...', accepted is ... [reason]" on one line, with control characters of what was
/// read escaped.
std::string describe(const InputError& error);

/// \return `text` with control characters, quotes and backslashes escaped, cut off after `maxLength` characters.
std::string printable(std::string_view text, std::size_t maxLength);

/// \brief A value, or every mistake that kept it from being produced.
template <typename T> struct Parsed {
    /// Empty when there is an error.
    std::optional<T> value;
    /// In the order of the file.
    std::vector<InputError> errors;

    bool ok() const { return value.has_value(); }
};

/// \brief Collects the errors of one file, up to a bound.
class InputErrors {
public:
    /// Errors beyond this number are counted and not listed.
    static constexpr std::size_t maxListed = 1000;

    InputErrors(std::string file, Reason reason);

    void add(SourcePosition at, std::string_view read, std::string_view accepted);
    void add(SourcePosition at, std::string_view read, std::string_view accepted, Reason reason);
    bool empty() const { return m_errors.empty(); }
    /// \return The errors by position; the last one says how many more there are, if any.
    std::vector<InputError> take();

private:
    std::string m_file;
    Reason m_reason;
    std::vector<InputError> m_errors;
    std::size_t m_unlisted = 0;
};

} // namespace fuchsialb
