#pragma once

#include "../Base/Units.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace fuchsialb {

/// \param text A number and one of ns, us, ms, s, min, h, such as "720ms" or "1.5 s".
/// \return Empty when the text is anything else, or not a whole number of nanoseconds.
std::optional<std::chrono::nanoseconds> durationFromText(std::string_view text);

/// \param text A number and one of B, kB, MB, GB, KiB, MiB, GiB; a number alone is in bytes.
/// \return Empty when the text is anything else, or not a whole number of bytes.
std::optional<Bytes> bytesFromText(std::string_view text);

/// \param text A number and one of bit/s, kbit/s, Mbit/s, Gbit/s, Tbit/s, B/s, kB/s, MB/s, GB/s, KiB/s, MiB/s, GiB/s.
std::optional<BytesPerSecond> rateFromText(std::string_view text);

} // namespace fuchsialb
