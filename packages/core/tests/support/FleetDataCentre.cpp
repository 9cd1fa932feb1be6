#include "FleetDataCentre.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace fuchsialb::test {

std::shared_ptr<const RoutingTable> table(std::uint64_t version)
{
    auto made = std::make_shared<RoutingTable>();
    made->version = ConfigurationVersion(version);
    return made;
}

FleetDataCentre::FleetDataCentre(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        hosts.push_back(std::make_unique<Host>(fmt::format("host-{:03}", i).c_str(), "east"));
    for (const auto& host : hosts) {
        m_byId.emplace(host->id, host.get());
        static_cast<void>(host->configuration.accept(table(7), now.time_since_epoch()));
        for (const auto& other : hosts)
            host->directory.put(other->registration(), now);
    }
}

void FleetDataCentre::step()
{
    for (Host* from : living()) {
        std::size_t copiesAtOnce = 0;
        for (const auto& outgoing :
            from->beats.dueBeats(now, now.time_since_epoch(), m_stopping.contains(from->id), "text")) {
            copiesAtOnce += outgoing.beat.configurationText.empty() ? 0 : 1;
            ++messages[from->id];
            if (!isAlive(outgoing.to) || m_cuts.contains({ from->id, outgoing.to }))
                continue;
            ++messages[outgoing.to];
            Host& to = *m_byId.at(outgoing.to);
            if (const auto update = to.beats.receive(from->id, outgoing.beat, now))
                static_cast<void>(
                    to.configuration.accept(table(outgoing.beat.configuration.value()), update->provenAt));
        }
        copies += copiesAtOnce;
        mostCopiesAtOnce = std::max(mostCopiesAtOnce, copiesAtOnce);
    }
    now += 100ms;
}

std::vector<Host*> FleetDataCentre::living() const
{
    std::vector<Host*> list;
    for (const auto& host : hosts) {
        if (isAlive(host->id))
            list.push_back(host.get());
    }
    return list;
}

void FleetDataCentre::run(Duration time)
{
    for (const TimePoint end = now + time; now < end;)
        step();
}

std::size_t FleetDataCentre::withConfiguration(std::uint64_t version) const
{
    return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(),
        [&](const auto& host) { return host->configuration.version() == ConfigurationVersion(version); }));
}

} // namespace fuchsialb::test
