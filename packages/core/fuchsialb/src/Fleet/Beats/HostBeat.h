#pragma once

#include "../../Base/Ids.h"
#include "../../Base/Units.h"
#include "../Admission/LoadLedger.h"
#include "../Admission/RequestRateLimits.h"
#include "../Directory/DirectoryView.h"
#include "../Directory/RunnerDirectory.h"
#include "../Recovery/CrashReport.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief A runner that a host found dead or unreachable.
struct RunnerSuspicion {
    EndpointId runner;
    /// Time until the host uses it again.
    Duration left { 0 };

    bool operator==(const RunnerSuspicion&) const = default;
};

/// \brief Load from the requests of one data centre's hosts.
struct DataCentreLoad {
    DataCentreId dataCentre;
    HostLoad load;

    bool operator==(const DataCentreLoad&) const = default;
};

/// \brief Heartbeat that a host sends to another one several times a second.
struct HostBeat {
    /// Increases with each beat from the sender to the receiver.
    std::uint64_t sequence = 0;
    /// Sequence of the last beat that the sender got from the receiver, 0 for none. The receiver bounds the age of this
    /// beat's contents by the time, on its own clock, at which it sent the echoed beat.
    std::uint64_t echo = 0;
    DataCentreId dataCentre;
    /// "IP:port" at which the sender receives beats.
    std::string address;
    /// The sender shuts down and no longer leads its data centre.
    bool leaving = false;
    ConfigurationVersion configuration;
    /// Time since the sender's last proof that its version is the newest.
    Duration proofAge { 0 };
    /// Source text of the configuration; sent only to a receiver that asked for it and has an older version.
    std::string configurationText;
    /// The sender asks the receiver for the text of its newer configuration.
    bool configurationWanted = false;
    /// Number of cells of the sender's data centre as known to the sender.
    std::uint32_t cells = 1;
    /// Load from the sender; in a beat to another cell, from all hosts of the sender's cell; in a beat to another data
    /// centre, from all hosts of the sender's data centre.
    HostLoad load;
    /// The store doesn't answer the sender's calls.
    bool storeLost = false;
    /// The sender leads its cell.
    bool cellLeader = false;
    /// Load from the other cells of the data centre; empty unless the leader of a cell sends it to its cell.
    HostLoad otherCells;
    /// Loads that the sender received from other data centres; empty in a beat to another data centre.
    std::vector<DataCentreLoad> remote;
    std::vector<RunnerSuspicion> suspicions;
    /// Runners that told the sender, or a host that it heard from, that they leave.
    std::vector<RunnerLeaving> leavingRunners;
    /// Limits on requests that runners have named to the sender or to a host that it heard from.
    std::vector<RequestRateLimit> rateLimits;
    /// Digest of the sender's crash reports.
    std::uint64_t crashDigest = 0;
    /// All of the sender's crash reports; empty unless the receiver's last beat told another digest.
    std::vector<CrashReport> crashes;
    /// The sender's view of the registry of runners and of the list of hosts.
    DirectoryUpdate runners;
    DirectoryUpdate hosts;

    bool operator==(const HostBeat&) const = default;
};

} // namespace fuchsialb
