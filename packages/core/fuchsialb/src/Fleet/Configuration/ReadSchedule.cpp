#include "ReadSchedule.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    // From the age at which a host reads by itself to the answer: the interval between checks, a call of the store, and
    // the time that a host short of processor time takes for both.
    constexpr Duration readTime = std::chrono::milliseconds(400);
    // Two beats, one of which is echoed.
    constexpr Duration relayTime = std::chrono::milliseconds(450);
    // Proofs pass two more hosts, the leaders of two cells.
    constexpr Duration cellRelayTime = std::chrono::milliseconds(500);
    // For beats that are late, so that they don't cause reads.
    constexpr Duration relaySlack = std::chrono::milliseconds(250);
    // More frequent watches would cost more than the reads that they save.
    constexpr Duration minWatchTimeout = std::chrono::milliseconds(300);
    constexpr Duration maxWatchTimeout = std::chrono::milliseconds(1500);
    // Keys of callers are trusted for some seconds after a proof.
    constexpr Duration longestAge = std::chrono::milliseconds(3000);

} // namespace

ReadSchedule ReadSchedule::forBound(Duration bound, std::uint32_t cells)
{
    const Duration maxAge = std::clamp<Duration>(bound - readTime, minWatchTimeout, longestAge);
    const Duration relay = relayTime + relaySlack + (cells > 1 ? cellRelayTime : Duration(0));
    return { std::clamp<Duration>(maxAge - relay, minWatchTimeout, maxWatchTimeout), maxAge };
}

} // namespace fuchsialb
