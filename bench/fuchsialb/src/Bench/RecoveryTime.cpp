#include "RecoveryTime.h"

#include <algorithm>

namespace fuchsialb::bench {

namespace {

    constexpr double recoveredFraction = 0.95;
    /// Throughput counts as back when both spans reach it: the short one shows the moment, the long one that it lasts.
    constexpr Duration shortSpan = std::chrono::milliseconds(250);
    constexpr Duration longSpan = std::chrono::seconds(1);
    constexpr Duration resolution = std::chrono::milliseconds(50);

    bool isLoss(const Fault& fault) { return fault.kind == Fault::Kind::Dies || fault.kind == Fault::Kind::Hangs; }

    std::set<EndpointId> deadAfter(const std::vector<Fault>& faults, const Fault& last)
    {
        std::set<EndpointId> dead;
        for (const Fault& fault : faults) {
            if (fault.at > last.at)
                continue;
            if (isLoss(fault))
                dead.insert(fault.runner);
            else if (fault.kind == Fault::Kind::Returns)
                dead.erase(fault.runner);
        }
        return dead;
    }

    /// \brief Work over time, each token in seconds of the surviving group.
    class WorkCurve {
    public:
        WorkCurve(const Workload& workload, const std::vector<CallRecord>& records, const HardwareBound& bound)
        {
            for (const CallRecord& record : records) {
                const Stream& stream = workload.streams[record.stream];
                const double each = bound.secondsPerToken(stream);
                m_requested.emplace_back(record.arrivedAt, each * record.requestedTokens);
                for (Duration at : record.tokens)
                    m_delivered.emplace_back(at, each);
            }
            std::sort(m_delivered.begin(), m_delivered.end());
        }

        double delivered(Duration begin, Duration end) const { return sum(m_delivered, begin, end); }
        double requested(Duration begin, Duration end) const { return sum(m_requested, begin, end); }

    private:
        using Points = std::vector<std::pair<Duration, double>>;

        static double sum(const Points& points, Duration begin, Duration end)
        {
            double total = 0;
            for (auto at = std::lower_bound(points.begin(), points.end(), std::pair(begin, 0.0));
                 at != points.end() && at->first < end; ++at)
                total += at->second;
            return total;
        }

        Points m_delivered;
        Points m_requested;
    };

    Duration timeAfter(const Workload& workload, const std::vector<CallRecord>& records, const Fault& fault)
    {
        const HardwareBound bound(workload.configuration, deadAfter(workload.faults, fault));
        const WorkCurve curve(workload, records, bound);
        // Requested over the whole replay up to the fault, because a single second of arrivals is noisy.
        const double before = std::chrono::duration<double>(fault.at - workload.warmUp).count();
        const double requested = before > 0 ? curve.requested(workload.warmUp, fault.at) / before : 1.0;
        const double wanted = recoveredFraction * std::min(1.0, requested);
        Duration at = fault.at;
        const auto back = [&](Duration span) {
            return curve.delivered(at, at + span) >= wanted * std::chrono::duration<double>(span).count();
        };
        while (at + longSpan <= workload.duration && !(back(shortSpan) && back(longSpan)))
            at += resolution;
        return at + longSpan <= workload.duration ? at - fault.at : workload.duration - fault.at;
    }

} // namespace

std::optional<Duration> recoveryTime(const Workload& workload, const std::vector<CallRecord>& records)
{
    std::optional<Duration> longest;
    for (const Fault& fault : workload.faults) {
        if (isLoss(fault))
            longest = std::max(longest.value_or(Duration(0)), timeAfter(workload, records, fault));
    }
    return longest;
}

} // namespace fuchsialb::bench
