#pragma once

namespace fuchsialb::bench::scale {

// The size to design for: docs/design.md, section 1 "Scale", and what sections 4 and 6 derive from it.

inline constexpr double dataCentres = 11;
inline constexpr double daemons = 1700;
/// Daemons of one data centre: 1,700 / 11, rounded up.
inline constexpr double members = 155;
inline constexpr double runners = 5000;
inline constexpr double runnersPerGroup = 12;
inline constexpr double groups = 417;
inline constexpr double models = 4;
inline constexpr double organisations = 1500;
inline constexpr double requestsPerSecond = 29'000;
inline constexpr double tokensPerSecond = 9'200'000;
/// 10% of the requests.
inline constexpr double claimsPerSecond = 2900;
inline constexpr double claimShards = 64;
inline constexpr double claimRetentionSeconds = 24 * 3600;
inline constexpr double configurationChangesPerDay = 9600;
inline constexpr double secondsPerDay = 24 * 3600;

// Allowances of one daemon's control plane.
inline constexpr double controlBytesPerSecond = 15'000;
inline constexpr double memoryBytes = 128e6;
inline constexpr double corePercent = 3;

// Allowances of the platform's store. "Several hundred writes/s" is taken as 500.
inline constexpr double storeWritesPerSecond = 500;
inline constexpr double storeReadsPerSecond = 2000;

} // namespace fuchsialb::bench::scale
