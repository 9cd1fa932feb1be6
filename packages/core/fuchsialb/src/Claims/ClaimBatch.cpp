#include "ClaimBatch.h"

namespace fuchsialb::internal {

void ClaimBatch::put(const ClaimRecord& record)
{
    if (!contains(record.key))
        ++m_size;
    const auto [entry, isNew] = m_index.emplace(record.key, m_records.size());
    if (isNew)
        m_records.push_back(record);
    else
        m_records[entry->second] = record;
}

std::string ClaimBatch::encode() const
{
    ClaimSegment::Header header { m_sealedAt.has_value(), m_createdAt, m_sealedAt.value_or(0) };
    return m_base->encode(header, m_records);
}

void ClaimBatch::apply(ClaimSegment& segment) const
{
    for (const ClaimRecord& record : m_records)
        segment.put(record);
    segment.setCreatedAt(m_createdAt);
    if (m_sealedAt)
        segment.seal(*m_sealedAt);
}

} // namespace fuchsialb::internal
