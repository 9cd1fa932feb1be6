#include "CapacityFleet.h"

#include "CapacityProbe.h"
#include "fuchsialb/Base.h"
#include "fuchsialb/Config.h"

#include <fmt/format.h>

#include <algorithm>
#include <type_traits>

namespace fuchsialb::bench {

using namespace std::chrono_literals;

namespace {

    constexpr Duration tickPeriod = 50ms;
    constexpr Duration linkDelay = 500us;
    constexpr Duration storeDelay = 4ms;
    constexpr Duration watchPoll = 10ms;
    constexpr std::size_t storeChunkBytes = 900'000;

    DataCentreId dataCentreName(std::uint32_t index) { return DataCentreId(fmt::format("dc-{:02}", index)); }

    SpreadOptions spreadOptions()
    {
        SpreadOptions options;
        options.decode = decodeConfiguration;
        options.decodeHead = decodeHead;
        options.chunkKey = chunkKey;
        return options;
    }

} // namespace

void CapacityFleet::addDataCentre(std::uint32_t hosts, std::uint32_t groups)
{
    const DataCentreId dataCentre = dataCentreName(m_dataCentres);
    std::vector<HostId> ids;
    for (std::uint32_t i = 0; i < hosts; ++i) {
        const HostId id(fmt::format("host-{:02}-{:03}", m_dataCentres, i));
        Host& host = m_hosts[id];
        host.id = id;
        host.dataCentre = dataCentre;
        const Member self { id, dataCentre, fmt::format("10.{}.0.{}:7000", m_dataCentres, i + 1), MemberState::Alive,
            Incarnation(1'700'000'000'000), {} };
        host.membership = Membership::create(self, {}, m_clock, m_random).value();
        if (m_spreads)
            host.spread = ConfigurationSpread::create(id, dataCentre, spreadOptions(), m_clock).value();
        at(Duration(static_cast<std::int64_t>(m_random.below(50'000))), [this, &host] { tick(host); });
        ids.push_back(id);
    }
    for (std::uint32_t i = 0; i < groups; ++i) {
        Host& host = m_hosts.at(ids[i % ids.size()]);
        host.loads.push_back(
            { GroupId(fmt::format("group-{:03}", m_groups++)), host.id, host.membership->self().address, {}, 0, 64 });
    }
    ++m_dataCentres;
}

void CapacityFleet::publishHostList()
{
    std::vector<ListedHost> list;
    for (const auto& [id, host] : m_hosts)
        list.push_back({ id, host.dataCentre, host.membership->self().address, false });
    for (auto& [id, host] : m_hosts)
        host.membership->onHostList(list);
}

void CapacityFleet::publish(const Configuration& configuration)
{
    const std::string encoding = encodeConfiguration(configuration);
    ConfigurationHead head { configuration.version, hash128(encoding), {} };
    const auto put = [this](const std::string& key, const std::string& value) {
        StoreAnswer& stored = m_store[key];
        stored.kind = StoreAnswer::Kind::Ok;
        stored.version = KeyVersion(stored.version.value() + 1);
        stored.value = value;
    };
    for (const std::string& chunk : splitChunks(encoding, storeChunkBytes)) {
        head.chunks.push_back(hash128(chunk));
        put(chunkKey(head.chunks.back()), chunk);
    }
    put(std::string(configurationHeadKey), encodeHead(head));
}

void CapacityFleet::runFor(Duration time)
{
    const TimePoint end = m_clock.now() + time;
    while (!m_due.empty() && m_due.begin()->first <= end) {
        const auto event = m_due.extract(m_due.begin());
        m_clock.set(std::max(m_clock.now(), event.key()));
        event.mapped()();
    }
    m_clock.set(end);
}

void CapacityFleet::resetCounts()
{
    for (auto& [id, host] : m_hosts)
        host.bytes = host.messages = host.storeCalls = host.configBytes = host.cpu = 0;
}

std::vector<CapacityFleet::Host*> CapacityFleet::hostsOf(std::uint32_t dataCentre)
{
    std::vector<Host*> found;
    for (auto& [id, host] : m_hosts) {
        if (host.dataCentre == dataCentreName(dataCentre))
            found.push_back(&host);
    }
    return found;
}

std::vector<HostId> CapacityFleet::bridges(std::uint32_t dataCentre)
{
    std::vector<HostId> ids;
    for (const Host* host : hostsOf(dataCentre))
        ids.push_back(host->id);
    return rendezvous("bridge", ids, 2);
}

double CapacityFleet::membershipBytes(Host& host)
{
    const std::int64_t before = liveBytes();
    host.membership.reset();
    return static_cast<double>(before - liveBytes());
}

void CapacityFleet::tick(Host& host)
{
    for (GroupLoad& load : host.loads) {
        load.running = static_cast<std::uint32_t>(m_random.below(64));
        load.wait[Rank::Summary] = Duration(static_cast<std::int64_t>(m_random.below(1'000'000)));
    }
    const double before = threadCpuMicroseconds();
    if (!host.loads.empty())
        host.membership->setLoads(host.loads);
    host.membership->tick();
    if (host.spread) {
        if (host.membersRevision != host.membership->revision()) {
            host.membersRevision = host.membership->revision();
            host.spread->onMembers(host.membership->members());
        }
        host.spread->onStoreNews(host.membership->storeNews());
        host.spread->tick();
    }
    host.cpu += threadCpuMicroseconds() - before;
    send(host);
    at(tickPeriod, [this, &host] { tick(host); });
}

void CapacityFleet::send(Host& host)
{
    for (MemberSend& sent : host.membership->takeSends())
        std::visit([&](auto& body) { transmit(host, sent.to, std::move(body)); }, sent.message);
    if (!host.spread)
        return;
    for (const ControlOperation& operation : host.spread->takeOperations())
        askStore(host, operation);
    for (ConfigSend& sent : host.spread->takeSends())
        std::visit([&](auto& body) { transmit(host, sent.to, std::move(body)); }, sent.message);
    host.membership->setConfiguration(host.spread->status().inForce);
    host.membership->setStoreAnswers(host.spread->status().storeAnswers);
}

void CapacityFleet::transmit(Host& host, const HostId& to, const PeerMessage& message)
{
    const double before = threadCpuMicroseconds();
    std::string bytes = seal(m_keys, host.id, to, host.membership->self().incarnation, ++host.sequence, message);
    host.cpu += threadCpuMicroseconds() - before;
    const auto size = static_cast<double>(bytes.size());
    const bool config = std::holds_alternative<ConfigPull>(message) || std::holds_alternative<ConfigChunk>(message);
    (config ? host.configBytes : host.bytes) += size;
    host.messages += 1;
    at(linkDelay, [this, to, sealed = std::move(bytes)] {
        Host& receiver = m_hosts.at(to);
        const double start = threadCpuMicroseconds();
        const Opened opened = open(m_keys, to, sealed).value();
        deliver(receiver, opened.sender, opened.message);
        receiver.cpu += threadCpuMicroseconds() - start;
        send(receiver);
    });
}

void CapacityFleet::deliver(Host& host, const HostId& from, const PeerMessage& message)
{
    std::visit(
        [&](const auto& body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, Probe> || std::is_same_v<Body, ProbeReply>)
                host.membership->onMessage(from, body);
            else if constexpr (std::is_same_v<Body, ConfigPull> || std::is_same_v<Body, ConfigChunk>)
                host.spread->onMessage(from, body);
        },
        message);
}

StoreAnswer CapacityFleet::read(const std::string& key, StoreOperationId operation) const
{
    const auto found = m_store.find(key);
    StoreAnswer answer = found == m_store.end() ? StoreAnswer() : found->second;
    answer.operation = operation;
    answer.kind = found == m_store.end() ? StoreAnswer::Kind::Missing : StoreAnswer::Kind::Ok;
    return answer;
}

void CapacityFleet::askStore(Host& host, const ControlOperation& operation)
{
    host.storeCalls += 1;
    if (const auto* watch = std::get_if<StoreWatch>(&operation)) {
        pollWatch(host, *watch, m_clock.now() + watch->wait);
        return;
    }
    at(storeDelay, [this, &host, asked = std::get<StoreRead>(operation)] {
        host.spread->onAnswer(read(asked.key, asked.operation));
        send(host);
    });
}

void CapacityFleet::pollWatch(Host& host, const StoreWatch& watch, TimePoint until)
{
    at(watchPoll, [this, &host, watch, until] {
        StoreAnswer answer = read(watch.key, watch.operation);
        const bool fires = answer.version > watch.after;
        if (!fires && m_clock.now() < until) {
            pollWatch(host, watch, until);
            return;
        }
        if (!fires)
            answer = { watch.operation, StoreAnswer::Kind::Missing, {}, {} };
        host.spread->onAnswer(answer);
        send(host);
    });
}

} // namespace fuchsialb::bench
