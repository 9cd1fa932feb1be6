#include "RelayGrid.h"

#include <algorithm>
#include <cmath>

namespace fuchsialb::internal {

void RelayGrid::setMembers(std::vector<HostId> members, const std::vector<HostId>& usable)
{
    const auto rows = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(members.size()))));
    m_rows.assign(rows, {});
    m_usable.assign(rows, {});
    m_rowOf.clear();
    for (std::size_t i = 0; i < members.size(); ++i) {
        const std::size_t row = i % rows;
        m_rowOf[members[i]] = row;
        if (std::binary_search(usable.begin(), usable.end(), members[i]))
            m_usable[row].push_back(members[i]);
        m_rows[row].push_back(std::move(members[i]));
    }
}

std::vector<HostId> RelayGrid::relays(std::string_view key) const
{
    std::vector<HostId> chosen;
    for (std::size_t row = 0; row < m_rows.size(); ++row) {
        const auto& from = m_usable[row].empty() ? m_rows[row] : m_usable[row];
        for (HostId& host : rendezvous(key, from, 1))
            chosen.push_back(std::move(host));
    }
    return chosen;
}

const std::vector<HostId>& RelayGrid::row(const HostId& host) const
{
    static const std::vector<HostId> none;
    const auto known = m_rowOf.find(host);
    return known == m_rowOf.end() ? none : m_rows[known->second];
}

} // namespace fuchsialb::internal
