#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief Buffers log lines and writes them to standard output in batches, without blocking on a slow reader.
class LogBuffer {
public:
    /// Sets standard output to non-blocking mode.
    LogBuffer();

    void add(std::string_view line);
    /// Writes as much as standard output accepts without blocking.
    void flush();

private:
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
};

} // namespace fuchsialb
