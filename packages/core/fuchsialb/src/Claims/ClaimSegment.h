#pragma once

#include "ClaimLog.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb::internal {

enum class ClaimState : unsigned char {
    /// The request may have been dispatched.
    Claimed,
    /// The request completed with `httpStatus`.
    Completed,
    /// The request did not run; the key may be claimed again.
    Released,
};

/// \brief State of one idempotency key.
struct ClaimRecord {
    ClaimKey key;
    std::uint64_t bodyDigest = 0;
    AttemptId attempt;
    ClaimState state = ClaimState::Claimed;
    std::uint16_t httpStatus = 0;

    bool operator==(const ClaimRecord&) const = default;
};

/// \brief One store value of a shard: records with at most one for each key.
///
/// Encoding, numbers little-endian: format version (1 byte), sealed (1), created (8), sealed at (8), number of records
/// (4), records of 43 bytes (key 16, body digest 8, attempt 16, state 1, status 2), XXH3 of all that (8).
class ClaimSegment {
public:
    static constexpr std::size_t headerBytes = 22;
    static constexpr std::size_t recordBytes = 43;
    static constexpr std::size_t checksumBytes = 8;

    struct Header {
        bool sealed = false;
        /// Seconds since the Unix epoch.
        std::int64_t createdAt = 0;
        std::int64_t sealedAt = 0;
    };

    /// \return `MalformedMessage` when the bytes are not the encoding of a segment.
    static absl::StatusOr<ClaimSegment> decode(std::string_view bytes);
    std::string encode() const { return encode(m_header, {}); }
    /// Encodes the segment with another header and with some records added or replaced.
    /// \param changes At most one record for each key.
    std::string encode(const Header& header, const std::vector<ClaimRecord>& changes) const;

    /// \return The record of a key, or null.
    const ClaimRecord* find(const ClaimKey& key) const;
    /// Adds a record or replaces the one of the same key; the segment must not be sealed.
    void put(const ClaimRecord& record);
    const std::vector<ClaimRecord>& records() const { return m_records; }

    bool sealed() const { return m_header.sealed; }
    /// \param unixSeconds Time of the seal, not before the time of any record.
    void seal(std::int64_t unixSeconds);
    /// Undoes a seal; only for tests of the checker that must notice a write into a sealed segment.
    void unseal() { m_header.sealed = false; }

    std::int64_t createdAt() const { return m_header.createdAt; }
    void setCreatedAt(std::int64_t unixSeconds) { m_header.createdAt = unixSeconds; }
    std::int64_t sealedAt() const { return m_header.sealedAt; }

    /// \return Number of records that fit in `limit` bytes.
    static std::size_t capacity(Bytes limit);

private:
    Header m_header;
    std::vector<ClaimRecord> m_records;
    absl::flat_hash_map<ClaimKey, std::size_t> m_index;
};

} // namespace fuchsialb::internal
