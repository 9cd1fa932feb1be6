#include "WorkloadReader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <set>
#include <stdexcept>

namespace fuchsialb::bench {

namespace {

    using Json = nlohmann::json;

    Duration milliseconds(double value) { return Duration(static_cast<Duration::rep>(value * 1e3)); }

    Rank rankOf(const std::string& name)
    {
        const auto rank = rankFromName(name);
        if (!rank)
            throw std::invalid_argument("unknown rank " + name);
        return *rank;
    }

    void readRanks(const Json& json, Configuration& configuration)
    {
        for (const auto& [name, rule] : json.items()) {
            configuration.ranks[rankOf(name)]
                = { rule.at("share").get<double>(), milliseconds(rule.at("first_token_ms").get<double>()),
                      milliseconds(rule.at("between_tokens_ms").get<double>()),
                      milliseconds(rule.at("max_queue_wait_ms").get<double>()) };
        }
    }

    void readKinds(const Json& json, Configuration& configuration)
    {
        for (const auto& [name, kind] : json.items()) {
            const AcceleratorKind each { AcceleratorKindId(name), Duration(kind.at("layer_base_us").get<int>()),
                Duration(kind.at("layer_per_sequence_us").get<int>()),
                std::chrono::nanoseconds(kind.at("layer_per_prompt_token_ns").get<int>()) };
            configuration.acceleratorKinds[each.id] = each;
        }
    }

    void addRunners(const Json& json, Configuration& configuration)
    {
        const auto count = json.value("count", 1U);
        for (std::uint32_t i = 0; i < count; ++i) {
            Endpoint endpoint;
            endpoint.id = EndpointId(fmt::format("{}{}", json.at("name").get<std::string>(), i + 1));
            endpoint.group = replayGroup();
            endpoint.target = replayModel();
            endpoint.address = "127.0.0.1:1";
            endpoint.layers
                = { json.at("layers").at(0).get<std::uint32_t>(), json.at("layers").at(1).get<std::uint32_t>() };
            endpoint.acceleratorKind = AcceleratorKindId(json.at("kind").get<std::string>());
            endpoint.accelerators = json.value("accelerators", 1U);
            endpoint.link = LinkClassId("link");
            endpoint.maxConcurrency = json.at("concurrency").get<std::uint32_t>();
            if (!configuration.acceleratorKinds.contains(endpoint.acceleratorKind))
                throw std::invalid_argument("unknown kind " + endpoint.acceleratorKind.value());
            if (!configuration.endpoints.emplace(endpoint.id, endpoint).second)
                throw std::invalid_argument("runner listed twice: " + endpoint.id.value());
        }
    }

    void readGroup(const Json& json, Configuration& configuration)
    {
        Target target;
        target.id = replayModel();
        target.layers = json.at("layers").get<std::uint32_t>();
        configuration.targets[target.id] = target;
        const Json& link = json.at("link");
        configuration.linkClasses[LinkClassId("link")] = { LinkClassId("link"),
            Duration(link.at("delay_us").get<int>()), BytesPerSecond(link.at("bytes_per_second").get<double>()) };
        readRanks(json.at("ranks"), configuration);
        readKinds(json.at("kinds"), configuration);
        for (const Json& runners : json.at("runners"))
            addRunners(runners, configuration);
    }

    void readOrganisations(const Json& json, Configuration& configuration)
    {
        for (const auto& [name, weight] : json.items())
            configuration.organisations[OrganisationId(name)] = { OrganisationId(name), weight.get<double>() };
    }

