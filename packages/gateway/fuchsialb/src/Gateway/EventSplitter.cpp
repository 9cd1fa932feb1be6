#include "EventSplitter.h"

#include <absl/strings/numbers.h>

namespace fuchsialb {

namespace {

    constexpr std::string_view idField = "id:";

    std::string_view stripCarriageReturn(std::string_view line)
    {
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return line;
    }

    std::optional<std::uint64_t> parseId(std::string_view line)
    {
        if (!line.starts_with(idField))
            return std::nullopt;
        line.remove_prefix(idField.size());
        std::uint64_t id = 0;
        return absl::SimpleAtoi(std::string(line), &id) ? std::optional(id) : std::nullopt;
    }

} // namespace

std::optional<EventSplitter::Event> EventSplitter::next()
{
    // A runner that fails in mid-stream may write its error into the body, whose head ends with an empty line as well.
    constexpr std::string_view responseHead = "HTTP/1.";
    if (m_isInvalid)
        return std::nullopt;
    std::optional<std::uint64_t> id;
    std::size_t start = 0;
    bool hasField = false;
    while (true) {
        const std::size_t end = m_buffer.find('\n', start);
        if (end == std::string::npos)
            return std::nullopt;
        const std::string_view line = stripCarriageReturn(std::string_view(m_buffer).substr(start, end - start));
        start = end + 1;
        if (!line.empty()) {
            if (line.starts_with(responseHead)) {
                m_isInvalid = true;
                return std::nullopt;
            }
            hasField = true;
            if (const auto parsedId = parseId(line))
                id = parsedId;
        } else if (hasField) {
            Event event { m_buffer.substr(0, start), id };
            m_buffer.erase(0, start);
            return event;
        }
    }
}

} // namespace fuchsialb
