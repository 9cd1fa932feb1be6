#pragma once

namespace fuchsialb::internal {

/// \brief Deliberate faults, set only by tests, that show that the checker of histories notices them.
enum class ClaimFault : unsigned char {
    None,
    /// Grants a claim when its write is issued.
    GrantBeforeWrite,
    /// Takes a write with a lost answer for one that took effect.
    LostIsSuccess,
    /// Takes a write with a lost answer for one that had no effect, and forgets its attempts.
    LostIsFailure,
    /// Writes over a conflicting version without reading it.
    NoReadOnConflict,
    /// Writes into a segment although it is sealed.
    WriteIntoSealed,
    /// Starts at the newest segment without reading the older ones.
    SkipOlderSegments,
    /// Releases a claim whose outcome is unknown.
    ReleaseUnknown,
    /// Takes a record of another writer's attempt for one of its own abandoned attempts.
    ClaimOverForeign,
    /// Grants an attempt that was answered `Unavailable` before when its record is found.
    GrantAbandoned,
};

} // namespace fuchsialb::internal
