#include "LogBuffer.h"

#include <fmt/format.h>

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace fuchsialb {

namespace {

    // Lines beyond this are dropped and counted while standard output is not read.
    constexpr std::size_t maxBufferedBytes = 262'144;

} // namespace

LogBuffer::LogBuffer()
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL, 0);
    if (flags >= 0)
        static_cast<void>(::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK));
}

void LogBuffer::add(std::string_view line)
{
    if (m_buffer.size() + line.size() > maxBufferedBytes) {
        ++m_droppedLines;
        return;
    }
    if (m_droppedLines > 0) {
        m_buffer += fmt::format("event=log-lines-dropped count={}\n", m_droppedLines);
        m_droppedLines = 0;
    }
    m_buffer += line;
    m_buffer += '\n';
}

void LogBuffer::flush()
{
    while (!m_buffer.empty()) {
        const ssize_t written = ::write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
        if (written > 0) {
            m_buffer.erase(0, static_cast<std::size_t>(written));
            continue;
        }
        if (written < 0 && errno == EINTR)
            continue;
        // After a permanent error, such as a closed pipe, the buffer would only fill up.
        if (written < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
            m_buffer.clear();
        return;
    }
}

} // namespace fuchsialb
