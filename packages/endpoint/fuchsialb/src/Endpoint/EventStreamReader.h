#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief Splits a server-sent event stream into the data of its events; comments are passed over.
class EventStreamReader {
public:
    /// \param onData Called with each "data:" line, without its field name.
    explicit EventStreamReader(std::function<void(std::string_view data)> onData);

    /// \param piece Bytes as they arrive; lines may be cut anywhere.
    /// \return False when a line is longer than 1 MiB; nothing more is read then.
    bool read(std::string_view piece);

private:
    void line(std::string_view text);

    std::function<void(std::string_view data)> m_onData;
    std::string m_partial;
};

} // namespace fuchsialb
