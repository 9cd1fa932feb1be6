#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace fuchsialb {

/// \brief Builds one key=value line; values with spaces, quotes or control characters are quoted and escaped.
class LogLine {
public:
    explicit LogLine(std::string_view event);

    LogLine& add(std::string_view key, std::string_view value);
    LogLine& add(std::string_view key, std::int64_t value);

    const std::string& event() const { return m_event; }
    const std::string& text() const { return m_text; }

private:
    std::string m_event;
    std::string m_text;
};

/// \brief Writes one line for each event, at a bounded rate for each event name.
class Logger {
public:
    using Sink = std::function<void(std::string_view line)>;
    using Now = std::function<std::int64_t()>;

    /// \param linesPerSecond Most lines of one event name in a second; what is left out is counted and reported.
    /// \param now Microseconds since the Unix epoch.
    Logger(Sink sink, Now now, std::uint32_t linesPerSecond);

    void log(const LogLine& line);

private:
    struct Window {
        std::int64_t second = 0;
        std::uint32_t lines = 0;
        std::uint64_t dropped = 0;
    };

    Sink m_sink;
    Now m_now;
    std::uint32_t m_linesPerSecond;
    std::mutex m_mutex;
    std::map<std::string, Window, std::less<>> m_windows;
};

/// \return A sink that writes to standard error.
Logger::Sink standardErrorSink();

/// \return `value`, quoted and escaped when it is not a plain word.
std::string escapeLogValue(std::string_view value);

} // namespace fuchsialb