    Stream readStream(const Json& json, const Workload& workload)
    {
        Stream stream;
        stream.name = json.at("name").get<std::string>();
        stream.rank = rankOf(json.at("rank").get<std::string>());
        stream.organisation = OrganisationId(json.at("organisation").get<std::string>());
        if (!workload.configuration.organisations.contains(stream.organisation))
            throw std::invalid_argument("unknown organisation " + stream.organisation.value());
        stream.rate = json.value("rate", 0.0);
        stream.load = json.value("load", 0.0);
        if ((stream.rate > 0) == (stream.load > 0))
            throw std::invalid_argument("stream " + stream.name + " needs either rate or load");
        stream.promptTokens = json.at("prompt_tokens").get<std::uint32_t>();
        stream.answerTokens = json.at("answer_tokens").get<std::uint32_t>();
        stream.sharedPrefix = json.value("shared_prefix", 0U);
        stream.lengthSpread = json.value("length_spread", 0.0);
        if (stream.answerTokens == 0 || stream.sharedPrefix > stream.promptTokens || stream.lengthSpread < 0
            || stream.lengthSpread >= 1)
            throw std::invalid_argument("stream " + stream.name + " has wrong lengths");
        stream.begin = milliseconds(json.value("begin_ms", 0.0));
        stream.end = json.contains("end_ms") ? milliseconds(json["end_ms"].get<double>()) : workload.duration;
        stream.burstInterval = milliseconds(json.value("burst_interval_ms", 0.0));
        return stream;
    }

    Fault readFault(const Json& json, const Configuration& configuration)
    {
        Fault fault;
        fault.at = milliseconds(json.at("at_ms").get<double>());
        fault.runner = EndpointId(json.at("runner").get<std::string>());
        if (!configuration.endpoints.contains(fault.runner))
            throw std::invalid_argument("unknown runner " + fault.runner.value());
        const auto kind = json.at("kind").get<std::string>();
        if (kind == "returns")
            fault.kind = Fault::Kind::Returns;
        else if (kind == "slows")
            fault.kind = Fault::Kind::Slows;
        else if (kind == "hangs")
            fault.kind = Fault::Kind::Hangs;
        else if (kind != "dies")
            throw std::invalid_argument("unknown fault " + kind);
        fault.factor = json.value("factor", 1.0);
        return fault;
    }

    StatedOutcome readOutcome(const Json& json)
    {
        StatedOutcome outcome;
        outcome.metric = json.at("metric").get<std::string>();
        outcome.target = json.at("target").get<std::string>();
        if (json.contains("least"))
            outcome.least = json["least"].get<double>();
        if (json.contains("most"))
            outcome.most = json["most"].get<double>();
        if (!outcome.least && !outcome.most)
            throw std::invalid_argument("outcome " + outcome.metric + " needs least or most");
        return outcome;
    }

    Workload read(const Json& json)
    {
        Workload workload;
        workload.name = json.at("name").get<std::string>();
        workload.seed = json.at("seed").get<std::uint64_t>();
        workload.duration = milliseconds(json.at("duration_ms").get<double>());
        workload.warmUp = milliseconds(json.at("warm_up_ms").get<double>());
        workload.drain = milliseconds(json.at("drain_ms").get<double>());
        workload.reportInterval = milliseconds(json.at("report_interval_ms").get<double>());
        workload.reportLag = milliseconds(json.at("report_lag_ms").get<double>());
        if (workload.warmUp >= workload.duration || workload.reportInterval <= Duration(0))
            throw std::invalid_argument("warm_up_ms or report_interval_ms is wrong");
        readGroup(json.at("group"), workload.configuration);
        readOrganisations(json.at("organisations"), workload.configuration);
        for (const Json& stream : json.at("streams"))
            workload.streams.push_back(readStream(stream, workload));
        if (json.contains("faults")) {
            for (const Json& fault : json["faults"])
                workload.faults.push_back(readFault(fault, workload.configuration));
        }
        for (const Json& outcome : json.at("outcomes"))
            workload.outcomes.push_back(readOutcome(outcome));
        return workload;
    }

} // namespace

absl::StatusOr<Workload> readWorkload(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
        return error(Reason::InvalidInput, file + ": cannot be read");
    try {
        return read(Json::parse(stream));
    } catch (const std::exception& fault) {
        return error(Reason::InvalidInput, file + ": " + fault.what());
    }
}

} // namespace fuchsialb::bench
