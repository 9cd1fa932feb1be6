#pragma once

#include "../../Base/Clock.h"
#include "../Admission/LoadLedger.h"
#include "RetryUse.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace fuchsialb {

/// \brief Limits retries at another runner within a sliding window, for each service over all hosts together.
///
/// Failures meet hosts unequally, so hosts share what the others leave unused. Beats carry the requests and retries of
/// each host. Of the part of the budget that is free:
///
/// - Each host may take an equal share at once, within the time that news of retries take to all hosts. The sum over
///   all hosts is then within the budget, whatever they take meanwhile.
/// - Answers under way that wait for a retry are reported in beats. Once the other hosts of the data centre know of
///   them, the hosts that have any share a further part.
///
/// A host that doesn't hear most hosts of its data centre uses an equal share of the fixed allowance, and a ratio of
/// its own requests: hosts that don't hear each other would use the same retries twice.
class SharedRetryBudget {
public:
    struct Limits {
        /// Retries per request.
        double ratio = 0.1;
        Duration window { std::chrono::seconds(10) };
        /// Retries per window for each service in addition to the ratio, over all hosts.
        double allowance = 0;
    };

    /// What this host knows of the others.
    struct Fleet {
        /// Number of hosts, this one included, at least 1.
        std::size_t hosts = 1;
        /// Those of them in the data centre of this one.
        std::size_t nearbyHosts = 1;
        const LoadLedger& ledger;
    };

    /// What a retry is for; a part of the budget is kept for those before it.
    enum class Purpose : std::uint8_t {
        /// An answer has begun and breaks off without the retry.
        Resume,
        Repeat,
        /// Nothing has failed yet.
        Hedge,
    };

    struct Request {
        const TargetId& service;
        Purpose purpose = Purpose::Repeat;
        /// Since when the request has been reported by `addWaiting`, if it has.
        std::optional<TimePoint> waitingSince {};
    };

    /// \param startedAt Start of the process. Its share of the allowance is smaller for a window, in which the retries
    /// of
    ///     its former process, which it doesn't know, still count.
    /// \param phase Random number in [0, 1) by which hosts with less than one retry each take them at different times.
    explicit SharedRetryBudget(const Limits& limits, TimePoint startedAt = {}, double phase = 0)
        : m_limits(limits)
        , m_startedAt(startedAt)
        , m_phase(phase)
    {
    }

    void recordRequest(const TargetId& service, TimePoint now);
    /// \brief Takes one retry from the budget, if there is one left.
    /// \return Whether the retry is allowed.
    bool tryTake(const Request& request, const Fleet& fleet, TimePoint now);
    /// Puts back the retry taken last, which was not sent.
    void giveBack();
    /// Reports an answer under way that waits for a retry since `since`, until `removeWaiting`.
    void addWaiting(const TargetId& service, TimePoint since);
    void removeWaiting(const TargetId& service, TimePoint since);

    /// \brief Follows the use of the other hosts; called several times a second.
    ///
    /// The retries of hosts that are no longer heard still count in the window.
    void observe(const LoadLedger& ledger, TimePoint now);
    /// \return The use of this host, for its beats.
    RetryUse use(TimePoint now);

    /// Retries for a service within the window, over all hosts that are heard from.
    struct Usage {
        double own = 0;
        double taken = 0;
        double allowed = 0;
    };
    Usage usage(const TargetId& service, const Fleet& fleet, TimePoint now);

private:
    struct Retry {
        TimePoint at;
        /// It was taken by a request that had waited.
        bool hasWaited = false;
    };

    struct Account {
        std::deque<TimePoint> requests;
        std::deque<Retry> retries;
        /// Last budget of all hosts that were heard.
        double allowedBefore = 0;
        /// Since when answers wait.
        std::multiset<TimePoint> waiting;

        /// \return Number of retries since `from`.
        double count(TimePoint from, bool hasWaited) const;
        /// \return Number of answers that wait since `end` or longer.
        double countWaiting(TimePoint end) const;
    };

    /// Retries of hosts that are no longer heard.
    struct LostRetries {
        TimePoint at;
        double count = 0;
    };

    void expire(TimePoint now);
    /// \return Retries of the other hosts, heard now or lately.
    double othersRetries(const TargetId& service, const Fleet& fleet) const;
    /// \return This host's share of the allowance, as a part of an equal one.
    double share(TimePoint now) const;
    double allowed(const Account& account, const TargetId& service, const Fleet& fleet, TimePoint now) const;
    /// \return What this host may use if it knows nothing of the others.
    double ownAllowed(const Account& account, const Fleet& fleet, TimePoint now) const;
    /// Takes a retry of those that all hosts may take at once, or of those for requests that wait.
    bool tryTakeShared(Account& account, const Request& request, const Fleet& fleet, TimePoint now) const;
    /// Rounds a share up at some times and hosts and down at others, so that it is right on average.
    double wholeShare(double share, TimePoint now) const;

    Limits m_limits;
    TimePoint m_startedAt;
    double m_phase;
    std::map<TargetId, Account> m_accounts;
    /// The others' figures when they were last observed.
    double m_seenHosts = 0;
    std::map<TargetId, double> m_seen;
    std::map<TargetId, std::deque<LostRetries>> m_lost;
    /// Service of the retry taken last.
    std::optional<TargetId> m_lastTaken;
};

} // namespace fuchsialb
