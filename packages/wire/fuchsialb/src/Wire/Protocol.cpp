#include "Protocol.h"

namespace fuchsialb {

std::string_view protocolName() { return "fuchsialb-peer/1"; }

} // namespace fuchsialb
