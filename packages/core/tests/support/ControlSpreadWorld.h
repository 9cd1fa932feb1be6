#pragma once

#include "ControlStore.h"

#include <map>
#include <string>
#include <vector>

namespace fuchsialb::test {

/// \brief A record of what came into force where.
struct InForceRecord {
    TimePoint at;
    HostId host;
    std::uint64_t incarnation = 0;
    ConfigurationVersion version;
    /// Whether the configuration is exactly the one that was accepted under this version.
    bool whole = false;
};

/// \brief Hosts with membership and configuration spread, one store, and recorded histories.
class ControlSpreadWorld {
public:
    explicit ControlSpreadWorld(std::uint64_t seed, SpreadFault fault = SpreadFault::None);

    /// Starts a host, or restarts it.
    void start(const std::string& host, const std::string& dataCentre);
    /// Applies the next version as an operator does. \return Its number.
    ConfigurationVersion publish(std::size_t padding = 10);
    ConfigurationSpread& of(const std::string& host) { return *m_spreads.at(HostId(host)).spread; }

    ControlWorld net;
    ControlStore store;
    /// Accepted versions and when.
    std::map<ConfigurationVersion, TimePoint> accepted;
    std::vector<InForceRecord> history;
    /// Probability that a chunk is corrupted on its way.
    double corruptChunks = 0;

private:
    struct Spread {
        std::unique_ptr<ConfigurationSpread> spread;
        std::uint64_t revision = 0;
        std::uint64_t incarnation = 0;
        ConfigurationVersion recorded;
    };

    void run(WorldHost& host);
    void flush(const HostId& host);

    SpreadFault m_fault;
    std::map<HostId, Spread> m_spreads;
    std::map<ConfigurationVersion, std::string> m_encodings;
};

/// \return A stand-in encoding of a configuration of `version`, `padding` bytes long.
std::string encodeStandIn(ConfigurationVersion version, std::size_t padding);
/// \return Options with the stand-in codec.
SpreadOptions standInOptions(SpreadFault fault = SpreadFault::None);

} // namespace fuchsialb::test
