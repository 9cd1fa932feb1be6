#pragma once

#include "ClaimBatch.h"
#include "ClaimSegment.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>

namespace fuchsialb::internal {

/// \brief What a writer has read of one shard: all sealed segments within retention, and the segment at the end.
class ClaimChain {
public:
    /// Forgets all and starts to read at segment `number`.
    void reset(std::uint64_t number);

    /// Takes over the content of segment `number()`, as read. A sealed segment moves the end to its successor, which
    /// counts as missing until it is installed.
    /// \return False when the version is lower than one that was seen before: the store went back.
    bool install(ClaimSegment segment, KeyVersion version);
    /// Makes the changes of a write that the store confirmed; the version must be higher than `version()`.
    bool confirm(const ClaimBatch& batch, KeyVersion version);

    /// \return The newest record of a key, or null.
    const ClaimRecord* find(const ClaimKey& key) const;

    /// Forgets sealed segments whose seal is not after `unixSeconds`.
    void dropSealedUntil(std::int64_t unixSeconds);

    /// \return Number of the segment at the end.
    std::uint64_t number() const { return m_number; }
    /// \return Version of the segment at the end, 0 when it is missing.
    KeyVersion version() const { return m_version; }
    const ClaimSegment& open() const { return m_open; }
    /// \return Number of the oldest segment that is remembered.
    std::uint64_t oldest() const { return m_number - m_seals.size(); }
    /// \return Time of the last seal; 0 when there is none.
    std::int64_t lastSeal() const { return m_lastSeal; }

    /// Ignores the seal of the segment at the end; only for `ClaimFault::WriteIntoSealed`.
    void setIgnoringSeals() { m_ignoresSeals = true; }

private:
    void moveOnWhenSealed();

    struct Sealed {
        ClaimRecord record;
        std::uint64_t segment = 0;
    };

    std::uint64_t m_number = 1;
    KeyVersion m_version;
    ClaimSegment m_open;
    absl::flat_hash_map<ClaimKey, Sealed> m_sealed;
    /// Times of the seals of segments `oldest()` to `number() - 1`.
    std::deque<std::int64_t> m_seals;
    std::int64_t m_lastSeal = 0;
    bool m_ignoresSeals = false;
};

} // namespace fuchsialb::internal
