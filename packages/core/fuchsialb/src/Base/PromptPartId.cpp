#include "PromptPartId.h"

#include "Hash.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <charconv>

namespace fuchsialb {

namespace {

    constexpr int bitsPerDigit = 4;
    constexpr std::size_t maxDigits = 15;
    constexpr int hexadecimal = 16;
    /// Set in hashes. Above the digits of a name there is a bit as well, which tells how many there are.
    constexpr std::uint64_t hashMark = std::uint64_t(1) << 63;

    bool isDigits(std::string_view name)
    {
        return !name.empty() && name.size() <= maxDigits
            && std::all_of(name.begin(), name.end(), [](unsigned char c) { return absl::ascii_isxdigit(c); });
    }

} // namespace

PromptPartId::PromptPartId(std::string_view name)
{
    if (!isDigits(name)) {
        m_value = hash64(absl::AsciiStrToLower(absl::string_view(name.data(), name.size()))) | hashMark;
        return;
    }
    std::from_chars(name.data(), name.data() + name.size(), m_value, hexadecimal);
    m_value |= std::uint64_t(1) << (bitsPerDigit * name.size());
}

PromptPartId PromptPartId::fromValue(std::uint64_t value)
{
    PromptPartId id;
    id.m_value = value;
    return id;
}

std::string PromptPartId::text() const
{
    const int highest = static_cast<int>(std::bit_width(m_value)) - 1;
    if (highest <= 0 || highest % bitsPerDigit != 0)
        return fmt::format("#{:016x}", m_value);
    const std::uint64_t digits = m_value ^ (std::uint64_t(1) << highest);
    return fmt::format("{:0{}x}", digits, highest / bitsPerDigit);
}

} // namespace fuchsialb
