#pragma once

#include "Environment.h"
#include "ExitCode.h"
#include "Report.h"
#include "Settings.h"

namespace fuchsialb {

/// \brief Asks the daemons at `--admin` until each has `version` or a later one in force, or `--wait` is over; prints
/// each data centre as it is reached.
/// \return `Done` or `NotInForce`.
ExitCode waitInForce(std::uint64_t version, const Settings& settings, const Environment& environment, Report& report);

/// \brief `status`: prints what each daemon reports.
ExitCode showStatus(const Settings& settings, const Environment& environment);

/// \brief `drain`: asks each daemon for a graceful shutdown.
ExitCode drainHosts(const Settings& settings, const Environment& environment);

/// \brief `explain`: prints the decisions that the daemons recorded about a request, a host or a runner.
ExitCode explainSubject(const Settings& settings, const Environment& environment);

} // namespace fuchsialb
