#pragma once

#include "Measures.h"

#include <absl/status/status.h>

namespace fuchsialb::bench {

/// \brief The metrics of each policy over one workload.
class ReplayReport {
public:
    ReplayReport(const Workload& workload, std::uint64_t seed)
        : m_workload(workload)
        , m_seed(seed)
    {
    }

    void add(const std::string& policy, Metrics metrics) { m_policies.emplace_back(policy, std::move(metrics)); }

    /// \return One line for each stated outcome of `policy`, and whether all are met. A metric that the replay did not
    /// yield counts as missed.
    std::pair<std::string, bool> check(const std::string& policy) const;
    /// \return A Markdown table with one column for each policy.
    std::string table() const;
    /// Writes workload, seed, policy, metric and value.
    absl::Status writeCsv(const std::string& file) const;
    absl::Status writeJson(const std::string& file) const;

private:
    const Workload& m_workload;
    std::uint64_t m_seed;
    std::vector<std::pair<std::string, Metrics>> m_policies;
};

} // namespace fuchsialb::bench
