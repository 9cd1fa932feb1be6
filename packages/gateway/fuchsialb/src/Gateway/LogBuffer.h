#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief Collects log lines and writes them to standard output in few calls, without ever waiting for the reader.
class LogBuffer {
public:
    /// Sets standard output to non-blocking mode.
    LogBuffer();

    void add(std::string_view line);
    /// Writes as much as the reader takes.
    void flush();

private:
    std::string m_pending;
    std::uint64_t m_dropped = 0;
};

} // namespace fuchsialb
