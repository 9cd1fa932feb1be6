#pragma once

#include "../../Base/Clock.h"
#include "../../Base/Ids.h"
#include "../Admission/LoadLedger.h"
#include "../Admission/RequestRateLimits.h"
#include "../Directory/RunnerDirectory.h"
#include "HedgeBudget.h"
#include "HedgeDelay.h"
#include "SharedRetryBudget.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <variant>

namespace fuchsialb {

/// \brief Why a request isn't sent to a second runner now.
enum class HedgeObstacle : unsigned char {
    /// The run isn't slow yet, or too few answers are known to tell.
    TooEarly,
    /// The request has been sent to as many runners as its route allows.
    Attempts,
    /// The time left is shorter than most answers take.
    Deadline,
    /// This host shuts down.
    Stopping,
    /// A part of the request's prompt is quarantined.
    Quarantine,
    /// This host was held up, so the answer may wait unread.
    HostHeldUp,
    /// A runner of the service turned requests away lately, rests, or has named a limit on requests.
    Shortage,
    /// No other runner is usable, answers in time and has no more requests than the present one.
    NoRunner,
    /// The hedges that the operator allows are used up.
    Budget,
    /// The fleet's budget has no more than its retries may need.
    RetryBudget,
};

std::string_view hedgeObstacleName(HedgeObstacle obstacle);

/// \brief Decides whether and where a request whose answer is slow runs a second time, beside the first run.
///
/// Answers the load in which single runners are slow or silent for a moment while others have room. Where all are slow
/// it sends nothing, since more requests would make the next ones slower.
class HedgePolicy {
public:
    /// What this host knows of the runners, and of itself.
    struct Fleet {
        const RunnerDirectory& runners;
        const LoadLedger& ledger;
        const RequestRateLimits& limits;
        const DataCentreId& dataCentre;
        /// Number of hosts that share the retry budget, at least 1.
        std::size_t hosts = 1;
        bool isStopping = false;
        /// Those of the hosts that are in the data centre of this one.
        std::size_t nearbyHosts = 1;
    };

    /// A run whose answer is awaited.
    struct Run {
        const TargetId& service;
        const EndpointId& runner;
        TimePoint sentAt;
        /// When the caller stops waiting.
        TimePoint deadline;
        std::uint32_t attempts = 0;
        std::uint32_t maxAttempts = 0;
        /// Runners that have run or refused the request, or whose limit doesn't admit it.
        const std::set<EndpointId>& excluded;
        bool isQuarantined = false;
        /// Whether this host was held up since the run was sent.
        bool hostWasHeldUp = false;
    };

    using Decision = std::variant<EndpointId, HedgeObstacle>;

    /// \param ratio Hedges per request for a service; 0 turns hedging off, and nothing is recorded then.
    /// \param window Time for which hedges that aren't used are kept.
    HedgePolicy(double ratio, Duration window)
        : m_ratio(ratio)
        , m_window(window)
    {
    }

    void recordRequest(const TargetId& service, TimePoint now);
    void recordStart(const EndpointId& runner, TimePoint sentAt);
    /// Records the end of a run that `recordStart` has recorded, however it ended.
    void recordEnd(const EndpointId& runner, TimePoint sentAt);
    /// \brief Records the time from sending a request to its whole answer. Not called for hedges: those that lose are
    /// cancelled early, so the others would make the service look faster than it is.
    void recordDuration(const TargetId& service, const EndpointId& runner, Duration took, TimePoint now);
    /// \brief Records a run other than a hedge that was cancelled without an answer. It counts with its age if it was
    /// slow by then, so that hedging doesn't hide slow answers from the delay.
    void recordGivenUp(const TargetId& service, const EndpointId& runner, Duration age, TimePoint now);
    /// Records that a runner of the service turned a request away.
    void recordRefusal(const TargetId& service, TimePoint now);

    /// \brief Number of slow runs at a runner that were cancelled lately, since its last answer in time.
    ///
    /// Their load is released, but a silent runner must not look idle for that and get the next requests first.
    std::size_t givenUpLately(const EndpointId& runner, TimePoint now) const;
    /// \return Time after which a run without an answer is slow; none while too little is known.
    std::optional<Duration> delay(const TargetId& service, TimePoint now) const;
    /// \brief Decides on a run whose answer is awaited. Takes the hedge from both budgets if it returns a runner, to
    /// which the caller then sends the request.
    Decision decide(const Run& run, const Fleet& fleet, SharedRetryBudget& retryBudget, TimePoint now);

private:
    struct Service {
        HedgeBudget budget;
        HedgeDelay delay;
        std::optional<TimePoint> refusedAt {};
    };

    bool isShort(const Service& service, const TargetId& name, const Fleet& fleet, TimePoint now) const;
    const RunnerDirectory::Runner* chooseRunner(
        const Run& run, const Fleet& fleet, Duration delay, TimePoint now) const;
    /// \return Whether a runner keeps a request of this host waiting for longer than `delay`, or did lately.
    bool isSlow(const EndpointId& runner, Duration delay, TimePoint now) const;

    double m_ratio;
    Duration m_window;
    std::map<TargetId, Service> m_services;
    /// When the open runs at each runner were sent.
    std::map<EndpointId, std::multiset<TimePoint>> m_open;
    /// When the last answer of a runner came, if it was slow.
    std::map<EndpointId, TimePoint> m_slowAt;
    /// When slow runs at each runner were cancelled, oldest first.
    std::map<EndpointId, std::deque<TimePoint>> m_givenUpAt;
};

} // namespace fuchsialb
