#pragma once

#include "Environment.h"
#include "ExitCode.h"

#include <string>
#include <vector>

namespace fuchsialb {

/// \brief Runs one command.
/// \param arguments The command line without the program's name.
ExitCode runCli(const std::vector<std::string>& arguments, const Environment& environment);

} // namespace fuchsialb
