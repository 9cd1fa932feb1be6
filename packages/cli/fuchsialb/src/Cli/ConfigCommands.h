#pragma once

#include "Environment.h"
#include "ExitCode.h"
#include "Settings.h"

namespace fuchsialb {

/// \brief `config check`: reads inventory and rules and reports every mistake.
ExitCode checkConfig(const Settings& settings, const Environment& environment);

/// \brief `config diff`: what inventory and rules would change.
ExitCode diffConfig(const Settings& settings, const Environment& environment);

/// \brief `config apply`: puts inventory and rules into the store and waits until they are in force.
ExitCode applyConfig(const Settings& settings, const Environment& environment);

/// \brief `config show`: the configuration in the store.
ExitCode showConfig(const Settings& settings, const Environment& environment);

/// \brief `config history`: the versions that the store keeps.
ExitCode listHistory(const Settings& settings, const Environment& environment);

} // namespace fuchsialb
