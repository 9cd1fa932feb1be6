#include "LoadBoard.h"

namespace fuchsialb::internal {

void LoadBoard::put(const GroupLoad& load, TimePoint now, Duration lifetime, bool local)
{
    m_entries[load.group] = { load, now, lifetime, local };
}

std::vector<GroupLoad> LoadBoard::local() const
{
    std::vector<GroupLoad> loads;
    for (const auto& [group, entry] : m_entries) {
        if (entry.local)
            loads.push_back(entry.load);
    }
    return loads;
}

void LoadBoard::expire(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto& item) { return item.second.arrived + item.second.lifetime < now; });
}

const GroupLoad* LoadBoard::find(const GroupId& group) const
{
    const auto known = m_entries.find(group);
    return known == m_entries.end() ? nullptr : &known->second.load;
}

Duration LoadBoard::age(const GroupId& group, TimePoint now) const
{
    const auto known = m_entries.find(group);
    return known == m_entries.end() ? Duration::max() : now - known->second.arrived;
}

} // namespace fuchsialb::internal
