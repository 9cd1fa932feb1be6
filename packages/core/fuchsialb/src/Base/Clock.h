#pragma once

#include "Units.h"

#include <chrono>

namespace fuchsialb {

using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// \brief Monotonic time, passed in so that tests decide what time it is.
class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// \brief A clock that moves only when told to.
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    void advance(Duration by) { m_now += by; }
    void set(TimePoint to) { m_now = to; }

private:
    TimePoint m_now {};
};

} // namespace fuchsialb
