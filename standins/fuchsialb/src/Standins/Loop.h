#pragma once

#include "fuchsialb/Base.h"

#include <functional>
#include <memory>

namespace fuchsialb::standins {

/// \brief One thread that runs posted functions and timers in order; a stand-in keeps all its state on it.
class Loop {
public:
    static std::shared_ptr<Loop> create();

    virtual ~Loop() = default;

    /// Runs `task` on the loop's thread; dropped after `stop`.
    virtual void post(std::function<void()> task) = 0;
    virtual void after(Duration delay, std::function<void()> task) = 0;
    /// Ends the thread and drops what has not run. Not callable from the loop itself.
    virtual void stop() = 0;
};

} // namespace fuchsialb::standins
