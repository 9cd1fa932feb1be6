#pragma once

#include "Json.h"

#include <string>
#include <vector>

namespace fuchsialb::standins {

/// \brief One step of a request on one stage: one position when decoding, several in a prefill or a replay.
struct StageStep {
    std::string request;
    std::uint32_t epoch = 0;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// "decode", "prefill" or "replay"; a replay rebuilds the state and goes no further.
    std::string kind = "decode";
    /// Position of the first hidden state, counted from the start of the prompt.
    std::size_t position = 0;
    /// The stage drops its state behind `position` first; without it only the next position is accepted.
    bool truncate = false;
    /// The request needs no later step.
    bool last = false;
    std::vector<std::uint64_t> hidden;
    /// Names of the prompt's prefixes for cache events: hashes of the text.
    std::vector<std::uint64_t> prefixes;
    /// The route of the run and this stage's index in it.
    Json route = Json::array();
    std::size_t stage = 0;

    std::size_t end() const { return position + hidden.size(); }
    bool isLastStage() const { return stage + 1 >= route.size(); }

    Json toJson() const;
    static StageStep fromJson(const Json& content);
};

/// \return The address of stage `index` of a route.
std::string stageAddress(const Json& route, std::size_t index);

/// \return A priority given as a number or as the name of a rank.
std::uint32_t priorityOf(const Json& content);

} // namespace fuchsialb::standins
