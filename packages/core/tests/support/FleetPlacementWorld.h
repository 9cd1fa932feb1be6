#pragma once

#include "fuchsialb/Fleet.h"

#include <optional>
#include <string>
#include <vector>

namespace fuchsialb::test {

/// Model of 80 layers of 1,750 MB on four kinds of accelerators of 14 to 72 GB, with 192 slots.
EngineProfile mixedEngine();

/// \brief Runners of one data centre that carry out placement orders, and the streams that they serve.
class PlacementWorld {
public:
    explicit PlacementWorld(EngineProfile engine);

    /// Adds empty runners "name-0" and so on.
    void add(const std::string& name, const std::string& accelerator, int count);
    /// Adds a runner that holds layers already.
    void addPlaced(const std::string& name, const std::string& accelerator, const LayerRange& layers);
    void remove(const EndpointId& runner);
    /// Lets the first placement be carried out.
    void settle();
    /// Lets the placement go on; orders take the time that loading takes.
    void run(Duration duration);

    std::vector<EndpointId> runners() const;
    std::size_t holders(std::uint32_t layer) const;
    PlacementRoom room() const;
    bool memoryKept() const { return m_memoryKept; }
    bool hasGap() const;
    /// Reserves paths for streams of the usual size until none is found.
    /// \return The number of streams admitted, at most `most`.
    std::size_t admitStreams(std::size_t most);
    std::size_t longestPath() const { return m_longestPath; }
    /// \return The path that a host chooses that doesn't hear of the others' requests.
    std::optional<Path> pathOfUnawareHost(std::size_t request) const;

private:
    struct Load {
        EndpointId runner;
        LayerRange layers;
        TimePoint doneAt {};
    };

    std::vector<PlacementNode> nodes() const;
    void finishLoads();
    PathRequest request(const std::string& id) const;

    EngineProfile m_engine;
    RunnerDirectory m_directory;
    LoadLedger m_ledger;
    PlacementDriver m_driver;
    TimePoint m_now { std::chrono::seconds(100) };
    std::vector<Load> m_loads;
    std::size_t m_added = 0;
    std::size_t m_longestPath = 0;
    bool m_memoryKept = true;
};

} // namespace fuchsialb::test
