#include "AnswerCounter.h"

#include "../../Base/Hash.h"

#include <array>
#include <bit>
#include <limits>

namespace fuchsialb {

namespace {

    constexpr Duration halfLife = std::chrono::seconds(30);
    // Looking through all parts takes about as long as the answers of this time.
    constexpr Duration minRoomInterval = std::chrono::seconds(1);

} // namespace

std::uint64_t servicePartHash(std::uint64_t serviceHash, PromptPartId part)
{
    const auto bytes = std::bit_cast<std::array<char, sizeof(std::uint64_t)>>(part.value());
    return hash64({ bytes.data(), bytes.size() }, serviceHash);
}

void AnswerCounter::record(const TargetId& service, const std::vector<PromptPartId>& parts, TimePoint now)
{
    age(now);
    const std::uint64_t serviceHash = hash64(service.value());
    for (const PromptPartId part : parts) {
        const std::uint64_t key = servicePartHash(serviceHash, part);
        auto found = m_counts.find(key);
        if (found == m_counts.end()) {
            if (m_counts.size() >= maxParts && !makeRoom(now))
                continue;
            found = m_counts.emplace(key, 0).first;
        }
        if (found->second < std::numeric_limits<std::uint32_t>::max())
            ++found->second;
    }
}

std::uint32_t AnswerCounter::count(const TargetId& service, PromptPartId part) const
{
    const auto found = m_counts.find(servicePartHash(hash64(service.value()), part));
    return found == m_counts.end() ? 0 : found->second;
}

void AnswerCounter::age(TimePoint now)
{
    while (now - m_halvedAt >= halfLife) {
        if (m_counts.empty()) {
            m_halvedAt = now;
            return;
        }
        m_halvedAt += halfLife;
        halve();
    }
}

bool AnswerCounter::makeRoom(TimePoint now)
{
    if (now - m_roomMadeAt < minRoomInterval)
        return false;
    m_roomMadeAt = now;
    halve();
    return m_counts.size() < maxParts;
}

void AnswerCounter::halve()
{
    for (auto& [part, count] : m_counts)
        count /= 2;
    absl::erase_if(m_counts, [](const auto& item) { return item.second == 0; });
}

} // namespace fuchsialb
