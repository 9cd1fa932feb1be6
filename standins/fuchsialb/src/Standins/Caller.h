#pragma once

#include "Json.h"

#include <functional>
#include <memory>

namespace fuchsialb::standins {

/// \brief Load generator in the role of the callers; checks each answer.
class Caller {
public:
    /// \brief A stream of similar requests.
    struct Workload {
        std::size_t requests = 10;
        /// Requests a second, evenly spaced.
        double rate = 10;
        std::string organisation = "organisation-1";
        std::string rank = "urgent";
        std::string model;
        /// Layers of the model, for the check of its answers.
        std::uint32_t layers = 32;
        std::size_t promptTokens = 16;
        std::size_t maxTokens = 8;
        /// "IP:port" of an engine that holds all layers and is called directly, for a comparison; empty for a router.
        std::string engine;
        /// Plain service that is called instead of the model.
        std::string service;
        /// Share of the service calls that must run at most once.
        double nonIdempotent = 0;
        std::uint64_t deadlineMilliseconds = 0;
        /// Repetitions of a non-idempotent call whose outcome is unknown, with the same key at another target.
        std::size_t retries = 3;
    };

    struct Options {
        /// "IP:port" or "http://IP:port" of the entry hosts, used in turn.
        std::vector<std::string> targets;
        std::vector<Workload> workloads;
        std::uint64_t seed = 1;
        /// Longest time for one exchange.
        Duration timeout { std::chrono::seconds(60) };
    };

    /// \return The workloads of a JSON array of objects, with the fields named as the flags in snake_case.
    static std::vector<Workload> workloads(const Json& list);

    /// Sends all requests and waits for the ends of all of them.
    /// \return The report: for each rank the counts and the percentiles in milliseconds, and the non-idempotent keys
    /// with what their callers were told.
    static absl::StatusOr<Json> run(const Options& options);
};

} // namespace fuchsialb::standins
