#pragma once

#include "../Base/Ids.h"
#include "../Base/Units.h"
#include "LoadLedger.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief A runner that a host has found dead or cut off.
struct RunnerSuspicion {
    EndpointId runner;
    /// How much longer the host passes it over.
    Duration left { 0 };

    bool operator==(const RunnerSuspicion&) const = default;
};

/// \brief Load that the hosts of one data centre have put on runners.
struct DataCentreLoad {
    DataCentreId dataCentre;
    LoadTable load;

    bool operator==(const DataCentreLoad&) const = default;
};

/// \brief What a host tells another one several times a second.
struct HostBeat {
    /// Rises with each beat from this host to that one.
    std::uint64_t sequence = 0;
    /// Sequence of the last beat that arrived the other way, 0 for none. It bounds the age of what this beat says by a
    /// time of the receiver's own clock.
    std::uint64_t echo = 0;
    DataCentreId dataCentre;
    /// "IP:port" of the sender for beats.
    std::string address;
    /// The sender stops and takes no more duties.
    bool leaving = false;
    ConfigurationVersion configuration;
    /// Time since that version was known to be the newest.
    Duration proofAge { 0 };
    /// The configuration itself, as it was read; only for a receiver that has an older one.
    std::string configurationText;
    /// Load of the sender, or of all hosts of its data centre in a beat to another data centre.
    LoadTable load;
    /// Loads of other data centres that the sender knows of.
    std::vector<DataCentreLoad> remote;
    std::vector<RunnerSuspicion> suspicions;

    bool operator==(const HostBeat&) const = default;
};

} // namespace fuchsialb
