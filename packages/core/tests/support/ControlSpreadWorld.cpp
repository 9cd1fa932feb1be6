#include "ControlSpreadWorld.h"

#include "fuchsialb/Base.h"

#include <sstream>

namespace fuchsialb::test {

namespace {

    std::string key(const Bits128& digest) { return "config/chunk/" + toHex(digest); }

    std::string encodeStandInHead(const ConfigurationHead& head)
    {
        std::ostringstream out;
        out << head.version.value() << ' ' << head.digest.high << ' ' << head.digest.low;
        for (const Bits128& chunk : head.chunks)
            out << ' ' << chunk.high << ' ' << chunk.low;
        return out.str();
    }

    absl::StatusOr<ConfigurationHead> decodeStandInHead(std::string_view bytes)
    {
        std::istringstream in { std::string(bytes) };
        std::uint64_t version = 0;
        ConfigurationHead head;
        if (!(in >> version >> head.digest.high >> head.digest.low))
            return error(Reason::InvalidConfiguration, "head");
        head.version = ConfigurationVersion(version);
        for (Bits128 chunk; in >> chunk.high >> chunk.low;)
            head.chunks.push_back(chunk);
        return head;
    }

    /// The padding is kept as the id of one target, so that a damaged encoding shows in the configuration.
    absl::StatusOr<Configuration> decodeStandIn(std::string_view bytes)
    {
        const std::size_t space = bytes.find(' ');
        if (space == std::string_view::npos)
            return error(Reason::InvalidConfiguration, "no version");
        Configuration configuration;
        configuration.version = ConfigurationVersion(std::stoull(std::string(bytes.substr(0, space))));
        const TargetId padding { std::string(bytes.substr(space + 1)) };
        configuration.targets[padding].id = padding;
        return configuration;
    }

} // namespace

std::string encodeStandIn(ConfigurationVersion version, std::size_t padding)
{
    const std::string letter(1, static_cast<char>('a' + version.value() % 26));
    std::string text = std::to_string(version.value()) + ' ';
    while (text.size() < padding)
        text += letter;
    return text;
}

SpreadOptions standInOptions(SpreadFault fault)
{
    SpreadOptions options;
    options.decode = decodeStandIn;
    options.decodeHead = decodeStandInHead;
    options.chunkKey = key;
    options.fault = fault;
    // Small chunks give many steps of a pull for few bytes.
    options.chunk = Bytes(8'000);
    return options;
}

ControlSpreadWorld::ControlSpreadWorld(std::uint64_t seed, SpreadFault fault)
    : net(seed)
    , store(net)
    , m_fault(fault)
{
    net.onTick = [this](WorldHost& host) { run(host); };
}

void ControlSpreadWorld::start(const std::string& id, const std::string& dataCentre)
{
    WorldHost& host = net.start(id, dataCentre);
    Spread& spread = m_spreads[host.host];
    spread = {};
    spread.incarnation = host.incarnation;
    spread.spread = ConfigurationSpread::create(host.host, host.dataCentre, standInOptions(m_fault), net.clock).value();
}

ConfigurationVersion ControlSpreadWorld::publish(std::size_t padding)
{
    constexpr std::size_t chunkSize = 12'000;
    const ConfigurationVersion version(accepted.empty() ? 1 : accepted.rbegin()->first.value() + 1);
    const std::string encoding = encodeStandIn(version, padding);
    ConfigurationHead head { version, hash128(encoding), {} };
    for (std::size_t at = 0; at < encoding.size(); at += chunkSize) {
        const std::string chunk = encoding.substr(at, chunkSize);
        head.chunks.push_back(hash128(chunk));
        store.put(key(head.chunks.back()), chunk);
    }
    store.put(std::string(configurationHeadKey), encodeStandInHead(head));
    accepted[version] = net.clock.now();
    m_encodings[version] = encoding;
    return version;
}

void ControlSpreadWorld::run(WorldHost& host)
{
    Spread& entry = m_spreads.at(host.host);
    if (entry.revision != host.membership->revision()) {
        entry.revision = host.membership->revision();
        entry.spread->onMembers(host.membership->members());
    }
    entry.spread->onStoreNews(host.membership->storeNews());
    entry.spread->tick();
    flush(host.host);
}

void ControlSpreadWorld::flush(const HostId& id)
{
    Spread& entry = m_spreads.at(id);
    WorldHost& host = net.hosts.at(id);
    const std::uint64_t incarnation = entry.incarnation;
    for (const ControlOperation& operation : entry.spread->takeOperations()) {
        std::visit(
            [&](const auto& body) {
                store.submit(id, body, [this, id, incarnation](const StoreAnswer& answer) {
                    if (m_spreads.at(id).incarnation != incarnation)
                        return;
                    m_spreads.at(id).spread->onAnswer(answer);
                    flush(id);
                });
            },
            operation);
    }
    for (ConfigSend& send : entry.spread->takeSends()) {
        auto* chunk = std::get_if<ConfigChunk>(&send.message);
        if (chunk && !chunk->bytes.empty() && net.random.chance(corruptChunks))
            chunk->bytes.back() = '#';
        net.transmit(id, send.to, 0, [this, id, message = send.message](WorldHost& receiver) {
            m_spreads.at(receiver.host).spread->onMessage(id, message);
            flush(receiver.host);
        });
    }
    const SpreadStatus status = entry.spread->status();
    host.membership->setConfiguration(status.inForce);
    host.membership->setStoreAnswers(status.storeAnswers);
    if (status.inForce == entry.recorded)
        return;
    entry.recorded = status.inForce;
    const auto expected = m_encodings.find(status.inForce);
    const bool whole
        = expected != m_encodings.end() && *entry.spread->inForce() == decodeStandIn(expected->second).value();
    history.push_back({ net.clock.now(), id, incarnation, status.inForce, whole });
}

} // namespace fuchsialb::test
