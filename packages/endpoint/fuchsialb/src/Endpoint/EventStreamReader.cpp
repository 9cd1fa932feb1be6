#include "EventStreamReader.h"

#include <utility>

namespace fuchsialb {

namespace {

    constexpr std::size_t maxLineBytes = 1'048'576;
    constexpr std::string_view dataField = "data:";

} // namespace

EventStreamReader::EventStreamReader(std::function<void(std::string_view data)> onData)
    : m_onData(std::move(onData))
{
}

bool EventStreamReader::read(std::string_view piece)
{
    while (!piece.empty()) {
        const std::size_t end = piece.find('\n');
        if (end == std::string_view::npos) {
            m_partial += piece;
            return m_partial.size() <= maxLineBytes;
        }
        m_partial += piece.substr(0, end);
        piece.remove_prefix(end + 1);
        const std::string whole = std::exchange(m_partial, {});
        line(whole);
    }
    return true;
}

void EventStreamReader::line(std::string_view text)
{
    if (text.ends_with('\r'))
        text.remove_suffix(1);
    if (!text.starts_with(dataField))
        return;
    text.remove_prefix(dataField.size());
    if (text.starts_with(' '))
        text.remove_prefix(1);
    m_onData(text);
}

} // namespace fuchsialb
