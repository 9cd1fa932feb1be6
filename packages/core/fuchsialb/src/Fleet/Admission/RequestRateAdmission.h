#pragma once

#include "../Directory/HostDirectory.h"
#include "LoadLedger.h"
#include "RequestRateLimits.h"

#include <array>
#include <map>

namespace fuchsialb {

/// \brief Admits requests to runners that have named a limit on requests, so that all hosts together keep to it.
///
/// Each host admits the same share of the requests that it has for such a runner: the limit over the demand of all
/// hosts, which beats carry with the load. The sum over all hosts is then the limit, however the demand is divided
/// between them, also if the share of a single host is far below one request a second. Hosts of this cell that aren't
/// heard from are taken to have the mean demand of the others.
///
/// Within a host's share, urgent requests go first, and the others keep a part of theirs.
class RequestRateAdmission {
public:
    /// What this host knows of the limits and of the demand of the others.
    struct Fleet {
        const RequestRateLimits& limits;
        const LoadLedger& ledger;
        const HostDirectory& hosts;
    };

    /// \param phase Random number in [0, 1) by which hosts with few requests each admit them at different times.
    explicit RequestRateAdmission(double phase)
        : m_phase(phase)
    {
    }

    /// \brief Decides whether a request may be sent to a runner, and counts it as demand. Called once for each attempt
    /// to send a request there.
    /// \param startedAt Start of the runner's process.
    bool admit(
        const Fleet& fleet, const EndpointId& runner, std::int64_t startedAt, std::uint32_t urgency, TimePoint now);
    /// \return Requests a second that this host has lately had for a runner, admitted or not.
    RequestsPerSecond demand(const EndpointId& runner, TimePoint now) const;
    /// \return Time in which the runner takes the requests that all hosts have for it in one second.
    Duration backlog(const Fleet& fleet, const EndpointId& runner, std::int64_t startedAt, TimePoint now) const;

private:
    /// Events a second, of which each counts less the longer ago it was.
    class Rate {
    public:
        explicit Rate(Duration smoothingTime)
            : m_smoothingTime(smoothingTime)
        {
        }

        double at(TimePoint now) const;
        void record(TimePoint now);

    private:
        Duration m_smoothingTime;
        double m_rate = 0;
        TimePoint m_updatedAt {};
    };

    static constexpr std::size_t rankCount = 3;

    /// Follows a change of the demand within a second.
    static constexpr Duration demandSmoothing { std::chrono::seconds(1) };
    /// Tells how the requests of a host with few of them are divided between ranks.
    static constexpr Duration rankSmoothing { std::chrono::seconds(10) };

    struct Demand {
        Rate rate { demandSmoothing };
        std::array<Rate, rankCount> ranks { Rate(rankSmoothing), Rate(rankSmoothing), Rate(rankSmoothing) };
        /// Fractions of a request that were admitted and not sent yet.
        std::array<double, rankCount> credit {};
    };

    /// \return Requests a second that all hosts have for a runner.
    double fleetDemand(const Fleet& fleet, const EndpointId& runner, TimePoint now) const;
    /// \return The share of requests of a rank that is admitted, if `share` of all requests are.
    static double rankShare(const Demand& demand, std::size_t rank, double share, TimePoint now);

    double m_phase;
    std::map<EndpointId, Demand> m_demand;
};

} // namespace fuchsialb
