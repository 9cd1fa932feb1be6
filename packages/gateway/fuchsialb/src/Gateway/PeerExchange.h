#pragma once

#include "GatewayContext.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace fuchsialb {

/// \brief Sends heartbeats to the other hosts and applies those received.
class PeerExchange {
public:
    explicit PeerExchange(GatewayContext& context);
    ~PeerExchange();
    PeerExchange(const PeerExchange&) = delete;
    PeerExchange& operator=(const PeerExchange&) = delete;

    /// Opens the transport with the key that all hosts share; does nothing if it is open.
    void openTransport(const std::string& sharedKey);
    /// Sends the heartbeats that are due; called several times a second.
    void tick();

private:
    /// Applies a heartbeat, and the configuration that it carries when that is newer.
    void receive(const HostId& from, HostBeat beat);

    GatewayContext& m_context;
    BeatExchange m_beats;
    std::unique_ptr<PeerTransport> m_transport;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fuchsialb
