#include "EngineProfile.h"

#include <algorithm>
#include <cmath>

namespace fuchsialb {

namespace {

    constexpr double bytesPerMegabyte = 1e6;

} // namespace

const AcceleratorProfile* EngineProfile::accelerator(const AcceleratorKindId& kind) const
{
    const auto found = std::find_if(accelerators.begin(), accelerators.end(),
        [&](const AcceleratorProfile& profile) { return profile.kind == kind; });
    return found == accelerators.end() ? nullptr : &*found;
}

double EngineProfile::cacheMegabytesPerTokenLayer() const
{
    return layers == 0 ? 0 : cacheBytesPerToken / layers / bytesPerMegabyte;
}

std::uint32_t EngineProfile::maxLayers(const AcceleratorProfile& accelerator) const
{
    return maxLayersWithCache(accelerator, 0);
}

std::uint32_t EngineProfile::maxLayersWithCache(const AcceleratorProfile& accelerator, double tokens) const
{
    const double megabytesPerLayer = layerMegabytes + tokens * cacheMegabytesPerTokenLayer();
    if (megabytesPerLayer <= 0)
        return 0;
    return std::min(layers, static_cast<std::uint32_t>(accelerator.memoryMegabytes / megabytesPerLayer));
}

double EngineProfile::cacheCapacity(const AcceleratorProfile& accelerator, std::uint32_t heldLayers) const
{
    const double perTokenLayer = cacheMegabytesPerTokenLayer();
    if (perTokenLayer <= 0)
        return 0;
    return std::max(0.0, accelerator.memoryMegabytes - heldLayers * layerMegabytes) / perTokenLayer;
}

double EngineProfile::stepTime(const AcceleratorProfile& accelerator, std::uint32_t count, double sequences) const
{
    if (layers == 0)
        return 0;
    constexpr double tokensPerThousand = 1000;
    // On average, half of the output has been generated.
    const double tokens = static_cast<double>(usualPromptTokens) + static_cast<double>(usualOutputTokens) / 2;
    const double context = sequences * tokens / tokensPerThousand;
    const double allLayers
        = stepMilliseconds + sequences * stepMillisecondsPerSequence + context * stepMillisecondsPerThousandTokens;
    return allLayers * accelerator.stepFactor * count / layers;
}

double EngineProfile::usualTokens() const
{
    return std::max(1.0, static_cast<double>(usualPromptTokens + usualOutputTokens));
}

Duration EngineProfile::linkTransferTime(double tokens) const
{
    if (linkMegabits <= 0)
        return Duration(0);
    constexpr double bitsPerByte = 8;
    const std::chrono::duration<double> time(
        tokens * hiddenStateBytes * bitsPerByte / (linkMegabits * bytesPerMegabyte));
    return std::chrono::duration_cast<Duration>(time);
}

} // namespace fuchsialb
