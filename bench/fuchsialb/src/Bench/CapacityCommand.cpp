#include "CapacityCommand.h"

namespace fuchsialb::bench {

int capacityCommand(int, char**) { return 2; }

} // namespace fuchsialb::bench
