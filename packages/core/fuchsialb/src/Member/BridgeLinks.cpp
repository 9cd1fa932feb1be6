#include "BridgeLinks.h"

namespace fuchsialb::internal {

namespace {

    /// Listed hosts that are tried in turn; enough to pass a rack that is down.
    constexpr std::size_t maxCandidates = 32;

    /// Orders the hosts of a data centre as rendezvous for `bridge` does there.
    std::vector<RemoteHost> inBridgeOrder(const std::vector<RemoteHost>& hosts)
    {
        std::map<HostId, std::string> addresses;
        std::vector<HostId> ids;
        for (const RemoteHost& host : hosts) {
            addresses[host.host] = host.address;
            ids.push_back(host.host);
        }
        std::vector<RemoteHost> ordered;
        for (const HostId& id : rendezvous("bridge", ids, maxCandidates))
            ordered.push_back({ id, addresses[id] });
        return ordered;
    }

} // namespace

void BridgeLinks::setListed(const std::vector<ListedHost>& hosts, const DataCentreId& own)
{
    m_listed.clear();
    for (const ListedHost& host : hosts) {
        if (host.dataCentre != own)
            m_listed[host.dataCentre].push_back({ host.host, host.address });
    }
    for (auto& [dataCentre, listed] : m_listed)
        listed = inBridgeOrder(listed);
}

bool BridgeLinks::asked(const DataCentreId& dataCentre, TimePoint now) const
{
    const auto known = m_asked.find(dataCentre);
    return known != m_asked.end() && now - known->second <= m_silenceLimit;
}

std::vector<std::pair<DataCentreId, RemoteHost>> BridgeLinks::nextRound(
    const std::map<DataCentreId, std::vector<RemoteHost>>& known, TimePoint now)
{
    ++m_round;
    std::map<DataCentreId, const std::vector<RemoteHost>*> choices;
    for (const auto& [dataCentre, hosts] : m_listed)
        choices[dataCentre] = &hosts;
    for (const auto& [dataCentre, hosts] : known) {
        const auto heard = m_heard.find(dataCentre);
        const bool answering = heard != m_heard.end() && now - heard->second <= m_silenceLimit;
        if (answering || !choices.contains(dataCentre))
            choices[dataCentre] = &hosts;
    }
    std::vector<std::pair<DataCentreId, RemoteHost>> round;
    for (const auto& [dataCentre, hosts] : choices) {
        if (!hosts->empty())
            round.emplace_back(dataCentre, (*hosts)[m_round % hosts->size()]);
    }
    return round;
}

} // namespace fuchsialb::internal
