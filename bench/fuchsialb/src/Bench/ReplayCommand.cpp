#include "ReplayCommand.h"

namespace fuchsialb::bench {

int replayCommand(int, char**) { return 2; }

} // namespace fuchsialb::bench
