#include "DecisionLog.h"

#include <algorithm>
#include <iterator>

namespace fuchsialb {

DecisionLog::DecisionLog(std::size_t capacity)
    : m_capacity(capacity)
{
}

void DecisionLog::add(std::int64_t unixMicroseconds, const Decision& decision)
{
    const std::lock_guard lock(m_mutex);
    if (m_entries.size() == m_capacity)
        m_entries.pop_front();
    m_entries.push_back({ unixMicroseconds, decision.request, decision.reason, decision.detail });
}

std::vector<DecisionLog::Entry> DecisionLog::ofRequest(std::string_view request) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Entry> found;
    std::copy_if(m_entries.begin(), m_entries.end(), std::back_inserter(found),
        [&](const Entry& entry) { return toHex(entry.request.value()) == request; });
    return found;
}

std::vector<DecisionLog::Entry> DecisionLog::naming(std::string_view word) const
{
    constexpr std::size_t most = 100;
    const std::lock_guard lock(m_mutex);
    std::vector<Entry> found;
    for (auto it = m_entries.rbegin(); it != m_entries.rend() && found.size() < most; ++it) {
        if (it->detail.find(word) != std::string::npos)
            found.push_back(*it);
    }
    std::reverse(found.begin(), found.end());
    return found;
}

} // namespace fuchsialb
