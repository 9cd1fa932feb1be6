#include "SystemClock.h"

#include <chrono>

namespace fuchsialb {

TimePoint SystemClock::now() const { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

std::int64_t unixMicroseconds()
{
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace fuchsialb
