#pragma once

#include "../Admission/LoadLedger.h"
#include "../Directory/RunnerDirectory.h"

#include <set>

namespace fuchsialb {

/// \brief Selects the runner to ask whether this host can reach any runner, after another one didn't report its state.
///
/// A host with a congested or interrupted link gets no answer from any runner. Without an answer of a second runner it
/// can't tell its own trouble from that of the first one. In order of precedence, the choice is a runner that is
/// usable, that hasn't been asked yet, that succeeded lately, that isn't on the path of the stalled stream, that is in
/// the data centre of this host, that serves the same service, and that succeeded last.
///
/// \param asked Runners that have been asked about the same stall.
/// \return A runner other than the first one of `path` and with another address; null if there is none.
const RunnerDirectory::Runner* selectStallControl(const RunnerDirectory& runners, const Path& path,
    const std::set<EndpointId>& asked, const DataCentreId& dataCentre, TimePoint now);

} // namespace fuchsialb
