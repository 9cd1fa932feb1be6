#include "ReplayWindow.h"

#include <algorithm>

namespace fuchsialb::internal {

bool ReplayWindow::accept(const HostId& sender, Incarnation incarnation, std::uint64_t sequence)
{
    Sender& known = senderFor(sender, incarnation, sequence);
    known.lastUse = ++m_uses;
    if (incarnation < known.incarnation)
        return false;
    if (incarnation > known.incarnation)
        known = { incarnation, sequence, {}, m_uses };
    if (sequence > known.highest) {
        const std::uint64_t ahead = sequence - known.highest;
        known.seen = ahead < windowSize ? known.seen << static_cast<std::size_t>(ahead) : std::bitset<windowSize>();
        known.highest = sequence;
    }
    const std::uint64_t behind = known.highest - sequence;
    if (behind >= windowSize || known.seen.test(static_cast<std::size_t>(behind)))
        return false;
    known.seen.set(static_cast<std::size_t>(behind));
    return true;
}

ReplayWindow::Sender& ReplayWindow::senderFor(const HostId& id, Incarnation incarnation, std::uint64_t sequence)
{
    const auto found = m_senders.find(id);
    if (found != m_senders.end())
        return found->second;
    if (m_senders.size() >= m_maxSenders) {
        m_senders.erase(std::min_element(m_senders.begin(), m_senders.end(),
            [](const auto& a, const auto& b) { return a.second.lastUse < b.second.lastUse; }));
    }
    return m_senders.emplace(id, Sender { incarnation, sequence, {}, 0 }).first->second;
}

} // namespace fuchsialb::internal
