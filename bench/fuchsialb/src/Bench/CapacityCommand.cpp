#include "CapacityCommand.h"

#include "CapacityMeasurements.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdint>
#include <fstream>
#include <set>
#include <string>

namespace fuchsialb::bench {

namespace {

    constexpr int exitOver = 1;
    constexpr int exitUsage = 2;
    constexpr std::string_view knownPrefix = "test: bench.capacity.";

    /// \return The checks that KNOWN-RED.txt lists.
    std::set<std::string> knownChecks(const std::string& file)
    {
        std::set<std::string> known;
        std::ifstream in(file);
        for (std::string line; std::getline(in, line);) {
            if (line.starts_with(knownPrefix))
                known.insert(line.substr(knownPrefix.size()));
        }
        return known;
    }

    /// \return Number of repeatable figures that are over their allowance and not known.
    int judge(const CapacityReport& report, const std::set<std::string>& known, const std::string& only)
    {
        int failures = 0;
        for (const CapacityFigure& figure : report.figures()) {
            if (!figure.over() || (!only.empty() && figure.check != only))
                continue;
            const bool passedOver = !figure.repeatable || known.contains(figure.check);
            fmt::print("{} {}: {:.4g} {} of {:g} allowed\n", passedOver ? "over, passed over:" : "OVER:", figure.check,
                figure.value, figure.unit, figure.allowance);
            failures += passedOver ? 0 : 1;
        }
        return failures;
    }

    CapacityReport measure(bool quick)
    {
        CapacityReport report;
        measureMembership(report, quick);
        measureWatchers(report, quick);
        measureDecisions(report, quick);
        measureTokens(report, quick);
        measureClaims(report, quick);
        measureConfiguration(report, quick);
        addCapacityFigures(report);
        return report;
    }

} // namespace

int capacityCommand(int count, char** arguments)
{
    cxxopts::Options options("fuchsialb-bench capacity", "Measures costs at several sizes and fits lines");
    options.add_options()("quick", "shorter runs")(
        "markdown", "write the tables to a file", cxxopts::value<std::string>()->default_value(""))(
        "known", "KNOWN-RED.txt with the checks that may be over", cxxopts::value<std::string>()->default_value(""))(
        "check", "judge only this check", cxxopts::value<std::string>()->default_value(""))("help", "show the flags");
    options.add_options()("decisions-of", "take 1,600 decisions in a group of so many runners, to count instructions",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    try {
        const auto flags = options.parse(count, arguments);
        if (flags.count("help") > 0) {
            fmt::print("{}", options.help());
            return 0;
        }
        if (const auto runners = flags["decisions-of"].as<std::uint32_t>(); runners > 0) {
            takeDecisions(runners);
            return 0;
        }
        const CapacityReport report = measure(flags.count("quick") > 0);
        const std::string tables = report.markdown();
        fmt::print("{}\n", tables);
        const auto file = flags["markdown"].as<std::string>();
        if (!file.empty() && !(std::ofstream(file) << "# Capacity tables\n\n" << tables)) {
            fmt::print(stderr, "capacity: {} can't be written\n", file);
            return exitUsage;
        }
        const auto known = knownChecks(flags["known"].as<std::string>());
        return judge(report, known, flags["check"].as<std::string>()) > 0 ? exitOver : 0;
    } catch (const cxxopts::exceptions::exception& e) {
        fmt::print(stderr, "capacity: {}\n{}", e.what(), options.help());
        return exitUsage;
    }
}

} // namespace fuchsialb::bench
