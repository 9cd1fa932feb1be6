#include "EventSplitter.h"

#include <absl/strings/numbers.h>

#include <utility>

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
    while (!m_isInvalid) {
        const std::size_t end = m_buffer.find('\n', m_searchStart);
        if (end == std::string::npos) {
            m_searchStart = m_buffer.size();
            break;
        }
        const std::string_view line
            = stripCarriageReturn(std::string_view(m_buffer).substr(m_lineStart, end - m_lineStart));
        m_lineStart = m_searchStart = end + 1;
        if (!line.empty()) {
            takeLine(line);
        } else if (m_hasField) {
            Event event { m_buffer.substr(m_eventStart, m_lineStart - m_eventStart), m_id };
            m_eventStart = m_lineStart;
            m_id.reset();
            m_hasField = false;
            return event;
        }
    }
    discardReturned();
    return std::nullopt;
}

void EventSplitter::takeLine(std::string_view line)
{
    // A runner that fails in mid-stream may write its error into the body, whose head ends with an empty line as well.
    constexpr std::string_view responseHead = "HTTP/1.";
    constexpr char commentMark = ':';
    m_isInvalid = line.starts_with(responseHead);
    m_hasField = m_hasField || line.front() != commentMark;
    if (const auto id = parseId(line))
        m_id = id;
}

void EventSplitter::discardReturned()
{
    m_buffer.erase(0, m_eventStart);
    m_lineStart -= m_eventStart;
    m_searchStart -= m_eventStart;
    m_eventStart = 0;
}

std::string EventSplitter::takeComments()
{
    m_lineStart = m_searchStart = 0;
    return std::exchange(m_buffer, {});
}

} // namespace fuchsialb
