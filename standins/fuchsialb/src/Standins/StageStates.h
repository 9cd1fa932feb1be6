#pragma once

#include "LayerState.h"
#include "StageStep.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace fuchsialb::standins {

/// \brief KV caches of a runner by request, with the newest epoch of each, and the cache of finished ones.
class StageStates {
public:
    /// \brief A prefix that came into the cache or left it.
    struct CacheEvent {
        std::uint64_t sequence = 0;
        std::uint64_t prefix = 0;
        bool held = false;
        TimePoint time;
    };

    StageStates(LayerRange layers, std::size_t cacheTokens)
        : m_layers(layers)
        , m_cacheTokens(cacheTokens)
    {
    }

    /// Records the epoch.
    /// \return False when a newer one was seen for the request.
    bool admit(const std::string& request, std::uint32_t epoch);

    /// Brings the state to the step's first position, from the prefix cache if it can.
    /// \param computed Receives the number of positions that are left to compute.
    /// \return An error body, or null.
    Json prepare(const StageStep& step, std::size_t& computed);
    /// Computes the rest of a prepared step.
    /// \return An error body, or null.
    Json run(const StageStep& step);

    /// \return The state of a request, or null.
    const LayerState* find(const std::string& request) const;
    void install(const std::string& request, LayerState state);
    /// Ends an epoch and older ones; the state stays in the cache until memory is needed.
    void cancel(const std::string& request, std::uint32_t epoch);
    /// Moves the state of a request into the cache.
    void retain(const std::string& request);

    /// \return Positions of the requests in progress.
    std::size_t usedPositions() const;
    std::vector<CacheEvent> takeEvents() { return std::exchange(m_events, {}); }

private:
    struct Held {
        LayerState state;
        std::vector<std::uint64_t> prefixes;
    };

    Held& at(const std::string& request);
    void adopt(LayerState& state, const StageStep& step) const;
    void evict();
    void report(const std::vector<std::uint64_t>& prefixes, bool held);

    LayerRange m_layers;
    std::size_t m_cacheTokens;
    std::map<std::string, std::uint32_t> m_newestEpochs;
    std::map<std::string, Held> m_active;
    /// Oldest first.
    std::list<std::pair<std::string, Held>> m_retained;
    std::size_t m_retainedTokens = 0;
    std::vector<CacheEvent> m_events;
    std::uint64_t m_lastEvent = 0;
};

} // namespace fuchsialb::standins
