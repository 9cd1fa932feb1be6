#pragma once

/// \file
/// The operators' client: settings, commands and their exit codes. All input and output goes through hooks.

#include "src/Cli/AdminCommands.h"
#include "src/Cli/Cli.h"
#include "src/Cli/ConfigCommands.h"
#include "src/Cli/ConfigHistory.h"
#include "src/Cli/ConfigStore.h"
#include "src/Cli/Environment.h"
#include "src/Cli/ExitCode.h"
#include "src/Cli/Report.h"
#include "src/Cli/Settings.h"
#include "src/Cli/Transport.h"
