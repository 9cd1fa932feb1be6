#pragma once

#include "../../Base/Clock.h"
#include "../../Base/Ids.h"
#include "../../Base/PromptPartId.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace fuchsialb {

/// A part of the prompts for one service.
using ServicePart = std::pair<TargetId, PromptPartId>;

/// \param serviceHash Hash of the service's name.
/// \return A hash of a part of the prompts for a service.
std::uint64_t servicePartHash(std::uint64_t serviceHash, PromptPartId part);

/// \brief Counts how often requests with each part of a prompt were answered lately.
///
/// Counts are halved periodically. The number of parts is bounded: while there are too many, those that were answered
/// least often are forgotten.
class AnswerCounter {
public:
    /// Records an answer to a request with these parts.
    void record(const TargetId& service, const std::vector<PromptPartId>& parts, TimePoint now);
    std::uint32_t count(const TargetId& service, PromptPartId part) const;

private:
    static constexpr std::size_t maxParts = 65'536;

    void age(TimePoint now);
    /// Makes room for another part, at most once in a while.
    bool makeRoom(TimePoint now);
    void halve();

    /// By `servicePartHash`.
    absl::flat_hash_map<std::uint64_t, std::uint32_t> m_counts;
    TimePoint m_halvedAt {};
    TimePoint m_roomMadeAt {};
};

} // namespace fuchsialb
