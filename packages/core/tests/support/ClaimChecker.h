#pragma once

#include "fuchsialb/Claims.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief Judges a history of claims by what was asked and answered alone; it knows nothing of the store.
class ClaimChecker {
public:
    void claimed(int writer, AttemptId attempt, ClaimKey key, std::uint64_t bodyDigest);
    void answered(AttemptId attempt, const ClaimResult& result);
    void settled(AttemptId attempt, Outcome outcome, std::uint32_t httpStatus);
    /// Ends the history: every claim must have been answered, except those of writers that were replaced.
    void finish(const std::set<int>& replacedWriters);

    const std::vector<std::string>& violations() const { return m_violations; }
    std::size_t count(ClaimVerdict verdict) const;

private:
    struct Attempt {
        int writer = 0;
        ClaimKey key;
        std::uint64_t bodyDigest = 0;
        bool isAnswered = false;
        ClaimVerdict verdict = ClaimVerdict::Unavailable;
        bool isReleased = false;
    };

    struct Key {
        /// The attempt that may run or has run.
        const Attempt* holder = nullptr;
        bool isCompleted = false;
        std::uint32_t httpStatus = 0;
        std::vector<const Attempt*> attempts;
    };

    void onGranted(const Attempt& attempt, Key& key);
    void onUnknown(const Attempt& attempt, const Key& key);
    void require(bool holds, const std::string& what, const Attempt& attempt);

    std::map<AttemptId, Attempt> m_attempts;
    std::map<ClaimKey, Key> m_keys;
    std::vector<std::string> m_violations;
};

} // namespace fuchsialb
