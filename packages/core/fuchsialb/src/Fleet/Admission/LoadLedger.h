#pragma once

#include "../../Base/Ids.h"
#include "../../Base/Units.h"
#include "../Recovery/RetryUse.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief Stage of a path: the layers that one runner computes.
struct PathStage {
    EndpointId runner;
    /// "IP:port".
    std::string address;
    LayerRange layers;
    DataCentreId dataCentre {};

    bool operator==(const PathStage&) const = default;
};

/// \brief Stages that cover all layers of a model in order; a request is sent to the first one.
using Path = std::vector<PathStage>;

/// \return Number of transitions between data centres along the path.
std::size_t dataCentreCrossings(const Path& path);

/// \brief KV cache and requests at one runner, and the demand for it.
struct RunnerLoad {
    /// KV cache that the requests are expected to need at their end, in tokens times layers.
    double cache = 0;
    /// Requests whose paths include the runner.
    double sequences = 0;
    /// Requests whose paths start at the runner.
    double firstStages = 0;
    /// Requests a second that hosts have for the runner; 0 unless the runner has named a limit on them.
    double demand = 0;

    RunnerLoad& operator+=(const RunnerLoad& other);
    bool operator==(const RunnerLoad&) const = default;
};

using LoadTable = std::map<EndpointId, RunnerLoad>;

/// \brief What one or several hosts tell of their work.
struct HostLoad {
    LoadTable runners;
    RetryUse retries {};

    HostLoad& operator+=(const HostLoad& other);
    bool operator==(const HostLoad&) const = default;
    bool empty() const { return *this == HostLoad(); }
};

/// \brief Load that this host has reserved on each runner, and load that the other hosts last reported.
///
/// Each host admits requests against the sum over all hosts, so that in a burst that arrives at many hosts at once,
/// memory is overcommitted for at most the duration of one exchange of loads.
class LoadLedger {
public:
    /// \param tokens Expected number of tokens of the request at its end.
    void reserve(const Path& path, double tokens);
    void release(const Path& path, double tokens);
    /// Replaces the demand of this host for a runner.
    void setDemand(const EndpointId& runner, RequestsPerSecond demand);

    const HostLoad& own() const { return m_own; }
    /// Replaces the use of the retry budget by this host.
    void setRetries(RetryUse retries) { m_own.retries = std::move(retries); }
    /// Replaces the load reported by another host of this cell.
    void setPeer(const HostId& host, HostLoad load);
    void removePeer(const HostId& host);
    /// Replaces the total load of the hosts of another cell, which the leader of a cell gets from each other one.
    void setCell(std::uint32_t cell, HostLoad load);
    void removeCell(std::uint32_t cell);
    /// Replaces the total load of all other cells, which the other hosts of a cell get from its leader.
    void setOtherCells(HostLoad load);
    /// Replaces the total load of the hosts of another data centre.
    void setRemote(const DataCentreId& dataCentre, HostLoad load);
    void removeRemote(const DataCentreId& dataCentre);
    /// \return Total load of all hosts of this cell.
    HostLoad cellTotal() const;
    /// \return Total load of the other cells that are known one by one.
    HostLoad cellsTotal() const;
    /// \return Total load of all hosts of this data centre.
    HostLoad dataCentreTotal() const;
    const std::map<std::uint32_t, HostLoad>& cells() const { return m_cells; }
    const std::map<DataCentreId, HostLoad>& remote() const { return m_remote; }

    RunnerLoad at(const EndpointId& runner) const;
    /// \return Demand of all other hosts for a runner.
    RequestsPerSecond othersDemand(const EndpointId& runner) const;
    /// \return Use of the retry budget by the other hosts of this data centre.
    const RetryUse& nearbyRetries() const { return m_nearbyRetries; }
    /// \return Use of the retry budget by the hosts of the other data centres.
    const RetryUse& remoteRetries() const { return m_remoteRetries; }
    /// \return Whether loads of other cells of this data centre have arrived lately.
    bool knowsOtherCells() const { return !m_otherCells.empty() || !m_cells.empty(); }

private:
    void rebuildOthers();
    void removeIfUnused(const EndpointId& runner);

    HostLoad m_own;
    std::map<HostId, HostLoad> m_peers;
    std::map<std::uint32_t, HostLoad> m_cells;
    HostLoad m_otherCells;
    std::map<DataCentreId, HostLoad> m_remote;
    /// Total load of all other hosts on runners.
    LoadTable m_others;
    RetryUse m_nearbyRetries;
    RetryUse m_remoteRetries;
};

} // namespace fuchsialb
