#include "Logger.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace fuchsialb {

namespace {

    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    // Longer values are cut so that a caller's header can't fill the log.
    constexpr std::size_t maxValueBytes = 256;

    bool isPlain(char c)
    {
        return c > ' ' && c != '"' && c != '\\' && c != '=' && static_cast<unsigned char>(c) < 0x7f;
    }

} // namespace

std::string escapeLogValue(std::string_view value)
{
    const std::string_view kept = value.substr(0, maxValueBytes);
    if (!kept.empty() && kept.size() == value.size() && std::all_of(kept.begin(), kept.end(), isPlain))
        return std::string(kept);
    std::string escaped = "\"";
    for (const char c : kept) {
        if (c == '"' || c == '\\')
            escaped += fmt::format("\\{}", c);
        else if (c == ' ' || c == '=' || isPlain(c))
            escaped += c;
        else
            escaped += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    }
    escaped += kept.size() == value.size() ? "\"" : "...\"";
    return escaped;
}

LogLine::LogLine(std::string_view event)
    : m_event(event)
    , m_text(fmt::format("event={}", escapeLogValue(event)))
{
}

LogLine& LogLine::add(std::string_view key, std::string_view value)
{
    fmt::format_to(std::back_inserter(m_text), " {}={}", key, escapeLogValue(value));
    return *this;
}

LogLine& LogLine::add(std::string_view key, std::int64_t value)
{
    fmt::format_to(std::back_inserter(m_text), " {}={}", key, value);
    return *this;
}

Logger::Logger(Sink sink, Now now, std::uint32_t linesPerSecond)
    : m_sink(std::move(sink))
    , m_now(std::move(now))
    , m_linesPerSecond(linesPerSecond)
{
}

void Logger::log(const LogLine& line)
{
    const std::int64_t time = m_now();
    const std::int64_t second = time / microsecondsPerSecond;
    std::uint64_t dropped = 0;
    {
        const std::lock_guard lock(m_mutex);
        Window& window = m_windows[line.event()];
        if (window.second != second) {
            dropped = std::exchange(window.dropped, 0);
            window.second = second;
            window.lines = 0;
        }
        if (window.lines >= m_linesPerSecond) {
            ++window.dropped;
            return;
        }
        ++window.lines;
    }
    std::string text = fmt::format("time_us={} {}", time, line.text());
    if (dropped > 0)
        text += fmt::format(" dropped_before={}", dropped);
    m_sink(text);
}

Logger::Sink standardErrorSink()
{
    return [](std::string_view line) { fmt::print(stderr, "{}\n", line); };
}

} // namespace fuchsialb
