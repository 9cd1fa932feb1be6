#pragma once

namespace fuchsialb::bench {

/// \brief Runs `fuchsialb-bench capacity`.
/// \return The exit code of the process.
int capacityCommand(int count, char** arguments);

} // namespace fuchsialb::bench
