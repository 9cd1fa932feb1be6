#include "ReplayCommand.h"

#include "ReplayReport.h"
#include "WorkloadReader.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

namespace fuchsialb::bench {

namespace {

    constexpr int exitMissed = 1;
    constexpr int exitInput = 2;

    int fail(const absl::Status& status)
    {
        fmt::print(stderr, "{}\n", std::string(status.message()));
        return exitInput;
    }

    cxxopts::Options makeOptions()
    {
        cxxopts::Options options("fuchsialb-bench replay",
            "Replays a workload on engine fakes and checks its stated outcomes for the policy fuchsialb.\n"
            "Exit code: 0 all met, 1 one missed, 2 wrong input.");
        auto add = options.add_options();
        add("workload", "workload file", cxxopts::value<std::string>());
        add("seed", "seed of arrivals and policy instead of the workload's", cxxopts::value<std::uint64_t>());
        add("policy", "fuchsialb, round-robin, least-outstanding, two-choices, fifo or all",
            cxxopts::value<std::string>()->default_value("all"));
        add("csv", "file for the metrics as CSV", cxxopts::value<std::string>());
        add("json", "file for the metrics as JSON", cxxopts::value<std::string>());
        add("help", "this text");
        return options;
    }

    absl::StatusOr<std::vector<std::string>> chosenPolicies(const std::string& name)
    {
        if (name == "all")
            return policyNames();
        if (std::find(policyNames().begin(), policyNames().end(), name) == policyNames().end())
            return error(Reason::InvalidFlag, "unknown policy " + name);
        return std::vector { name };
    }

    absl::Status writeFiles(const ReplayReport& report, const cxxopts::ParseResult& flags)
    {
        if (flags.count("csv")) {
            if (auto status = report.writeCsv(flags["csv"].as<std::string>()); !status.ok())
                return status;
        }
        return flags.count("json") ? report.writeJson(flags["json"].as<std::string>()) : absl::OkStatus();
    }

    int run(const cxxopts::ParseResult& flags)
    {
        const auto workload = readWorkload(flags["workload"].as<std::string>());
        if (!workload.ok())
            return fail(workload.status());
        const auto policies = chosenPolicies(flags["policy"].as<std::string>());
        if (!policies.ok())
            return fail(policies.status());
        const std::uint64_t seed = flags.count("seed") ? flags["seed"].as<std::uint64_t>() : workload->seed;
        const auto arrivals = makeArrivals(*workload, HardwareBound(workload->configuration), seed);
        ReplayReport report(*workload, seed);
        for (const std::string& policy : *policies) {
            const auto records = replay(*workload, arrivals, policy, seed);
            if (!records.ok())
                return fail(records.status());
            report.add(policy, measure(*workload, *records));
        }
        const auto [lines, met] = report.check(policyNames().front());
        fmt::print("{}\n{}", report.table(), lines);
        if (const auto status = writeFiles(report, flags); !status.ok())
            return fail(status);
        return met ? 0 : exitMissed;
    }

} // namespace

int replayCommand(int count, char** arguments)
{
    cxxopts::Options options = makeOptions();
    try {
        const auto flags = options.parse(count, arguments);
        if (flags.count("help")) {
            fmt::print("{}", options.help());
            return 0;
        }
        if (!flags.count("workload")) {
            fmt::print(stderr, "--workload is missing\n");
            return exitInput;
        }
        return run(flags);
    } catch (const cxxopts::exceptions::exception& fault) {
        fmt::print(stderr, "{}\n", fault.what());
        return exitInput;
    }
}

} // namespace fuchsialb::bench
