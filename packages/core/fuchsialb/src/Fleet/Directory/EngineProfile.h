#pragma once

#include "../../Base/Ids.h"
#include "../../Base/Units.h"

#include <cstdint>
#include <vector>

namespace fuchsialb {

/// \brief Memory and relative speed of one kind of accelerator.
struct AcceleratorProfile {
    AcceleratorKindId kind;
    double memoryMegabytes = 0;
    /// Duration of a token step relative to the engine's nominal step; 1 is nominal, larger is slower.
    double stepFactor = 1;
};

/// \brief Cost model of an engine whose layers are distributed over many runners. Times are for all layers together.
struct EngineProfile {
    /// Network hop that each stage of a path adds to every token.
    static constexpr double stageHopMilliseconds = 0.3;

    std::uint32_t layers = 0;
    double layerMegabytes = 0;
    /// KV cache of one token in all layers, in bytes.
    double cacheBytesPerToken = 0;
    /// Maximum number of concurrent requests for which a runner is the first stage.
    std::uint32_t slots = 1;
    /// Maximum number of stages of a path that runners accept.
    std::uint32_t maxStages = 32;
    /// Tokens that an event of a stream holds.
    std::uint32_t tokensPerEvent = 1;
    double stepMilliseconds = 0;
    double stepMillisecondsPerSequence = 0;
    double stepMillisecondsPerThousandTokens = 0;
    /// Time to load the whole model into an idle fleet.
    Duration loadTime { 0 };
    /// Hidden state of one token, sent from each stage of a path to the next one, in bytes.
    double hiddenStateBytes = 0;
    /// Bandwidth of the link between data centres, which all requests share, in megabits/s; 0 if unknown.
    double linkMegabits = 0;
    std::int64_t usualPromptTokens = 0;
    std::int64_t usualOutputTokens = 0;
    std::vector<AcceleratorProfile> accelerators;

    /// \return The profile of `kind`, or null when it is not listed.
    const AcceleratorProfile* accelerator(const AcceleratorKindId& kind) const;
    /// \return Maximum number of layers that fit in the accelerator's memory, with no KV cache left.
    std::uint32_t maxLayers(const AcceleratorProfile& accelerator) const;
    /// \return Maximum number of layers that fit together with `tokens` tokens of KV cache in each of them.
    std::uint32_t maxLayersWithCache(const AcceleratorProfile& accelerator, double tokens) const;
    /// \return KV cache capacity left beside `heldLayers` layers, in tokens times layers.
    double cacheCapacity(const AcceleratorProfile& accelerator, std::uint32_t heldLayers) const;
    /// \return Duration of one token step over `count` layers with `sequences` in the batch, in milliseconds.
    double stepTime(const AcceleratorProfile& accelerator, std::uint32_t count, double sequences) const;
    /// \return Usual number of tokens of a request at its end, at least 1.
    double usualTokens() const;
    /// \return Time to transfer the hidden states of `tokens` tokens over the idle link between data centres.
    Duration linkTransferTime(double tokens) const;

private:
    double cacheMegabytesPerTokenLayer() const;
};

} // namespace fuchsialb
