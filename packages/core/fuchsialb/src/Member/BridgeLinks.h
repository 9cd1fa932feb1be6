#pragma once

#include "Membership.h"

#include <map>
#include <optional>
#include <vector>

namespace fuchsialb::internal {

/// \brief A host of another data centre and its address.
struct RemoteHost {
    HostId host;
    std::string address;
};

/// \brief Chooses the host of each other data centre that this bridge exchanges summaries with.
///
/// While a data centre answers, its known bridges take turns. When it has not answered for 3 periods, its listed hosts
/// are tried in rendezvous order until one answers with the current bridges.
class BridgeLinks {
public:
    explicit BridgeLinks(Duration period)
        : m_silenceLimit(period * 3)
    {
    }

    void setListed(const std::vector<ListedHost>& hosts, const DataCentreId& own);
    void heard(const DataCentreId& dataCentre, TimePoint now) { m_heard[dataCentre] = now; }
    /// Notes that a bridge of `dataCentre` started an exchange.
    void noteAsked(const DataCentreId& dataCentre, TimePoint now) { m_asked[dataCentre] = now; }
    /// \return Whether the other side started an exchange in the last 3 periods.
    bool asked(const DataCentreId& dataCentre, TimePoint now) const;
    /// \param known Bridges of other data centres by data centre.
    /// \return One host for each other data centre.
    std::vector<std::pair<DataCentreId, RemoteHost>> nextRound(
        const std::map<DataCentreId, std::vector<RemoteHost>>& known, TimePoint now);

private:
    Duration m_silenceLimit;
    std::map<DataCentreId, std::vector<RemoteHost>> m_listed;
    std::map<DataCentreId, TimePoint> m_heard;
    std::map<DataCentreId, TimePoint> m_asked;
    std::size_t m_round = 0;
};

} // namespace fuchsialb::internal
