#include "GatewayMetrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace fuchsialb {

void GatewayMetrics::count(std::string_view name, std::string_view label, std::string_view labelValue)
{
    ++m_counters[fmt::format("fuchsialb_{}_total{{{}=\"{}\"}}", name, label, labelValue)];
}

void GatewayMetrics::observe(std::string_view name, Duration value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    auto position = m_histograms.find(name);
    if (position == m_histograms.end())
        position = m_histograms.emplace(std::string(name), Histogram()).first;
    Histogram& histogram = position->second;
    const auto bucket = std::lower_bound(bucketBounds.begin(), bucketBounds.end(), seconds) - bucketBounds.begin();
    ++histogram.buckets[static_cast<std::size_t>(bucket)];
    histogram.sum += seconds;
    ++histogram.count;
}

void GatewayMetrics::set(std::string_view name, double value) { m_gauges.insert_or_assign(std::string(name), value); }

std::string GatewayMetrics::text() const
{
    std::string text;
    const auto out = std::back_inserter(text);
    for (const auto& [name, value] : m_counters)
        fmt::format_to(out, "{} {}\n", name, value);
    for (const auto& [name, value] : m_gauges)
        fmt::format_to(out, "fuchsialb_{} {}\n", name, value);
    for (const auto& [name, histogram] : m_histograms) {
        fmt::format_to(out, "# TYPE fuchsialb_{}_seconds histogram\n", name);
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < bucketBounds.size(); ++i) {
            cumulative += histogram.buckets[i];
            fmt::format_to(out, "fuchsialb_{}_seconds_bucket{{le=\"{}\"}} {}\n", name, bucketBounds[i], cumulative);
        }
        fmt::format_to(out, "fuchsialb_{0}_seconds_bucket{{le=\"+Inf\"}} {1}\nfuchsialb_{0}_seconds_sum {2}\n", name,
            histogram.count, histogram.sum);
        fmt::format_to(out, "fuchsialb_{}_seconds_count {}\n", name, histogram.count);
    }
    return text;
}

} // namespace fuchsialb
