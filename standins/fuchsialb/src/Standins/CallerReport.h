#pragma once

#include "Json.h"

#include <map>
#include <string>
#include <vector>

namespace fuchsialb::standins {

/// \brief Counts and times of one rank.
class CallerReport {
public:
    /// \param outcome "completed", "not-run", or "outcome-unknown" for anything else.
    void ended(const std::string& rank, const std::string& outcome, bool wrong);
    void sent(const std::string& rank) { ++m_ranks[rank].sent; }
    void firstToken(const std::string& rank, Duration time) { m_ranks[rank].firstToken.push_back(time); }
    void betweenTokens(const std::string& rank, Duration time) { m_ranks[rank].betweenTokens.push_back(time); }
    void callEnded(const std::string& rank, Duration time) { m_ranks[rank].call.push_back(time); }
    /// What the caller of a non-idempotent request was told at the end.
    void told(const std::string& key, const std::string& outcome) { m_told[key] = outcome; }

    Json toJson() const;

private:
    struct Counts {
        std::uint64_t sent = 0;
        std::uint64_t completed = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
        std::uint64_t wrong = 0;
        std::vector<Duration> firstToken;
        std::vector<Duration> betweenTokens;
        std::vector<Duration> call;
    };

    std::map<std::string, Counts> m_ranks;
    std::map<std::string, std::string> m_told;
};

} // namespace fuchsialb::standins
