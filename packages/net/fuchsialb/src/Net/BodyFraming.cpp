#include "BodyFraming.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <algorithm>

namespace fuchsialb::internal {

namespace {

    /// Reads decimal digits alone; signs and lists of lengths are no length.
    std::optional<std::uint64_t> parseLength(std::string_view text)
    {
        const bool isNumber
            = !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
        std::uint64_t length = 0;
        return isNumber && absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &length)
            ? std::optional(length)
            : std::nullopt;
    }

} // namespace

bool BodyFraming::addField(std::string_view name, std::string_view value)
{
    if (name == "transfer-encoding") {
        const bool isFirst = !m_isChunked && !m_contentLength;
        m_isChunked = true;
        return isFirst && absl::EqualsIgnoreCase(absl::string_view(value.data(), value.size()), "chunked");
    }
    if (name != "content-length")
        return true;
    const auto length = parseLength(value);
    if (!length || m_isChunked || (m_contentLength && m_contentLength != length))
        return false;
    m_contentLength = length;
    return true;
}

} // namespace fuchsialb::internal
