#pragma once

#include "fuchsialb/Config.h"
#include "fuchsialb/Router.h"

#include <cstdint>

namespace fuchsialb::bench {

/// \return A valid configuration of one model, its runners spread over the data centres in groups of at most
/// `runnersPerGroup` runners of four stages.
Configuration sampleConfiguration(
    std::uint32_t runners, std::uint32_t organisations, std::uint32_t dataCentres, std::uint32_t runnersPerGroup);

/// \return An idempotent request for the model of `sampleConfiguration`, with a prompt of 400 bytes.
Request sampleRequest(std::uint64_t number, std::uint32_t maxTokens);

} // namespace fuchsialb::bench
