#include "Measures.h"

#include "RecoveryTime.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace fuchsialb::bench {

namespace {

    constexpr double tailQuantile = 0.95;

    double quantile(std::vector<double>& values, double q)
    {
        if (values.empty())
            return 0;
        const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(values.size())));
        const auto at = values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
        std::nth_element(values.begin(), at, values.end());
        return *at;
    }

    double ratio(double part, double whole) { return whole > 0 ? part / whole : 1.0; }

    double toMilliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

    /// \brief Sums over the calls of one rank.
    struct RankSums {
        std::uint32_t offered = 0;
        std::uint32_t completed = 0;
        std::uint32_t refused = 0;
        std::uint32_t unknown = 0;
        double offeredWork = 0;
        double workWithinTarget = 0;
        double deliveredWork = 0;
        double deliveredWithinTarget = 0;
        std::vector<double> firstTokens;
        std::vector<double> gaps;
    };

    struct OrganisationSums {
        double requested = 0;
        double got = 0;
        std::uint32_t refused = 0;
    };

    /// \brief Adds up the records of one replay.
    class Tally {
    public:
        explicit Tally(const Workload& workload)
            : m_workload(workload)
            , m_bound(workload.configuration)
        {
            for (const Stream& stream : workload.streams)
                m_tokenWork.push_back(m_bound.secondsPerToken(stream));
        }

        void add(const CallRecord& record);
        Metrics metrics() const;

    private:
        bool inSpan(Duration at) const { return at >= m_workload.warmUp && at < m_workload.duration; }
        double seconds() const
        {
            return std::chrono::duration<double>(m_workload.duration - m_workload.warmUp).count();
        }
        bool withinTarget(const CallRecord& record, std::vector<double>& gaps) const;
        void addArrived(const CallRecord& record, bool within, const std::vector<double>& gaps);
        void rankMetrics(Metrics& metrics) const;
        void organisationMetrics(Metrics& metrics) const;
        std::map<OrganisationId, double> fairShares() const;

        const Workload& m_workload;
        HardwareBound m_bound;
        std::vector<double> m_tokenWork;
        RankTable<RankSums> m_ranks;
        std::map<OrganisationId, OrganisationSums> m_organisations;
    };

    bool Tally::withinTarget(const CallRecord& record, std::vector<double>& gaps) const
    {
        const RankRule& rule = m_workload.configuration.ranks[m_workload.streams[record.stream].rank];
        for (std::size_t i = 1; i < record.tokens.size(); ++i)
            gaps.push_back(toMilliseconds(record.tokens[i] - record.tokens[i - 1]));
        const bool whole = record.ended && record.result.outcome == Outcome::Completed;
        std::vector<double> sorted = gaps;
        return whole && !record.tokens.empty() && record.tokens.front() - record.arrivedAt <= rule.firstTokenTarget
            && quantile(sorted, tailQuantile) <= toMilliseconds(rule.betweenTokensTarget);
    }

    void Tally::add(const CallRecord& record)
    {
        const Stream& stream = m_workload.streams[record.stream];
        std::vector<double> gaps;
        const bool within = withinTarget(record, gaps);
        RankSums& rank = m_ranks[stream.rank];
        for (Duration at : record.tokens) {
            if (!inSpan(at))
                continue;
            rank.deliveredWork += m_tokenWork[record.stream];
            rank.deliveredWithinTarget += within ? m_tokenWork[record.stream] : 0.0;
        }
        if (inSpan(record.arrivedAt))
            addArrived(record, within, gaps);
    }

    void Tally::addArrived(const CallRecord& record, bool within, const std::vector<double>& gaps)
    {
        const Stream& stream = m_workload.streams[record.stream];
        const double work = m_tokenWork[record.stream] * record.requestedTokens;
        const bool refused = record.ended && record.result.outcome == Outcome::NotRun;
        RankSums& rank = m_ranks[stream.rank];
        ++rank.offered;
        rank.completed += record.ended && record.result.outcome == Outcome::Completed;
        rank.refused += refused;
        rank.unknown += record.ended && record.result.outcome == Outcome::Unknown;
        rank.offeredWork += work;
        rank.workWithinTarget += within ? work : 0.0;
        const Duration never = m_workload.duration + m_workload.drain;
        rank.firstTokens.push_back(
            toMilliseconds(record.tokens.empty() ? never : record.tokens.front() - record.arrivedAt));
        rank.gaps.insert(rank.gaps.end(), gaps.begin(), gaps.end());
        OrganisationSums& organisation = m_organisations[stream.organisation];
        organisation.requested += work;
        organisation.got += m_tokenWork[record.stream] * static_cast<double>(record.tokens.size());
        organisation.refused += refused;
    }

    void Tally::rankMetrics(Metrics& metrics) const
    {
        double delivered = 0;
        for (Rank rank : allRanks)
            delivered += m_ranks[rank].deliveredWork;
        metrics["throughput_over_bound"] = delivered / seconds();
        for (Rank rank : allRanks) {
            RankSums sums = m_ranks[rank];
            if (sums.offered == 0)
                continue;
            const auto set = [&](std::string_view name, double value) {
                metrics[fmt::format("{}.{}", rankName(rank), name)] = value;
            };
            set("offered", sums.offered);
            set("refused", sums.refused);
            set("unknown", sums.unknown);
            set("offered_over_bound", sums.offeredWork / seconds());
            set("served_in_full", ratio(sums.completed, sums.offered));
            set("within_target", ratio(sums.workWithinTarget, sums.offeredWork));
            set("share_of_work", ratio(sums.deliveredWork, delivered));
            set("goodput_over_bound", sums.deliveredWithinTarget / seconds());
            set("goodput_over_remaining",
                ratio(sums.deliveredWithinTarget, seconds() - (delivered - sums.deliveredWork)));
            set("first_token_p50_ms", quantile(sums.firstTokens, 0.5));
            set("first_token_p95_ms", quantile(sums.firstTokens, tailQuantile));
            set("between_tokens_p95_ms", quantile(sums.gaps, tailQuantile));
        }
    }

    /// \return Max-min fair shares of the hardware bound by weight: what an organisation does not request goes to the
    /// others.
    std::map<OrganisationId, double> Tally::fairShares() const
    {
        std::map<OrganisationId, double> shares;
        double left = seconds();
        std::set<OrganisationId> open;
        for (const auto& [id, sums] : m_organisations)
            open.insert(id);
        bool changed = true;
        while (changed && !open.empty()) {
            changed = false;
            double weights = 0;
            for (const OrganisationId& id : open)
                weights += m_workload.configuration.organisations.at(id).weight;
            const double perWeight = left / weights;
            for (auto each = open.begin(); each != open.end();) {
                const double requested = m_organisations.at(*each).requested;
                const double share = perWeight * m_workload.configuration.organisations.at(*each).weight;
                shares[*each] = share;
                if (requested > share) {
                    ++each;
                    continue;
                }
                shares[*each] = requested;
                left -= requested;
                each = open.erase(each);
                changed = true;
            }
        }
        return shares;
    }

    void Tally::organisationMetrics(Metrics& metrics) const
    {
        double weights = 0;
        for (const auto& [id, sums] : m_organisations)
            weights += m_workload.configuration.organisations.at(id).weight;
        double sum = 0;
        double squares = 0;
        double least = 1;
        for (const auto& [id, share] : fairShares()) {
            const OrganisationSums& sums = m_organisations.at(id);
            const double satisfied = std::min(1.0, ratio(sums.got, share));
            sum += satisfied;
            squares += satisfied * satisfied;
            const double own = seconds() * m_workload.configuration.organisations.at(id).weight / weights;
            if (sums.requested <= own)
                least = std::min(least, ratio(sums.got, sums.requested));
            const std::string prefix = "organisation." + id.value();
            metrics[prefix + ".requested_over_share"] = sums.requested / own;
            metrics[prefix + ".got_over_requested"] = ratio(sums.got, sums.requested);
            metrics[prefix + ".got_over_fair_share"] = ratio(sums.got, share);
            metrics[prefix + ".refused"] = sums.refused;
        }
        metrics["within_share_least_got"] = least;
        metrics["jain_index"] = squares > 0 ? sum * sum / (static_cast<double>(m_organisations.size()) * squares) : 0.0;
    }

    Metrics Tally::metrics() const
    {
        Metrics metrics;
        rankMetrics(metrics);
        organisationMetrics(metrics);
        return metrics;
    }

} // namespace

Metrics measure(const Workload& workload, const std::vector<CallRecord>& records)
{
    Tally tally(workload);
    double unfinished = 0;
    for (const CallRecord& record : records) {
        tally.add(record);
        unfinished += !record.ended;
    }
    Metrics metrics = tally.metrics();
    metrics["unfinished"] = unfinished;
    if (const auto recovery = recoveryTime(workload, records))
        metrics["recovery_ms"] = toMilliseconds(*recovery);
    return metrics;
}

} // namespace fuchsialb::bench
