#pragma once

#include "GatewayContext.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace fuchsialb {

/// \brief Sends heartbeats to the other hosts and applies those received.
class PeerExchange {
public:
    /// \param hooks Called with changes of the store that other hosts have passed on.
    PeerExchange(GatewayContext& context, BeatExchange::Hooks hooks);
    ~PeerExchange();
    PeerExchange(const PeerExchange&) = delete;
    PeerExchange& operator=(const PeerExchange&) = delete;

    /// Opens the transport with the key that all hosts share; does nothing if it is open with that key.
    void openTransport(const std::string& sharedKey);
    /// Sends the heartbeats that are due; called several times a second.
    void tick();
    /// \return The newest version of the configuration that another host has.
    ConfigurationVersion newestConfiguration() const { return m_beats.newestConfiguration(); }

private:
    /// Applies a heartbeat, and the configuration that it carries when that is newer.
    void receive(const HostId& from, HostBeat beat);

    GatewayContext& m_context;
    BeatExchange m_beats;
    std::string m_sharedKey;
    std::unique_ptr<PeerTransport> m_transport;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fuchsialb
