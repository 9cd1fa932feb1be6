#pragma once

#include "../Base/Ids.h"
#include "../Base/Outcome.h"
#include "../Base/Rank.h"
#include "../Base/Reason.h"
#include "../Base/Units.h"
#include "../Config/Configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief A caller's request as the entry daemon understood it.
struct Request {
    RequestId id;
    OrganisationId organisation;
    Rank rank = Rank::Recording;
    TargetKind kind = TargetKind::Model;
    TargetId target;
    /// Time that the caller still waits, from the moment of arrival; none when the caller states no deadline.
    std::optional<Duration> timeLeft;
    bool idempotent = true;
    /// Empty when the caller sent none.
    std::string idempotencyKey;
    std::uint64_t bodyDigest = 0;
    /// W3C traceparent of the span that this hop belongs to.
    std::string traceParent;
    /// How often the entry daemon has submitted the request, from 1 on. Epochs of a later submission are above those of
    /// an earlier one, so engines refuse what is left of the earlier one.
    std::uint32_t submission = 1;

    /// Model only.
    std::string prompt;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    /// Tokens that the caller already has from an earlier submission; the run goes on behind them.
    std::vector<std::string> generated;

    /// Plain service only.
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;

    bool operator==(const Request&) const = default;
};

/// \brief How a request ended, with all that its caller is told.
struct Result {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::Internal;
    /// Read by a person; empty when the reason says it all.
    std::string detail;
    /// When the caller should come back; none when coming back does not help.
    std::optional<Duration> retryAfter;
    /// Answer of a plain service.
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string body;
    /// Answered from the record of an earlier attempt with the same idempotency key.
    bool replayed = false;
    /// Model only.
    std::uint32_t generatedTokens = 0;
    /// Model only: why generation ended, as the engine said.
    std::string finishReason;

    bool operator==(const Result&) const = default;
};

} // namespace fuchsialb
