#include "ControlWorld.h"

#include <cstdlib>

namespace fuchsialb::test {

WorldHost& ControlWorld::start(const std::string& id, const std::string& dataCentre)
{
    WorldHost& host = hosts[HostId(id)];
    host.host = HostId(id);
    host.dataCentre = DataCentreId(dataCentre);
    ++host.incarnation;
    host.pausedUntil = TimePoint();
    const Member self { host.host, host.dataCentre, "10.1.1.1:70/" + id, MemberState::Alive,
        Incarnation(host.incarnation * 1000), {} };
    host.membership = Membership::create(self, options, clock, random).value();
    scheduleTick(host.host, host.incarnation, Duration(random.below(50'000)));
    return host;
}

bool ControlWorld::up(const HostId& host) const
{
    const auto known = hosts.find(host);
    return known != hosts.end() && known->second.membership;
}

void ControlWorld::pause(const std::string& host, Duration length)
{
    hosts.at(HostId(host)).pausedUntil = clock.now() + length;
}

void ControlWorld::publishHostList()
{
    std::vector<ListedHost> list;
    for (const auto& [id, host] : hosts) {
        if (host.membership)
            list.push_back({ id, host.dataCentre, host.membership->self().address, false });
    }
    for (auto& [id, host] : hosts) {
        if (host.membership)
            host.membership->onHostList(list);
    }
}

void ControlWorld::runFor(Duration length)
{
    const TimePoint end = clock.now() + length;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto event = m_events.extract(m_events.begin());
        clock.set(std::max(clock.now(), event.key()));
        event.mapped()();
    }
    clock.set(end);
}

void ControlWorld::scheduleTick(const HostId& id, std::uint64_t incarnation, Duration delay)
{
    after(delay, [this, id, incarnation] {
        WorldHost& host = hosts.at(id);
        if (!host.membership || host.incarnation != incarnation)
            return;
        if (clock.now() < host.pausedUntil) {
            scheduleTick(id, incarnation, host.pausedUntil - clock.now());
            return;
        }
        host.membership->tick();
        onTick(host);
        flush(host);
        scheduleTick(id, incarnation, tickInterval);
    });
}

void ControlWorld::flush(WorldHost& host)
{
    for (MemberSend& send : host.membership->takeSends()) {
        const std::uint64_t size = estimatedSize(send.message);
        transmit(
            host.host, send.to, size, [this, from = host.host, message = std::move(send.message)](WorldHost& receiver) {
                receiver.membership->onMessage(from, message);
                flush(receiver);
            });
    }
}

Duration ControlWorld::delay()
{
    const auto range = static_cast<std::uint64_t>((faults.maxDelay - faults.minDelay).count()) + 1;
    return faults.minDelay + Duration(random.below(range));
}

void ControlWorld::transmit(
    const HostId& from, const HostId& to, std::uint64_t size, std::function<void(WorldHost&)> action)
{
    WorldHost& host = hosts.at(from);
    host.bytes += size;
    ++host.sends;
    const bool dropped = cut(from, to) || random.chance(faults.loss);
    const int copies = dropped ? 0 : (random.chance(faults.duplicate) ? 2 : 1);
    for (int copy = 0; copy < copies; ++copy)
        after(delay(), [this, to, size, action] { arrive(to, size, action); });
}

void ControlWorld::arrive(const HostId& to, std::uint64_t size, const std::function<void(WorldHost&)>& action)
{
    if (!up(to))
        return;
    WorldHost& host = hosts.at(to);
    if (clock.now() < host.pausedUntil) {
        after(host.pausedUntil - clock.now(), [this, to, size, action] { arrive(to, size, action); });
        return;
    }
    host.bytes += size;
    action(host);
}

namespace {

    /// Fleet, protocol, sender, incarnation, sequence, 32 B of MAC and the framing of each.
    constexpr std::uint64_t envelopeSize = 75;
    /// Tags, lengths and numbers of a member beside its strings.
    constexpr std::uint64_t memberSize = 24;
    /// Three waits, two counts and framing beside the group's id.
    constexpr std::uint64_t loadSize = 22;
    constexpr std::uint64_t newsSize = 20;
    constexpr std::uint64_t fixedSize = 8;

    std::uint64_t sizeOf(const std::vector<Member>& members)
    {
        std::uint64_t size = 0;
        for (const Member& member : members)
            size += memberSize + member.host.value().size() + member.dataCentre.value().size() + member.address.size();
        return size;
    }

    std::uint64_t sizeOf(const std::vector<GroupLoad>& loads)
    {
        std::uint64_t size = 0;
        for (const GroupLoad& load : loads)
            size += loadSize + load.group.value().size();
        return size;
    }

} // namespace

std::uint64_t estimatedSize(const MemberMessage& message)
{
    return std::visit(
        [](const auto& body) {
            std::uint64_t size
                = envelopeSize + fixedSize + body.subject.value().size() + sizeOf(body.members) + sizeOf(body.loads);
            for (const StoreNews& news : body.storeNews)
                size += newsSize + news.watcher.value().size();
            if constexpr (std::is_same_v<std::decay_t<decltype(body)>, Probe>)
                size += sizeOf(body.remoteLoads) + body.onBehalfOf.value().size();
            return size;
        },
        message);
}

std::uint64_t seedCount()
{
    const char* text = std::getenv("FUCHSIALB_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : 1000;
}

} // namespace fuchsialb::test
