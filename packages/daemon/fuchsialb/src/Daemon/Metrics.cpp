#include "Metrics.h"

#include <fmt/format.h>

#include <chrono>
#include <iterator>

namespace fuchsialb {

namespace {

    constexpr std::array<double, 3> quantiles { 0.5, 0.95, 0.99 };

    void printCounter(std::string& text, std::string_view name, std::string_view label,
        const std::map<std::string, std::uint64_t, std::less<>>& counter)
    {
        fmt::format_to(std::back_inserter(text), "# TYPE {} counter\n", name);
        for (const auto& [key, value] : counter)
            fmt::format_to(std::back_inserter(text), "{}{{{}=\"{}\"}} {}\n", name, label, key, value);
    }

    void printGauge(std::string& text, std::string_view name, double value)
    {
        fmt::format_to(std::back_inserter(text), "# TYPE {} gauge\n{} {}\n", name, name, value);
    }

    std::string_view answerName(StoreAnswer::Kind kind)
    {
        switch (kind) {
        case StoreAnswer::Kind::Ok:
            return "ok";
        case StoreAnswer::Kind::Missing:
            return "missing";
        case StoreAnswer::Kind::Conflict:
            return "conflict";
        case StoreAnswer::Kind::Failed:
            return "failed";
        case StoreAnswer::Kind::Lost:
            return "lost";
        }
        return "";
    }

} // namespace

LatencyStat::LatencyStat()
    : m_accumulator(boost::accumulators::extended_p_square_probabilities = quantiles)
{
}

void LatencyStat::add(Duration value) { m_accumulator(std::chrono::duration<double>(value).count()); }

void LatencyStat::print(std::string& text, std::string_view name, std::string_view labels) const
{
    namespace acc = boost::accumulators;
    const auto out = std::back_inserter(text);
    const auto count = acc::count(m_accumulator);
    if (count > 0) {
        for (const double quantile : quantiles)
            fmt::format_to(out, "{}{{{},quantile=\"{}\"}} {:.6f}\n", name, labels, quantile,
                acc::quantile(m_accumulator, acc::quantile_probability = quantile));
    }
    fmt::format_to(
        out, "{}_sum{{{}}} {:.6f}\n{}_count{{{}}} {}\n", name, labels, acc::sum(m_accumulator), name, labels, count);
}

void Metrics::increment(Counter& counter, std::string_view label)
{
    const auto it = counter.find(label);
    if (it != counter.end())
        ++it->second;
    else
        counter.emplace(label, 1);
}

void Metrics::requestFinished(Rank rank, const Result& result)
{
    const std::lock_guard lock(m_mutex);
    ++m_finished[{
        rank, fmt::format("outcome=\"{}\",reason=\"{}\"", outcomeName(result.outcome), reasonName(result.reason)) }];
}

void Metrics::firstToken(Rank rank, Duration latency)
{
    const std::lock_guard lock(m_mutex);
    m_firstToken[rank].add(latency);
}

void Metrics::betweenTokens(Rank rank, Duration latency)
{
    const std::lock_guard lock(m_mutex);
    m_betweenTokens[rank].add(latency);
}

void Metrics::requestDuration(Rank rank, Duration latency)
{
    const std::lock_guard lock(m_mutex);
    m_duration[rank].add(latency);
}

void Metrics::decision(Reason reason)
{
    const std::lock_guard lock(m_mutex);
    increment(m_decisions, reasonName(reason));
}

void Metrics::storeCall(std::string_view kind)
{
    const std::lock_guard lock(m_mutex);
    increment(m_storeCalls, kind);
}

void Metrics::storeAnswer(StoreAnswer::Kind kind)
{
    const std::lock_guard lock(m_mutex);
    increment(m_storeAnswers, answerName(kind));
}

void Metrics::peerDropped(Reason reason)
{
    const std::lock_guard lock(m_mutex);
    increment(m_peerDropped, reasonName(reason));
}

void Metrics::ringFull(std::string_view ring)
{
    const std::lock_guard lock(m_mutex);
    increment(m_ringFull, ring);
}

std::string Metrics::text(const RouterStatus& status, std::pair<std::uint64_t, std::uint64_t> peerBytes) const
{
    std::string text;
    {
        const std::lock_guard lock(m_mutex);
        text += "# TYPE fuchsialb_requests_total counter\n";
        for (const auto& [key, value] : m_finished)
            fmt::format_to(std::back_inserter(text), "fuchsialb_requests_total{{rank=\"{}\",{}}} {}\n",
                rankName(key.first), key.second, value);
        const auto latency = [&](std::string_view name, const RankTable<LatencyStat>& table) {
            fmt::format_to(std::back_inserter(text), "# TYPE {} summary\n", name);
            for (const Rank rank : allRanks)
                table[rank].print(text, name, fmt::format("rank=\"{}\"", rankName(rank)));
        };
        latency("fuchsialb_first_token_seconds", m_firstToken);
        latency("fuchsialb_between_tokens_seconds", m_betweenTokens);
        latency("fuchsialb_request_seconds", m_duration);
        printCounter(text, "fuchsialb_decisions_total", "reason", m_decisions);
        printCounter(text, "fuchsialb_store_calls_total", "kind", m_storeCalls);
        printCounter(text, "fuchsialb_store_answers_total", "kind", m_storeAnswers);
        printCounter(text, "fuchsialb_peer_dropped_total", "reason", m_peerDropped);
        printCounter(text, "fuchsialb_ring_full_total", "ring", m_ringFull);
    }
    std::uint64_t suspects = 0;
    for (const Member& member : status.members)
        suspects += member.state == MemberState::Suspect ? 1 : 0;
    printGauge(text, "fuchsialb_configuration_version", static_cast<double>(status.configuration.inForce.value()));
    printGauge(text, "fuchsialb_configuration_store_age_seconds",
        std::chrono::duration<double>(status.configuration.storeAge).count());
    printGauge(text, "fuchsialb_configuration_store_behind", status.configuration.storeBehind ? 1 : 0);
    printGauge(text, "fuchsialb_members", static_cast<double>(status.members.size()));
    printGauge(text, "fuchsialb_members_suspect", static_cast<double>(suspects));
    printGauge(text, "fuchsialb_entry_requests", static_cast<double>(status.entryRequests));
    printGauge(text, "fuchsialb_scheduled_requests", static_cast<double>(status.scheduledRequests));
    printGauge(text, "fuchsialb_groups_owned", static_cast<double>(status.ownGroups.size()));
    printGauge(text, "fuchsialb_stale_events", static_cast<double>(status.staleEvents));
    printGauge(text, "fuchsialb_draining", status.draining ? 1 : 0);
    fmt::format_to(std::back_inserter(text),
        "# TYPE fuchsialb_peer_bytes_total counter\nfuchsialb_peer_bytes_total{{direction=\"sent\"}} {}\n"
        "fuchsialb_peer_bytes_total{{direction=\"received\"}} {}\n",
        peerBytes.first, peerBytes.second);
    return text;
}

} // namespace fuchsialb
