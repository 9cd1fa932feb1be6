#pragma once

#include "../Base/Clock.h"
#include "../Base/Units.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fuchsialb {

/// \brief Fractions of the KV cache that requests of each urgency may fill, and how long they may wait for room.
struct AdmissionPolicy {
    /// \brief Fraction of each runner's KV cache up to which a request of an urgency is admitted.
    ///
    /// Answers a flood of the least urgent work: what it may not fill stays free for urgent requests, which then need
    /// no queue.
    static double cacheLimit(std::uint32_t urgency);
    /// \return Longest wait for room, from the latency objective of the route.
    static Duration maxWait(Duration objective);
    /// \brief When a refused caller should come back.
    ///
    /// Answers callers that were refused in one burst: they return over a span as long as the mean request, not
    /// together, and no later than a third of the time they have left, which is all that they wait.
    /// \param meanDuration Mean time that an admitted request keeps its room.
    /// \param left Time that the caller has left.
    /// \param draw Uniform in [0, 1).
    static Duration retryAfter(Duration meanDuration, Duration left, double draw);
};

/// \brief Requests that wait for room at runners, most urgent first.
///
/// Within an urgency, requests of callers that came back after a refusal go before new ones; otherwise the order is
/// that of arrival.
class AdmissionQueue {
public:
    using Key = std::uint64_t;

    struct Waiting {
        std::uint32_t urgency = 0;
        bool returning = false;
        TimePoint giveUpAt {};
    };

    void push(Key key, const Waiting& waiting);
    void remove(Key key);
    /// \return Keys in the order in which they are to be admitted.
    std::vector<Key> order() const;
    /// Takes out the requests that have waited for too long.
    std::vector<Key> takeExpired(TimePoint now);
    /// \return Whether a request of at least this urgency waits.
    bool hasWaiting(std::uint32_t urgency) const;
    bool empty() const { return m_places.empty(); }
    std::size_t size() const { return m_places.size(); }

private:
    struct Place {
        std::uint32_t urgency = 0;
        bool isNew = false;
        std::uint64_t arrival = 0;

        auto operator<=>(const Place&) const = default;
    };

    std::map<Place, std::pair<Key, TimePoint>> m_places;
    std::map<Key, Place> m_byKey;
    std::uint64_t m_arrivals = 0;
};

} // namespace fuchsialb
