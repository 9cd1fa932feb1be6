#pragma once

#include "fuchsialb/Base.h"

#include <cstddef>
#include <cstdint>

namespace fuchsialb::internal {

// Bounds on what a peer may send, checked on decoding. They leave room above every legitimate message and keep the
// memory that one message can claim bounded.

/// Longest id of a host, data centre, group, organisation or target, in bytes.
inline constexpr std::size_t maxIdBytes = 255;
/// Longest "IP:port", in bytes.
inline constexpr std::size_t maxAddressBytes = 64;
/// Longest header value of a caller that is passed on, in bytes.
inline constexpr std::size_t maxHeaderBytes = 8192;
/// Longest human-readable detail of a result, in bytes.
inline constexpr std::size_t maxDetailBytes = 4096;
/// Most member updates in one probe; the whole fleet is 1,700 daemons.
inline constexpr int maxMembers = 4096;
/// Most group loads in one probe; the whole fleet has about 420 groups.
inline constexpr int maxLoads = 4096;
/// Most tokens in one `TokensDelivered`; an answer to `Inquire` may hold a whole completion.
inline constexpr int maxTokensPerMessage = 131'072;
/// Most tokens that a resubmitted request brings along; the most that a caller may ask for.
inline constexpr int maxGeneratedTokens = 131'072;
/// Most watchers whose news travels in one probe.
inline constexpr int maxStoreNews = 64;
/// Most relays that a probe's loads pass through.
inline constexpr std::uint32_t maxHops = 8;
/// Highest number of a submission; an entry daemon gives up far earlier.
inline constexpr std::uint32_t maxSubmissions = 255;
/// Largest part of a configuration in one message, in bytes.
inline constexpr std::size_t maxChunkBytes = 65'536;
/// Largest encoded configuration, in bytes.
inline constexpr std::uint64_t maxConfigurationBytes = 67'108'864;
/// Most runners whose load travels in one beat; the whole fleet has 5,000.
inline constexpr int maxRunnerLoads = 8192;
/// Most services whose retries travel in one beat.
inline constexpr int maxServices = 1024;
/// Most crash reports in one beat, and most parts of a prompt in each.
inline constexpr int maxCrashReports = 1024;
inline constexpr int maxPromptParts = 4096;
/// Most data centres whose loads travel in one beat.
inline constexpr int maxRemoteLoads = 64;
/// Most changes of a prefix of the store in one beat.
inline constexpr int maxDirectoryChanges = 4096;
/// Longest key of the store, in bytes.
inline constexpr std::size_t maxKeyBytes = 1024;
/// Largest value of the store that is passed on, in bytes.
inline constexpr std::size_t maxValueBytes = 1'048'576;
/// Longest wait, deadline or retry interval. Summaries are due within a day; a week leaves room for batch work.
inline constexpr Duration maxDuration { std::chrono::hours(24 * 7) };

} // namespace fuchsialb::internal
