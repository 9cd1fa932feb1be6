#pragma once

#include "GatewayContext.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace fuchsialb {

/// \brief Exchanges beats with the other hosts.
class PeerExchange {
public:
    explicit PeerExchange(GatewayContext& context);
    ~PeerExchange();
    PeerExchange(const PeerExchange&) = delete;
    PeerExchange& operator=(const PeerExchange&) = delete;

    /// Opens the transport once the key that all hosts share is known.
    void useKey(const std::string& key);
    /// Sends the beats that are due; called several times a second.
    void tick();

private:
    void take(const HostId& from, HostBeat beat);

    GatewayContext& m_context;
    BeatExchange m_beats;
    std::unique_ptr<PeerTransport> m_transport;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fuchsialb
