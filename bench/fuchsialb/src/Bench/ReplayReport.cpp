#include "ReplayReport.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fstream>

namespace fuchsialb::bench {

namespace {

    absl::Status write(const std::string& file, const std::string& text)
    {
        std::ofstream stream(file);
        stream << text << std::flush;
        return stream ? absl::OkStatus() : error(Reason::InvalidInput, file + ": cannot be written");
    }

    bool meets(const StatedOutcome& outcome, double value)
    {
        return (!outcome.least || value >= *outcome.least) && (!outcome.most || value <= *outcome.most);
    }

    std::string describe(const StatedOutcome& outcome)
    {
        std::string text;
        if (outcome.least)
            text += fmt::format(" least={}", *outcome.least);
        if (outcome.most)
            text += fmt::format(" most={}", *outcome.most);
        return text;
    }

} // namespace

std::pair<std::string, bool> ReplayReport::check(const std::string& policy) const
{
    std::string lines;
    bool met = true;
    for (const auto& [name, metrics] : m_policies) {
        if (name != policy)
            continue;
        for (const StatedOutcome& outcome : m_workload.outcomes) {
            const auto found = metrics.find(outcome.metric);
            const bool good = found != metrics.end() && meets(outcome, found->second);
            met = met && good;
            lines += fmt::format("{} workload={} seed={} target={} metric={} value={}{}\n", good ? "met" : "missed",
                m_workload.name, m_seed, outcome.target, outcome.metric,
                found == metrics.end() ? "none" : fmt::format("{:.4f}", found->second), describe(outcome));
        }
    }
    return { lines, met };
}

std::string ReplayReport::table() const
{
    std::string header = fmt::format("| {} (seed {}) |", m_workload.name, m_seed);
    std::string rule = "|---|";
    std::set<std::string> names;
    for (const auto& [policy, metrics] : m_policies) {
        header += ' ' + policy + " |";
        rule += "---:|";
        for (const auto& [name, value] : metrics)
            names.insert(name);
    }
    std::string text = header + '\n' + rule + '\n';
    for (const std::string& name : names) {
        text += "| " + name + " |";
        for (const auto& [policy, metrics] : m_policies) {
            const auto found = metrics.find(name);
            text += found == metrics.end() ? " |" : fmt::format(" {:.5g} |", found->second);
        }
        text += '\n';
    }
    return text;
}

absl::Status ReplayReport::writeCsv(const std::string& file) const
{
    std::string text = "workload,seed,policy,metric,value\n";
    for (const auto& [policy, metrics] : m_policies) {
        for (const auto& [name, value] : metrics)
            text += fmt::format("{},{},{},{},{:.6g}\n", m_workload.name, m_seed, policy, name, value);
    }
    return write(file, text);
}

absl::Status ReplayReport::writeJson(const std::string& file) const
{
    nlohmann::json json { { "workload", m_workload.name }, { "seed", m_seed } };
    for (const auto& [policy, metrics] : m_policies)
        json["policies"][policy] = metrics;
    return write(file, json.dump(2) + '\n');
}

} // namespace fuchsialb::bench
