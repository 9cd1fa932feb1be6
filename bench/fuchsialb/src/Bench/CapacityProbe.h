#pragma once

#include <cstdint>

namespace fuchsialb::bench {

/// \return CPU time of the calling thread, in microseconds.
double threadCpuMicroseconds();

/// \return Bytes of live heap blocks of the calling thread, as the allocator sized them. Counted by replacements of
/// the global operators new and delete, so memory that C libraries allocate is left out.
std::int64_t liveBytes();

/// \return The most that `liveBytes` was since the last `resetPeakBytes`.
std::int64_t peakBytes();
void resetPeakBytes();

} // namespace fuchsialb::bench
