#pragma once

#include "fuchsialb/Sched.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fuchsialb::test {

using namespace std::chrono_literals;

/// \return A model of 8 layers in two ranges with `replicas` runners each, "a0" ... for the first and "b0" ... for the
/// second range; shares are 50/30/20.
Configuration schedModel(std::uint32_t replicas, std::uint32_t concurrency);
/// \return A plain service with endpoints "s0" ...
Configuration schedService(std::uint32_t endpoints, std::uint32_t concurrency, bool deduplicates = false);

/// \return A request of 100 prompt tokens; its prompt is unique unless the test sets one.
Request schedRequest(std::uint64_t number, Rank rank = Rank::Urgent, std::uint32_t maxTokens = 10,
    const std::string& organisation = "o");
Request schedCall(std::uint64_t number, bool idempotent, Rank rank = Rank::Recording);

/// \brief Plays engines, endpoints and the claim log against the effects of one group scheduler.
class SchedDriver {
public:
    /// What an engine does between tokens, whatever its load.
    static constexpr Duration tokenInterval = 40ms;
    static constexpr Duration callTime = 50ms;

    SchedDriver(const Configuration& configuration, std::uint64_t seed = 1);

    void submit(const Request& request);
    /// Moves time in steps of 10 ms, with a tick after each.
    void advance(Duration by);
    /// Runs the effects of calls that the test made on `scheduler` itself.
    void pump();
    /// Makes all runs on the endpoint fail now, and all that start there while it is dead.
    void kill(const std::string& endpoint);
    void revive(const std::string& endpoint) { dead.erase(endpoint); }

    template <typename T> std::vector<T> all() const
    {
        std::vector<T> found;
        for (const Effect& effect : effects) {
            if (const T* each = std::get_if<T>(&effect))
                found.push_back(*each);
        }
        return found;
    }
    template <typename T> T last() const { return all<T>().back(); }
    std::size_t decisions(Reason reason) const;
    const Result& result(std::uint64_t number) const;
    bool finished(std::uint64_t number) const { return results.contains(id(number)); }
    static RequestId id(std::uint64_t number) { return RequestId(Bits128 { 0, number }); }

    ManualClock clock;
    Random random;
    std::unique_ptr<GroupScheduler> scheduler;

    /// Engines and endpoints answer by themselves; off when the test feeds events.
    bool plays = true;
    bool stateMoves = true;
    FailureProof deadProof = FailureProof::NotStarted;
    ClaimResult verdict { ClaimVerdict::Granted, 0 };
    std::set<std::string> dead;
    /// Runners that accept work and yield nothing.
    std::set<std::string> silent;
    /// Organisations whose answers end after this many tokens, whatever the limit.
    std::map<OrganisationId, std::uint32_t> earlyStops;

    std::vector<Effect> effects;
    /// All effects as text, in order.
    std::string trace;
    std::map<RequestId, std::vector<std::string>> delivered;
    std::map<RequestId, Result> results;
    std::map<RequestId, TimePoint> firstToken;
    std::map<Rank, double> tokensOf;
    std::map<std::string, double> tokensOfOrganisation;
    /// Broken promises: more than one final answer, gaps or repeats in the tokens.
    std::vector<std::string> faults;

private:
    void play(const StartRun& start);
    void play(const CallService& call);
    void nextToken(const StartRun& start, std::uint32_t position);
    void handle(const Effect& effect);
    void record(const Effect& effect);
    void at(Duration delay, std::function<void()> action);

    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<RequestId, StartRun> m_runs;
    std::map<RequestId, Request> m_requests;
    std::set<RequestId> m_closed;
    std::vector<Effect> m_pending;
    bool m_pumping = false;
};

} // namespace fuchsialb::test
