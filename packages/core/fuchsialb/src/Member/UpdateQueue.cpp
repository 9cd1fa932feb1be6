#include "UpdateQueue.h"

#include <algorithm>
#include <bit>

namespace fuchsialb::internal {

namespace {

    /// Each member has to receive an update; 3 log2(n) repeats miss one with a probability of about 1/n^3.
    constexpr std::uint32_t repeatFactor = 3;

} // namespace

void UpdateQueue::push(const Member& update) { m_pending[update.host] = { update, 0 }; }

std::vector<Member> UpdateQueue::take(std::size_t count, std::size_t groupSize)
{
    const auto limit = repeatFactor * static_cast<std::uint32_t>(std::bit_width(groupSize + 1));
    std::vector<Pending*> order;
    order.reserve(m_pending.size());
    for (auto& [host, pending] : m_pending)
        order.push_back(&pending);
    std::stable_sort(order.begin(), order.end(), [](const Pending* a, const Pending* b) { return a->sent < b->sent; });
    std::vector<Member> taken;
    for (Pending* pending : order) {
        if (taken.size() == count)
            break;
        taken.push_back(pending->update);
        ++pending->sent;
    }
    std::erase_if(m_pending, [limit](const auto& item) { return item.second.sent >= limit; });
    return taken;
}

} // namespace fuchsialb::internal
