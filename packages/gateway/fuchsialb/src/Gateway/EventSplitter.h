#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief Splits a server-sent event stream into complete events, so that a truncated event is never forwarded.
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
    /// \return Whether the buffer is not empty: once `next` has returned none, it holds an incomplete event.
    bool hasPartialEvent() const { return !m_buffer.empty(); }
    std::size_t bufferedSize() const { return m_buffer.size(); }
    /// \return Whether the bytes aren't a stream of events: a line is the first one of an HTTP response. No
    ///     further event is returned.
    bool isInvalid() const { return m_isInvalid; }

private:
    std::string m_buffer;
    bool m_isInvalid = false;
};

} // namespace fuchsialb
