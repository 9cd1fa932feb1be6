#pragma once

#include "fuchsialb/Router.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace fuchsialb {

/// \brief Sum, count and quantiles of a duration, in seconds.
class LatencyStat {
public:
    LatencyStat();

    void add(Duration value);
    /// Appends a Prometheus summary with the given labels.
    void print(std::string& text, std::string_view name, std::string_view labels) const;

private:
    using Accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::extended_p_square_quantile>>;

    Accumulator m_accumulator;
};

/// \brief Counters and latencies of one daemon, served as Prometheus text.
///
/// Labels are ranks, outcomes, reasons and kinds of message only, so the number of series does not grow with
/// organisations or endpoints. Thread-safe.
class Metrics {
public:
    Metrics() = default;

    void requestFinished(Rank rank, const Result& result);
    void firstToken(Rank rank, Duration latency);
    void betweenTokens(Rank rank, Duration latency);
    void requestDuration(Rank rank, Duration latency);
    void decision(Reason reason);
    void storeCall(std::string_view kind);
    void storeAnswer(StoreAnswer::Kind kind);
    void peerDropped(Reason reason);
    void ringFull(std::string_view ring);

    /// \param peerBytes Bytes sent to and received from other daemons.
    std::string text(const RouterStatus& status, std::pair<std::uint64_t, std::uint64_t> peerBytes) const;

private:
    using Counter = std::map<std::string, std::uint64_t, std::less<>>;

    static void increment(Counter& counter, std::string_view label);

    mutable std::mutex m_mutex;
    std::map<std::pair<Rank, std::string>, std::uint64_t> m_finished;
    RankTable<LatencyStat> m_firstToken;
    RankTable<LatencyStat> m_betweenTokens;
    RankTable<LatencyStat> m_duration;
    Counter m_decisions;
    Counter m_storeCalls;
    Counter m_storeAnswers;
    Counter m_peerDropped;
    Counter m_ringFull;
};

} // namespace fuchsialb
