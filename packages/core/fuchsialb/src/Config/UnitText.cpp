#include "UnitText.h"

#include <absl/strings/numbers.h>

#include <cmath>
#include <cstdint>

namespace fuchsialb {

namespace {

    struct Unit {
        std::string_view name;
        double factor;
    };

    constexpr Unit durationUnits[]
        = { { "ns", 1 }, { "us", 1e3 }, { "ms", 1e6 }, { "s", 1e9 }, { "min", 60e9 }, { "h", 3600e9 } };
    constexpr Unit sizeUnits[] = { { "", 1 }, { "B", 1 }, { "kB", 1e3 }, { "MB", 1e6 }, { "GB", 1e9 },
        { "KiB", 0x1p10 }, { "MiB", 0x1p20 }, { "GiB", 0x1p30 } };
    constexpr Unit rateUnits[] = { { "bit/s", 1.0 / 8 }, { "kbit/s", 1e3 / 8 }, { "Mbit/s", 1e6 / 8 },
        { "Gbit/s", 1e9 / 8 }, { "Tbit/s", 1e12 / 8 }, { "B/s", 1 }, { "kB/s", 1e3 }, { "MB/s", 1e6 }, { "GB/s", 1e9 },
        { "KiB/s", 0x1p10 }, { "MiB/s", 0x1p20 }, { "GiB/s", 0x1p30 } };

    /// \return The number in the smallest unit.
    template <std::size_t size> std::optional<double> quantity(std::string_view text, const Unit (&units)[size])
    {
        const std::size_t length = std::min(text.find_first_not_of("0123456789."), text.size());
        double value = 0;
        if (length == 0 || !absl::SimpleAtod(absl::string_view(text.data(), length), &value))
            return std::nullopt;
        std::string_view name = text.substr(length);
        if (name.size() > 1 && name.front() == ' ')
            name.remove_prefix(1);
        for (const Unit& unit : units) {
            if (unit.name == name)
                return value * unit.factor;
        }
        return std::nullopt;
    }

    /// \return The whole number that `value` is, up to rounding errors of the multiplication by the unit.
    std::optional<std::int64_t> whole(std::optional<double> value)
    {
        constexpr double largest = 0x1p62;
        constexpr double rounding = 1e-6;
        if (!value || !(*value < largest) || std::abs(*value - std::round(*value)) > rounding)
            return std::nullopt;
        return std::llround(*value);
    }

} // namespace

std::optional<std::chrono::nanoseconds> durationFromText(std::string_view text)
{
    const std::optional<std::int64_t> value = whole(quantity(text, durationUnits));
    if (!value)
        return std::nullopt;
    return std::chrono::nanoseconds(*value);
}

std::optional<Bytes> bytesFromText(std::string_view text)
{
    const std::optional<std::int64_t> value = whole(quantity(text, sizeUnits));
    if (!value)
        return std::nullopt;
    return Bytes(*value);
}

std::optional<BytesPerSecond> rateFromText(std::string_view text)
{
    const std::optional<double> value = quantity(text, rateUnits);
    if (!value || !std::isfinite(*value))
        return std::nullopt;
    return BytesPerSecond(*value);
}

} // namespace fuchsialb
