#pragma once

#include "EngineProfile.h"
#include "LoadLedger.h"
#include "RunnerDirectory.h"

#include <optional>
#include <set>

namespace fuchsialb {

/// \brief What a path is wanted for.
struct PathRequest {
    TargetId service;
    /// Data centre of the host that sends the request.
    DataCentreId from;
    /// Expected tokens of the request at its end.
    double tokens = 0;
    /// Fraction of each runner's KV cache, and of the slots of the first one, that the request may fill up to.
    double cacheLimit = 1;
    /// Runners that must not be on the path.
    std::set<EndpointId> avoided;
    /// Where not empty, the only runners that the path may begin at: a request may run at few of them.
    std::set<EndpointId> firstAmong {};
    /// Whether hidden states may pass from one data centre to another.
    bool mayCross = true;
};

/// \brief Finds the cheapest chain of runners that covers all layers in order and has room for a request.
///
/// Shortest path over (layers done, data centre) by dynamic programming; an edge is a range of layers at one runner.
/// The cost of an edge is the time of a token step there, raised as its KV cache fills, so that requests spread over
/// the holders of a range. Crossing between data centres costs far more than any detour inside one: hidden states go
/// over a shared link for each token.
class PathFinder {
public:
    PathFinder(const RunnerDirectory& directory, const LoadLedger& ledger)
        : m_directory(directory)
        , m_ledger(ledger)
    {
    }

    /// \return No path when no chain of usable runners has room.
    std::optional<Path> find(const PathRequest& request, const EngineProfile& engine, TimePoint now) const;
    /// \brief Replaces one stage of a path in use, so that the other runners keep the KV cache of the request.
    ///
    /// Answers runners that leave one after the other while streams pass through all of them: without it each stream
    /// would begin anew, at another whole path, each time one of them ends.
    /// \param request As for the whole path; the new stages lie in the data centre of the stage before them.
    /// \return The whole path; none when the stage is the first one, which holds the request itself, or when no other
    /// runners with room hold its layers.
    std::optional<Path> detour(const Path& path, const EndpointId& leaving, const PathRequest& request,
        const EngineProfile& engine, TimePoint now) const;
    /// \return Whether a chain would exist if all runners were empty, so that waiting can help.
    bool covered(const PathRequest& request, const EngineProfile& engine, TimePoint now) const;
    /// \return Fraction of the KV cache in use over all usable holders of the service.
    double fill(const TargetId& service, const EngineProfile& engine, TimePoint now) const;

private:
    /// \param wanted The layers to cover; from the middle of the model on, the chain begins in the request's data
    /// centre.
    std::optional<Path> search(const PathRequest& request, const EngineProfile& engine, TimePoint now,
        const LayerRange& wanted, bool ignoreLoad) const;

    const RunnerDirectory& m_directory;
    const LoadLedger& m_ledger;
};

} // namespace fuchsialb
