#pragma once

#include "ClaimSegment.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fuchsialb::internal {

/// \brief The changes that one write makes to a segment.
///
/// A segment holds up to 20,000 records; keeping the changes apart saves a copy of them for each write.
class ClaimBatch {
public:
    /// \param base Must stay as it is until the batch is encoded and applied.
    explicit ClaimBatch(const ClaimSegment& base)
        : m_base(&base)
        , m_size(base.records().size())
        , m_createdAt(base.createdAt())
    {
    }

    /// Adds a record or replaces the one of the same key.
    void put(const ClaimRecord& record);
    /// \return Whether the segment holds the key after the write.
    bool contains(const ClaimKey& key) const { return m_index.contains(key) || m_base->find(key); }
    /// \return Number of records that the segment holds after the write.
    std::size_t size() const { return m_size; }
    /// \return Whether the write adds keys to the segment.
    bool isLarger() const { return m_size > m_base->records().size(); }
    bool isEmpty() const { return m_records.empty() && !m_sealedAt; }

    /// \param unixSeconds Time of the seal, not before the time of any record.
    void seal(std::int64_t unixSeconds) { m_sealedAt = unixSeconds; }
    void setCreatedAt(std::int64_t unixSeconds) { m_createdAt = unixSeconds; }
    std::int64_t createdAt() const { return m_createdAt; }

    /// \return The encoded segment after the write.
    std::string encode() const;
    /// Makes the changes to a segment.
    void apply(ClaimSegment& segment) const;

private:
    const ClaimSegment* m_base;
    std::size_t m_size;
    std::int64_t m_createdAt;
    std::optional<std::int64_t> m_sealedAt;
    std::vector<ClaimRecord> m_records;
    absl::flat_hash_map<ClaimKey, std::size_t> m_index;
};

} // namespace fuchsialb::internal
