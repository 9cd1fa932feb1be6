#include "PeerExchange.h"

#include <asio/post.hpp>

#include <variant>

namespace fuchsialb {

PeerExchange::PeerExchange(GatewayContext& context, BeatExchange::Hooks hooks)
    : m_context(context)
    , m_beats({ context.settings.host, context.settings.dataCentre, context.settings.peerAddress.text(), context.hosts,
                  context.ledger, context.runners, context.configuration, context.runnersView, context.hostsView,
                  context.crashEvidence, context.rateLimits, context.rateAdmission, context.storeReach },
          std::move(hooks))
{
}

PeerExchange::~PeerExchange() { *m_alive = false; }

void PeerExchange::openTransport(const std::string& sharedKey)
{
    if (m_transport && sharedKey == m_sharedKey)
        return;
    // The store came back from a copy without the key, and another host wrote a new one first.
    m_transport.reset();
    m_sharedKey = sharedKey;
    PeerTransport::Options options;
    options.bindAddress = m_context.settings.peerAddress.text();
    options.keys = { "gateway", sharedKey, "" };
    options.self = m_context.settings.host;
    // Must increase over restarts. If the system clock is set back, peers drop heartbeats until it has caught up.
    options.incarnation = Incarnation(static_cast<std::uint64_t>(unixMicroseconds()));
    auto transport = PeerTransport::create(
        std::move(options),
        [this, alive = m_alive](const HostId& from, PeerMessage message) {
            if (!std::holds_alternative<HostBeat>(message))
                return;
            asio::post(m_context.loop, [this, alive, from, beat = std::get<HostBeat>(std::move(message))]() mutable {
                if (*alive)
                    receive(from, std::move(beat));
            });
        },
        [this, alive = m_alive](const absl::Status& status) {
            asio::post(m_context.loop, [this, alive, reason = reasonOf(status)] {
                if (*alive)
                    m_context.metrics.count("peer_messages_dropped", "reason", reasonName(reason));
            });
        });
    LogLine line("peer-exchange");
    line.add("status", reasonName(reasonOf(transport.status())));
    m_context.log.log(line);
    if (transport.ok())
        m_transport = *std::move(transport);
}

void PeerExchange::tick()
{
    if (!m_transport)
        return;
    m_context.retryBudget.observe(m_context.ledger, m_context.now());
    m_context.ledger.setRetries(m_context.retryBudget.use(m_context.now()));
    for (const BeatExchange::Outgoing& outgoing :
        m_beats.dueBeats(m_context.now(), bootTime(), m_context.stopping, m_context.configurationText)) {
        if (!m_transport->send(outgoing.to, outgoing.address, outgoing.beat))
            m_context.metrics.count("peer_messages_dropped", "reason", reasonName(Reason::QueueFull));
    }
}

void PeerExchange::receive(const HostId& from, HostBeat beat)
{
    auto update = m_beats.receive(from, std::move(beat), m_context.now());
    if (!update)
        return;
    auto table = m_context.translator.routingTable(update->configurationText);
    if (!table.ok()) {
        LogLine line("configuration-unreadable");
        line.add("from", from.value()).add("cause", std::string(table.status().message()));
        m_context.log.log(line);
        return;
    }
    const ConfigurationVersion version = table->version;
    if (!m_context.configuration.accept(std::make_shared<const RoutingTable>(*std::move(table)), update->provenAt))
        return;
    m_context.configurationText = std::move(update->configurationText);
    LogLine line("configuration-in-force");
    line.add("version", static_cast<std::int64_t>(version.value())).add("from", from.value());
    m_context.log.log(line);
}

} // namespace fuchsialb
