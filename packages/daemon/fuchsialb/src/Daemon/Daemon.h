#pragma once

#include "Settings.h"

#include <absl/status/statusor.h>

#include <memory>

namespace fuchsialb {

/// \brief One running daemon: joins the core thread with callers, operators, peers, endpoints and the platform.
class Daemon {
public:
    /// Binds all sockets and starts all threads.
    /// \return `InvalidFlag` when an address can't be bound.
    static absl::StatusOr<std::unique_ptr<Daemon>> create(const Settings& settings);

    /// Stops all threads.
    virtual ~Daemon() = default;

    /// Begins a graceful shutdown; harmless when repeated. Callable from any thread.
    virtual void drain() = 0;
    /// \return Whether a drain has begun.
    virtual bool draining() const = 0;
    /// Waits until a drain has finished or timed out.
    /// \return Whether everything in progress was finished.
    virtual bool waitUntilDrained() = 0;
};

} // namespace fuchsialb
