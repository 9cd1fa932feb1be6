#pragma once

#include "fuchsialb/Base.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief Counters, gauges and latency histograms of a gateway in Prometheus text format. Not thread-safe: used on the
/// event loop only.
class GatewayMetrics {
public:
    /// Adds 1 to a counter with one label.
    void count(std::string_view name, std::string_view label, std::string_view labelValue);
    /// Adds a duration to a histogram, in seconds.
    void observe(std::string_view name, Duration value);
    /// Sets a gauge.
    void set(std::string_view name, double value);
    std::string text() const;

private:
    /// Upper bounds of the histogram buckets, in seconds.
    static constexpr std::array<double, 12> bucketBounds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20 };

    struct Histogram {
        std::array<std::uint64_t, bucketBounds.size() + 1> buckets {};
        double sum = 0;
        std::uint64_t count = 0;
    };

    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, Histogram, std::less<>> m_histograms;
    std::map<std::string, double, std::less<>> m_gauges;
};

} // namespace fuchsialb
