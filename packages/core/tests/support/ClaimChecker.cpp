#include "ClaimChecker.h"

#include <algorithm>

namespace fuchsialb {

void ClaimChecker::claimed(int writer, AttemptId attempt, ClaimKey key, std::uint64_t bodyDigest)
{
    const Attempt& added = m_attempts[attempt] = { writer, key, bodyDigest };
    m_keys[key].attempts.push_back(&added);
}

void ClaimChecker::answered(AttemptId id, const ClaimResult& result)
{
    Attempt& attempt = m_attempts.at(id);
    Key& key = m_keys[attempt.key];
    require(!attempt.isAnswered, "an attempt is answered twice", attempt);
    attempt.isAnswered = true;
    attempt.verdict = result.verdict;
    switch (result.verdict) {
    case ClaimVerdict::Granted:
        return onGranted(attempt, key);
    case ClaimVerdict::Completed:
        return require(key.isCompleted && key.httpStatus == result.httpStatus, "completed without cause", attempt);
    case ClaimVerdict::KeyReused:
        return require(std::any_of(key.attempts.begin(), key.attempts.end(),
                           [&](const Attempt* other) { return other->bodyDigest != attempt.bodyDigest; }),
            "reused without another body", attempt);
    case ClaimVerdict::Unknown:
        return onUnknown(attempt, key);
    case ClaimVerdict::Unavailable:
        return;
    }
}

void ClaimChecker::onGranted(const Attempt& attempt, Key& key)
{
    require(!key.isCompleted, "a completed key is granted", attempt);
    require(!key.holder, "a key is granted twice", attempt);
    key.holder = &attempt;
}

// A writer knows which of its own attempts were never dispatched, so these must not block its later claims.
void ClaimChecker::onUnknown(const Attempt& attempt, const Key& key)
{
    const bool hasCause = std::any_of(key.attempts.begin(), key.attempts.end(), [&](const Attempt* other) {
        return other != &attempt
            && (other->writer != attempt.writer || (other->verdict == ClaimVerdict::Granted && !other->isReleased));
    });
    require(hasCause, "unknown without an attempt that may run", attempt);
}

void ClaimChecker::settled(AttemptId id, Outcome outcome, std::uint32_t httpStatus)
{
    Attempt& attempt = m_attempts.at(id);
    Key& key = m_keys[attempt.key];
    if (outcome == Outcome::NotRun) {
        attempt.isReleased = true;
        key.holder = nullptr;
    } else if (outcome == Outcome::Completed) {
        key.isCompleted = true;
        key.httpStatus = httpStatus;
    }
}

void ClaimChecker::finish(const std::set<int>& replacedWriters)
{
    for (const auto& [id, attempt] : m_attempts)
        require(attempt.isAnswered || replacedWriters.contains(attempt.writer), "an attempt is not answered", attempt);
}

void ClaimChecker::require(bool holds, const std::string& what, const Attempt& attempt)
{
    if (!holds) {
        m_violations.push_back(
            what + ": writer " + std::to_string(attempt.writer) + ", key " + std::to_string(attempt.key.value().low));
    }
}

std::size_t ClaimChecker::count(ClaimVerdict verdict) const
{
    return static_cast<std::size_t>(std::count_if(m_attempts.begin(), m_attempts.end(),
        [=](const auto& entry) { return entry.second.isAnswered && entry.second.verdict == verdict; }));
}

} // namespace fuchsialb
