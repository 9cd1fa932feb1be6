#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief Splits a server-sent event stream into complete events, so that a truncated event is never forwarded.
///
/// Each byte is read once, however the stream is split. Comments and empty lines are no events: they belong to the
/// event that follows them.
class EventSplitter {
public:
    struct Event {
        /// Unmodified text of the event, including the empty line at its end.
        std::string text;
        std::optional<std::uint64_t> id;
    };

    /// Appends received bytes, which may be split at any position.
    void add(std::string_view bytes) { m_buffer += bytes; }
    /// \return The next complete event, if any.
    std::optional<Event> next();
    /// \return Whether an event has begun and isn't complete; to be asked once `next` has returned none.
    bool hasPartialEvent() const { return m_hasField || m_lineStart < m_buffer.size(); }
    /// \return Bytes received since the last complete event.
    std::size_t bufferedSize() const { return m_buffer.size() - m_eventStart; }
    /// \return Comments and empty lines since the last event; to be taken at the end of a stream without a partial
    /// event.
    std::string takeComments();
    /// \return Whether the bytes aren't a stream of events: a line is the first one of an HTTP response. No
    ///     further event is returned.
    bool isInvalid() const { return m_isInvalid; }

private:
    void takeLine(std::string_view line);
    void discardReturned();

    std::string m_buffer;
    /// Start of the text of the next event, of the current line and of the bytes that weren't searched for its end.
    std::size_t m_eventStart = 0;
    std::size_t m_lineStart = 0;
    std::size_t m_searchStart = 0;
    std::optional<std::uint64_t> m_id;
    bool m_hasField = false;
    bool m_isInvalid = false;
};

} // namespace fuchsialb
