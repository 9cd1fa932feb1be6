#pragma once

#include "GatewaySettings.h"
#include "Translator.h"

#include <absl/status/statusor.h>

#include <csignal>
#include <functional>
#include <initializer_list>
#include <memory>

namespace fuchsialb {

/// \brief A gateway process: accepts requests of callers and runs them on runners, coordinated with other hosts and the
/// key-value service.
///
/// Everything runs on one event loop in one thread: hosts are small, and passing each event of a stream between threads
/// costs more than the routing decisions.
class Gateway {
public:
    using StoreFactory = std::function<std::unique_ptr<KeyValueService>(HttpClient& http, const std::string& address)>;

    /// Binds all listening addresses.
    /// \param translator Must outlive the gateway.
    /// \return `InvalidFlag` if an address can't be bound.
    static absl::StatusOr<std::unique_ptr<Gateway>> create(
        GatewaySettings settings, const Translator& translator, const StoreFactory& storeFactory);

    virtual ~Gateway() = default;

    /// Signals that `run` handles, on its thread. A process should block them before it creates a gateway, so that none
    /// ends it before or after `run`.
    static constexpr std::initializer_list<int> handledSignals { SIGTERM, SIGINT, SIGHUP };

    /// Serves until SIGTERM or SIGINT, then until the open requests have finished or the grace time is over.
    /// \return Whether all requests have finished.
    virtual bool run() = 0;
    /// Starts a graceful shutdown, as SIGTERM does; may be called from any thread.
    virtual void requestStop() = 0;
    virtual std::uint16_t callerPort() const = 0;
    virtual std::uint16_t readinessPort() const = 0;
    virtual std::uint16_t metricsPort() const = 0;
};

} // namespace fuchsialb
