#pragma once

#include "fuchsialb/Base.h"

namespace fuchsialb {

/// \brief The machine's monotonic clock.
class SystemClock final : public Clock {
public:
    TimePoint now() const override;
};

/// \return Microseconds since the Unix epoch, for logs and spans.
std::int64_t unixMicroseconds();

} // namespace fuchsialb
