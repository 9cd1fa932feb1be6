#include "LogBuffer.h"

#include <fmt/format.h>

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace fuchsialb {

namespace {

    // Lines beyond this are dropped and counted while nobody reads the output.
    constexpr std::size_t maxPendingBytes = 262'144;

} // namespace

LogBuffer::LogBuffer()
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL, 0);
    if (flags >= 0)
        static_cast<void>(::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK));
}

void LogBuffer::add(std::string_view line)
{
    if (m_pending.size() + line.size() > maxPendingBytes) {
        ++m_dropped;
        return;
    }
    if (m_dropped > 0) {
        m_pending += fmt::format("event=log-lines-dropped count={}\n", m_dropped);
        m_dropped = 0;
    }
    m_pending += line;
    m_pending += '\n';
}

void LogBuffer::flush()
{
    while (!m_pending.empty()) {
        const ssize_t written = ::write(STDOUT_FILENO, m_pending.data(), m_pending.size());
        if (written > 0) {
            m_pending.erase(0, static_cast<std::size_t>(written));
            continue;
        }
        if (written < 0 && errno == EINTR)
            continue;
        // A reader that is gone for good must not let the buffer fill for ever.
        if (written < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
            m_pending.clear();
        return;
    }
}

} // namespace fuchsialb
