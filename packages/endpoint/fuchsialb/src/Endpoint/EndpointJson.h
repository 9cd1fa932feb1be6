#pragma once

#include "fuchsialb/Net.h"
#include "fuchsialb/Router.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fuchsialb::internal {

struct RunToken {
    Epoch epoch;
    std::uint32_t position = 0;
    std::string text;
};

struct RunDone {
    std::string finishReason;
};

struct RunError {
    std::uint32_t stage = 0;
    Reason reason = Reason::StageFailed;
    bool notStarted = false;
};

using RunEvent = std::variant<RunToken, RunDone, RunError>;

std::string runBody(const StartRun& action);
std::string cancelBody(RequestId request, Epoch epoch);
std::string importBody(const ImportState& action);
std::string replayBody(const ReplayState& action);

/// \return `MalformedMessage` when `data` is not an event of a run.
absl::StatusOr<RunEvent> parseRunEvent(std::string_view data);
absl::StatusOr<LoadReport> parseLoad(const EndpointId& endpoint, const HttpResponse& response);
/// \param sequence In: the last event known; out: the last event read.
std::vector<CacheChanged> parseCacheEvents(
    const EndpointId& endpoint, const HttpResponse& response, std::uint64_t& sequence);

} // namespace fuchsialb::internal
