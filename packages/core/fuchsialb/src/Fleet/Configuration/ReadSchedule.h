#pragma once

#include "../../Base/Clock.h"

#include <cstdint>

namespace fuchsialb {

/// \brief How often a prefix of the store is read, so that all hosts of a data centre act on a change in time.
///
/// One host watches the prefix for its data centre. The end of each of its watches proves that its view was the newest,
/// which beats tell the others. A host whose last proof has reached `maxAge` reads by itself, whatever has become of
/// the host that watches. A change is thus acted on within `maxAge` and the time of one read.
struct ReadSchedule {
    /// Timeout of the watches: such that proofs, with the time that beats take, usually stay below `maxAge`.
    Duration watchTimeout;
    /// Age of the last proof at which a host reads by itself.
    Duration maxAge;

    /// \param bound Longest time from a change until all hosts that reach the store act on it.
    /// \param cells Number of cells of the data centre.
    static ReadSchedule forBound(Duration bound, std::uint32_t cells);
};

} // namespace fuchsialb
