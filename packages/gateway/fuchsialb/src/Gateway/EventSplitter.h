#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief Cuts a server-sent event stream into whole events, so that an event that broke off is never passed on.
class EventSplitter {
public:
    struct Event {
        /// The event with its closing empty line, unchanged.
        std::string text;
        std::optional<std::uint64_t> id;
    };

    /// Adds bytes as they arrive; they may be cut anywhere.
    void add(std::string_view bytes) { m_buffer += bytes; }
    /// \return The next whole event, or none yet.
    std::optional<Event> next();
    /// \return Whether bytes of an event that is not whole yet are left.
    bool hasRest() const { return !m_buffer.empty(); }
    std::size_t restSize() const { return m_buffer.size(); }

private:
    std::string m_buffer;
};

} // namespace fuchsialb
