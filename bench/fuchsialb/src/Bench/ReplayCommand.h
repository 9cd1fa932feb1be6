#pragma once

namespace fuchsialb::bench {

/// \brief Runs `fuchsialb-bench replay`.
/// \return The exit code of the process.
int replayCommand(int count, char** arguments);

} // namespace fuchsialb::bench
