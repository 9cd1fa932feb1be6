#pragma once

#include "../../Base/Clock.h"
#include "../../Base/Units.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fuchsialb {

/// \brief Limits per urgency on the use of the KV cache, and how long requests wait for capacity.
struct AdmissionPolicy {
    /// \brief Fraction of each runner's KV cache up to which requests of an urgency are admitted.
    ///
    /// Under a flood of the least urgent requests the rest of the cache stays free, so that urgent requests are
    /// admitted without queueing.
    static double cacheLimit(std::uint32_t urgency);
    /// \param objective Latency objective of the route.
    /// \return Longest time that a request waits for capacity.
    static Duration maxWait(Duration objective);
    /// \brief Delay after which a refused caller should retry.
    ///
    /// Jitter spreads the retries of callers that were refused in one burst over a span as long as the mean request.
    /// The delay is at most a third of the time that the caller has left, since callers wait no longer than that.
    /// \param meanDuration Mean time that an admitted request holds its capacity.
    /// \param timeLeft Time until the caller's deadline.
    /// \param jitter Random number, uniform in [0, 1).
    static Duration retryAfter(Duration meanDuration, Duration timeLeft, double jitter);
};

/// \brief Priority queue of requests that wait for capacity at runners, most urgent first.
///
/// Within an urgency, retries of callers that were refused before precede new requests; otherwise the order is first
/// in, first out.
class AdmissionQueue {
public:
    using Key = std::uint64_t;

    struct Entry {
        std::uint32_t urgency = 0;
        /// The caller retries after a refusal.
        bool isRetry = false;
        TimePoint expiresAt {};
    };

    void push(Key key, const Entry& entry);
    void remove(Key key);
    /// \return Keys in the order of admission.
    std::vector<Key> order() const;
    /// Removes the requests whose wait has expired and returns their keys.
    std::vector<Key> takeExpired(TimePoint now);
    /// \return Whether a request that is at least this urgent is queued.
    bool hasWaiting(std::uint32_t urgency) const;
    bool empty() const { return m_queue.empty(); }
    std::size_t size() const { return m_queue.size(); }

private:
    struct Position {
        std::uint32_t urgency = 0;
        bool isNew = false;
        std::uint64_t arrival = 0;

        auto operator<=>(const Position&) const = default;
    };

    std::map<Position, std::pair<Key, TimePoint>> m_queue;
    std::map<Key, Position> m_positions;
    std::uint64_t m_nextArrival = 0;
};

} // namespace fuchsialb
