#include "Ids.h"

#include <fmt/format.h>

namespace fuchsialb {

std::string toHex(const Bits128& bits) { return fmt::format("{:016x}{:016x}", bits.high, bits.low); }

} // namespace fuchsialb
