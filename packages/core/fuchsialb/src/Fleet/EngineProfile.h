#pragma once

#include "../Base/Ids.h"
#include "../Base/Units.h"

#include <cstdint>
#include <vector>

namespace fuchsialb {

/// \brief What one kind of accelerator can hold and how fast it is.
struct AcceleratorProfile {
    AcceleratorKindId kind;
    double memoryMegabytes = 0;
    /// Time of a token step relative to the engine's nominal step; 1 is nominal, more is slower.
    double stepFactor = 1;
};

/// \brief Cost model of an engine whose layers are spread over many runners. Times are for all layers together.
struct EngineProfile {
    std::uint32_t layers = 0;
    double layerMegabytes = 0;
    /// KV cache of one token over all layers, in bytes.
    double cacheBytesPerToken = 0;
    /// Requests that a runner takes at once as the first runner of their paths.
    std::uint32_t slots = 1;
    double stepMilliseconds = 0;
    double stepMillisecondsPerSequence = 0;
    double stepMillisecondsPerThousandTokens = 0;
    /// Time to load the whole model into an idle fleet.
    Duration loadTime { 0 };
    /// Hidden state of one token, passed from each stage of a path to the next one, in bytes.
    double hiddenStateBytes = 0;
    /// Link between data centres that the hidden states of all requests share, in megabits/s; 0 when it is not known.
    double linkMegabits = 0;
    std::int64_t usualPromptTokens = 0;
    std::int64_t usualOutputTokens = 0;
    std::vector<AcceleratorProfile> accelerators;

    /// \return The profile of a kind, or null when the kind is not listed.
    const AcceleratorProfile* accelerator(const AcceleratorKindId& kind) const;
    /// \return Most layers that the accelerator's memory holds, without room for any request.
    std::uint32_t mostLayers(const AcceleratorProfile& accelerator) const;
    /// \return Largest number of layers that leaves room for `tokens` tokens of KV cache in each of them.
    std::uint32_t layersWithRoom(const AcceleratorProfile& accelerator, double tokens) const;
    /// \return KV cache room, in tokens times layers, beside `held` layers.
    double cacheRoom(const AcceleratorProfile& accelerator, std::uint32_t held) const;
    /// \return Milliseconds of one token step over `count` layers with `sequences` in the batch.
    double stepTime(const AcceleratorProfile& accelerator, std::uint32_t count, double sequences) const;
    /// \return Time on the idle link between data centres of the hidden states of `tokens` tokens.
    Duration crossingTime(double tokens) const;

private:
    double cacheMegabytesPerTokenLayer() const;
};

} // namespace fuchsialb
