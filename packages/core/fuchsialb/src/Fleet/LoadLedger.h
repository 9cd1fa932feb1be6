#pragma once

#include "../Base/Ids.h"
#include "../Base/Units.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief A stage of a path: layers that one runner works on.
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

/// \return Number of times that hidden states pass from one data centre to another.
std::size_t crossings(const Path& path);

/// \brief KV cache and sequences at one runner.
struct RunnerLoad {
    /// Tokens times layers that requests are expected to need when they end.
    double cache = 0;
    /// Requests whose paths pass through the runner.
    double sequences = 0;
    /// Requests that began at the runner.
    double first = 0;

    RunnerLoad& operator+=(const RunnerLoad& other);
    bool operator==(const RunnerLoad&) const = default;
};

using LoadTable = std::map<EndpointId, RunnerLoad>;

/// \brief What this host has promised on each runner, and what the other hosts last said that they have.
///
/// Answers bursts that arrive at many hosts at once: each host admits against the sum, so that memory is not promised
/// twice beyond what one exchange of loads takes.
class LoadLedger {
public:
    /// \param tokens Expected tokens of the request at its end.
    void commit(const Path& path, double tokens);
    void release(const Path& path, double tokens);

    const LoadTable& own() const { return m_own; }
    /// Replaces what another host of this data centre said.
    void setPeer(const HostId& host, LoadTable load);
    void removePeer(const HostId& host);
    /// Replaces what the hosts of another data centre have in sum.
    void setRemote(const DataCentreId& dataCentre, LoadTable load);
    void removeRemote(const DataCentreId& dataCentre);
    /// \return Load of this host and of the others in its data centre.
    LoadTable ofDataCentre() const;
    const std::map<DataCentreId, LoadTable>& remote() const { return m_remote; }

    RunnerLoad at(const EndpointId& runner) const;

private:
    void rebuild();

    LoadTable m_own;
    std::map<HostId, LoadTable> m_peers;
    std::map<DataCentreId, LoadTable> m_remote;
    /// Sum over all other hosts.
    LoadTable m_others;
};

} // namespace fuchsialb
