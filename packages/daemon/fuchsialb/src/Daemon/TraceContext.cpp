#include "TraceContext.h"

#include <fmt/format.h>

#include <charconv>

namespace fuchsialb {

namespace {

    constexpr std::size_t traceParentBytes = 55;

    std::optional<std::uint64_t> readHex(std::string_view text)
    {
        std::uint64_t value = 0;
        for (const char c : text) {
            if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'f')))
                return std::nullopt;
        }
        const auto result = std::from_chars(text.data(), text.data() + text.size(), value, 16);
        if (result.ec != std::errc())
            return std::nullopt;
        return value;
    }

} // namespace

std::optional<TraceContext> TraceContext::parse(std::string_view text)
{
    if (text.size() != traceParentBytes || !text.starts_with("00-") || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    const auto high = readHex(text.substr(3, 16));
    const auto low = readHex(text.substr(19, 16));
    const auto span = readHex(text.substr(36, 16));
    const auto flags = readHex(text.substr(53, 2));
    if (!high || !low || !span || !flags || (*high == 0 && *low == 0) || *span == 0)
        return std::nullopt;
    return TraceContext { { *high, *low }, *span, (*flags & 1) != 0 };
}

TraceContext TraceContext::root(Random& random, bool sampled)
{
    return { random.bits128(), random.next() | 1, sampled };
}

TraceContext TraceContext::child(Random& random) const { return { trace, random.next() | 1, sampled }; }

std::string TraceContext::text() const
{
    return fmt::format("00-{}-{:016x}-{:02x}", toHex(trace), span, sampled ? 1 : 0);
}

} // namespace fuchsialb
