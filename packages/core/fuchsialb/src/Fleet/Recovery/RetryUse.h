#pragma once

#include "../../Base/Ids.h"

#include <map>

namespace fuchsialb {

/// \brief Requests for one service, and their repeats, within the window of the retry budget.
struct ServiceRetries {
    double requests = 0;
    /// Runs beyond the first one of each request, also those that a runner refused.
    double retries = 0;
    /// Answers under way that wait for a retry, or got one lately after they had waited.
    double waiting = 0;

    ServiceRetries& operator+=(const ServiceRetries& other);
    bool operator==(const ServiceRetries&) const = default;
};

/// \brief Use of the retry budget by one or several hosts, as beats carry it.
struct RetryUse {
    /// Hosts that the figures include.
    double hosts = 0;
    /// Shares of the fixed allowance that these hosts have, in shares of one host each.
    double shares = 0;
    std::map<TargetId, ServiceRetries> services;

    /// \return What is known of a service; zero for one that has no requests.
    ServiceRetries of(const TargetId& service) const;
    RetryUse& operator+=(const RetryUse& other);
    bool operator==(const RetryUse&) const = default;
};

} // namespace fuchsialb
