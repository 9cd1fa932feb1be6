#include "CapacityProbe.h"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <new>

namespace {

thread_local std::int64_t liveCount = 0;
thread_local std::int64_t peakCount = 0;

void* take(void* block)
{
    if (!block)
        std::abort();
    liveCount += static_cast<std::int64_t>(malloc_usable_size(block));
    peakCount = std::max(peakCount, liveCount);
    return block;
}

void giveBack(void* block) noexcept
{
    if (!block)
        return;
    liveCount -= static_cast<std::int64_t>(malloc_usable_size(block));
    std::free(block);
}

} // namespace

void* operator new(std::size_t size) { return take(std::malloc(size == 0 ? 1 : size)); }
void* operator new[](std::size_t size) { return take(std::malloc(size == 0 ? 1 : size)); }
void* operator new(std::size_t size, std::align_val_t alignment)
{
    const auto align = static_cast<std::size_t>(alignment);
    return take(std::aligned_alloc(align, (size + align - 1) / align * align));
}
void operator delete(void* block) noexcept { giveBack(block); }
void operator delete[](void* block) noexcept { giveBack(block); }
void operator delete(void* block, std::size_t) noexcept { giveBack(block); }
void operator delete[](void* block, std::size_t) noexcept { giveBack(block); }
void operator delete(void* block, std::align_val_t) noexcept { giveBack(block); }
void operator delete(void* block, std::size_t, std::align_val_t) noexcept { giveBack(block); }

namespace fuchsialb::bench {

double threadCpuMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

std::int64_t liveBytes() { return liveCount; }
std::int64_t peakBytes() { return peakCount; }
void resetPeakBytes() { peakCount = liveCount; }

} // namespace fuchsialb::bench
