#pragma once

#include "fuchsialb/Base.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief Counters and latency histograms of a gateway, as Prometheus text. Used on the event loop only.
class GatewayMetrics {
public:
    /// Adds 1 to a counter with one label.
    void count(std::string_view name, std::string_view label, std::string_view value);
    void observe(std::string_view name, Duration value);
    void set(std::string_view name, double value);
    std::string text() const;

private:
    /// Upper bounds of the buckets, in seconds.
    static constexpr std::array<double, 12> bounds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20 };

    struct Histogram {
        std::array<std::uint64_t, bounds.size() + 1> buckets {};
        double sum = 0;
        std::uint64_t count = 0;
    };

    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, Histogram, std::less<>> m_histograms;
    std::map<std::string, double, std::less<>> m_gauges;
};

} // namespace fuchsialb
