#pragma once

#include "../Router/Request.h"
#include "PrefixIndex.h"
#include "RecoveryPlanner.h"

#include <deque>
#include <string>
#include <vector>

namespace fuchsialb::internal {

/// \brief The run of a model request over its epochs: its tokens, its route and its recovery.
struct ModelRun {
    /// Far above the recoveries of one submission.
    static constexpr std::uint32_t epochsPerSubmission = 1U << 16;

    Epoch epoch { 0 };
    /// Tokens that the caller has.
    std::vector<std::string> generated;
    std::vector<RouteStage> route;
    std::vector<PrefixIndex::Prefix> prefixes;
    /// Stages of `route` whose state is being rebuilt; empty once the epoch has yielded a token.
    std::vector<std::size_t> rebuilding;
    /// Ways to rebuild that were not tried yet, cheapest first.
    std::deque<RecoveryOption> options;
    /// A state move is in progress; the run of the epoch is not started yet.
    bool moving = false;
    std::uint32_t recoveries = 0;
    /// Recoveries since the last token.
    std::uint32_t fruitlessRecoveries = 0;
    std::size_t tokensAtRecovery = 0;

    TimePoint lastProgress {};
    /// Longest time without progress before the run counts as failed.
    Duration silenceBound { 0 };
    /// The same once the epoch has yielded a token.
    Duration tokenSilenceBound { 0 };

    void countRecovery()
    {
        ++recoveries;
        if (generated.size() > tokensAtRecovery)
            fruitlessRecoveries = 0;
        ++fruitlessRecoveries;
        tokensAtRecovery = generated.size();
    }

    bool accepts(Epoch of, std::uint32_t position) const
    {
        return !moving && of == epoch && position == generated.size();
    }

    /// Takes over what the caller has from an earlier submission. Each submission has its own range of epochs, so that
    /// engines refuse what an earlier scheduler still sends.
    void resume(const Request& request)
    {
        epoch = Epoch((request.submission - 1) * epochsPerSubmission);
        generated = request.generated;
    }

    /// Engines refuse all older epochs from the next start on.
    void nextEpoch() { epoch = Epoch(epoch.value() + 1); }
};

} // namespace fuchsialb::internal
