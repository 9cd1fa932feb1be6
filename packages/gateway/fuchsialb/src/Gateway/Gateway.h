#pragma once

#include "GatewaySettings.h"
#include "Translator.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace fuchsialb {

/// \brief One gateway process: callers on one side, runners, the key-value service and other hosts on the other.
///
/// All of it runs on one event loop and one thread: hosts are small, and handing each event of a stream over between
/// threads costs more than the decisions.
class Gateway {
public:
    using MakeStore = std::function<std::unique_ptr<KeyValueService>(HttpClient& http, const std::string& address)>;

    /// Binds all addresses.
    /// \param translator Must outlive the gateway.
    /// \return `InvalidFlag` when an address can't be bound.
    static absl::StatusOr<std::unique_ptr<Gateway>> create(
        GatewaySettings settings, const Translator& translator, const MakeStore& makeStore);

    virtual ~Gateway() = default;

    /// Serves until SIGTERM or SIGINT and until the open requests are over, for the grace time at most.
    /// \return Whether all requests were over.
    virtual bool run() = 0;
    /// Begins to stop, as SIGTERM does; callable from any thread.
    virtual void requestStop() = 0;
    virtual std::uint16_t callersPort() const = 0;
    virtual std::uint16_t readinessPort() const = 0;
};

} // namespace fuchsialb
