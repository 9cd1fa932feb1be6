#include "ClaimChain.h"

#include <algorithm>

namespace fuchsialb::internal {

void ClaimChain::reset(std::uint64_t number)
{
    const bool ignoresSeals = m_ignoresSeals;
    *this = ClaimChain();
    m_number = number;
    m_ignoresSeals = ignoresSeals;
}

bool ClaimChain::install(ClaimSegment segment, KeyVersion version)
{
    if (version < m_version)
        return false;
    m_open = std::move(segment);
    m_version = version;
    moveOnWhenSealed();
    return true;
}

bool ClaimChain::confirm(const ClaimBatch& batch, KeyVersion version)
{
    if (version <= m_version)
        return false;
    batch.apply(m_open);
    m_version = version;
    moveOnWhenSealed();
    return true;
}

void ClaimChain::moveOnWhenSealed()
{
    if (m_ignoresSeals)
        m_open.unseal();
    if (!m_open.sealed())
        return;
    for (const ClaimRecord& record : m_open.records())
        m_sealed.insert_or_assign(record.key, Sealed { record, m_number });
    m_lastSeal = std::max(m_lastSeal, m_open.sealedAt());
    m_seals.push_back(m_lastSeal);
    ++m_number;
    m_version = KeyVersion();
    m_open = ClaimSegment();
}

const ClaimRecord* ClaimChain::find(const ClaimKey& key) const
{
    if (const ClaimRecord* record = m_open.find(key))
        return record;
    const auto found = m_sealed.find(key);
    return found == m_sealed.end() ? nullptr : &found->second.record;
}

void ClaimChain::dropSealedUntil(std::int64_t unixSeconds)
{
    bool dropped = false;
    while (!m_seals.empty() && m_seals.front() <= unixSeconds) {
        m_seals.pop_front();
        dropped = true;
    }
    if (dropped)
        absl::erase_if(m_sealed, [&](const auto& entry) { return entry.second.segment < oldest(); });
}

} // namespace fuchsialb::internal
