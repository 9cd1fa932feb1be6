#include "CapacityMeasurements.h"

namespace fuchsialb::bench {

void addCapacityFigures(CapacityReport&) { }

} // namespace fuchsialb::bench
