#include "CapacityMeasurements.h"
#include "CapacityProbe.h"
#include "CapacitySample.h"
#include "fuchsialb/Base.h"

#include <fmt/format.h>

namespace fuchsialb::bench {

namespace {

    struct ConfigurationCost {
        double bytes = 0;
        double decode = 0;
        double memory = 0;
        /// Most memory during the decoding, the encoding left out.
        double peak = 0;
    };

    ConfigurationCost configurationCost(std::uint32_t runners, std::uint32_t organisations)
    {
        const std::string encoding = encodeConfiguration(sampleConfiguration(runners, organisations, 11, 12));
        const std::int64_t live = liveBytes();
        resetPeakBytes();
        const double before = threadCpuMicroseconds();
        const auto decoded = decodeConfiguration(encoding);
        const double cpu = threadCpuMicroseconds() - before;
        if (!decoded.ok())
            fmt::print(stderr, "capacity: {}\n", decoded.status().ToString());
        return { static_cast<double>(encoding.size()), cpu, static_cast<double>(liveBytes() - live),
            static_cast<double>(peakBytes() - live) };
    }

    void add(CapacityReport& report, const std::string& by, const std::string& x, const std::vector<double>& sizes,
        const std::vector<ConfigurationCost>& costs)
    {
        CapacitySeries bytes { "config_bytes_by_" + by, x, "encoded bytes", true, {} };
        CapacitySeries decode { "config_decode_us_by_" + by, x, "CPU us", false, {} };
        CapacitySeries memory { "config_memory_by_" + by, x, "bytes", true, {} };
        CapacitySeries peak { "config_decode_peak_by_" + by, x, "bytes", true, {} };
        for (std::size_t i = 0; i < sizes.size(); ++i) {
            bytes.points.push_back({ sizes[i], costs[i].bytes });
            decode.points.push_back({ sizes[i], costs[i].decode });
            memory.points.push_back({ sizes[i], costs[i].memory });
            peak.points.push_back({ sizes[i], costs[i].peak });
        }
        report.add(bytes);
        report.add(decode);
        report.add(memory);
        report.add(peak);
    }

} // namespace

void measureConfiguration(CapacityReport& report, bool)
{
    std::vector<ConfigurationCost> costs;
    const std::vector<double> runners { 40, 500, 2000, 5000 };
    costs.reserve(runners.size());
    for (double count : runners)
        costs.push_back(configurationCost(static_cast<std::uint32_t>(count), 10));
    add(report, "runners", "runners, 10 organisations", runners, costs);
    costs.clear();
    const std::vector<double> organisations { 10, 100, 500, 1500 };
    for (double count : organisations)
        costs.push_back(configurationCost(40, static_cast<std::uint32_t>(count)));
    add(report, "organisations", "organisations, 40 runners", organisations, costs);
}

} // namespace fuchsialb::bench
