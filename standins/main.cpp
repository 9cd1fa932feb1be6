#include "fuchsialb/Standins.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace fuchsialb;
using namespace fuchsialb::standins;

constexpr int usageExit = 2;
constexpr int crashExit = 137;

std::string contentOf(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file)
        throw std::runtime_error("can't read " + path);
    return content.str();
}

/// \return The host and the port of "IP:PORT".
std::pair<std::string, std::uint16_t> listenAddress(const cxxopts::ParseResult& flags)
{
    const auto text = flags["listen"].as<std::string>();
    const std::size_t colon = text.rfind(':');
    const std::uint64_t port = colon == std::string::npos ? 0x10000 : numberOr(text.substr(colon + 1), 0x10000);
    if (port > 0xffff)
        throw std::runtime_error("--listen must be IP:PORT, got " + text);
    return { text.substr(0, colon), static_cast<std::uint16_t>(port) };
}

Duration microseconds(const cxxopts::ParseResult& flags, const char* name)
{
    return Duration(flags[name].as<std::int64_t>());
}

Duration milliseconds(const cxxopts::ParseResult& flags, const char* name)
{
    return std::chrono::milliseconds(flags[name].as<std::int64_t>());
}

/// Serves until SIGINT or SIGTERM, which main has blocked for all threads.
template <typename Standin> int serve(const absl::StatusOr<std::unique_ptr<Standin>>& standin)
{
    if (!standin.ok()) {
        std::cerr << standin.status().message() << "\n";
        return EXIT_FAILURE;
    }
    fmt::print("event=listening port={}\n", (*standin)->port());
    std::fflush(stdout);
    sigset_t ending;
    sigemptyset(&ending);
    sigaddset(&ending, SIGINT);
    sigaddset(&ending, SIGTERM);
    int received = 0;
    sigwait(&ending, &received);
    return EXIT_SUCCESS;
}

cxxopts::Options serverFlags(const std::string& name)
{
    cxxopts::Options options("fuchsialb-standin " + name);
    options.add_options()("listen", "IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    return options;
}

int servePlatform(int count, char** arguments)
{
    cxxopts::Options options = serverFlags("platform");
    options.add_options()("hosts", "file with the host list", cxxopts::value<std::string>())(
        "host-lag-ms", "lag of the host list", cxxopts::value<std::int64_t>()->default_value("0"));
    const auto flags = options.parse(count, arguments);
    Platform::Options platform;
    std::tie(platform.address, platform.port) = listenAddress(flags);
    platform.hostLag = milliseconds(flags, "host-lag-ms");
    if (flags.count("hosts") > 0)
        platform.hosts = contentOf(flags["hosts"].as<std::string>());
    return serve(Platform::create(platform));
}

int serveService(int count, char** arguments)
{
    cxxopts::Options options = serverFlags("service");
    options.add_options()("id", "endpoint id", cxxopts::value<std::string>()->default_value("registry-1"))(
        "deduplicates", "reject a repeated idempotency key")(
        "work-us", "time of a call", cxxopts::value<std::int64_t>()->default_value("1000"))(
        "report-lag-ms", "lag of the load report", cxxopts::value<std::int64_t>()->default_value("100"));
    const auto flags = options.parse(count, arguments);
    Service::Options service;
    std::tie(service.address, service.port) = listenAddress(flags);
    service.id = flags["id"].as<std::string>();
    service.deduplicates = flags.count("deduplicates") > 0;
    service.work = microseconds(flags, "work-us");
    service.reportLag = milliseconds(flags, "report-lag-ms");
    return serve(Service::create(service));
}

cxxopts::Options engineFlags()
{
    const auto number = [](const char* value) { return cxxopts::value<std::int64_t>()->default_value(value); };
    cxxopts::Options options = serverFlags("engine");
    options.add_options()("id", "endpoint id", cxxopts::value<std::string>()->default_value("runner-1"))(
        "first-layer", "first layer", number("0"))("end-layer", "end of the layers", number("8"))(
        "layers", "layers of the whole model", number("32"))("batch", "most sequences in a step", number("16"))(
        "step-base-us", "base of a step", number("500"))("step-per-sequence-us", "added by each sequence",
        number("20"))("prefill-us-per-token", "added by each position of a prefill", number("10"))("kv-tokens",
        "positions of runs in progress",
        number("200000"))("cache-tokens", "positions of the prefix cache", number("50000"))("report-lag-ms",
        "lag of the load report", number("100"))("event-lag-ms", "lag of the cache events", number("200"))("event-gaps",
        "share of cache events never published", cxxopts::value<double>()->default_value("0.05"))("stage-timeout-ms",
        "longest wait for one stage", number("2000"))("checks-fencing", "refuse orders with an old fence");
    return options;
}

int serveEngine(int count, char** arguments)
{
    cxxopts::Options options = engineFlags();
    const auto flags = options.parse(count, arguments);
    const auto size = [&](const char* name) { return static_cast<std::size_t>(flags[name].as<std::int64_t>()); };
    Engine::Options engine;
    std::tie(engine.address, engine.port) = listenAddress(flags);
    engine.id = flags["id"].as<std::string>();
    engine.layers = { static_cast<std::uint32_t>(size("first-layer")), static_cast<std::uint32_t>(size("end-layer")) };
    if (engine.layers.first >= engine.layers.end || engine.layers.end > size("layers"))
        throw std::runtime_error("the layers must be a range within --layers");
    engine.batch = size("batch");
    engine.stepBase = microseconds(flags, "step-base-us");
    engine.stepPerSequence = microseconds(flags, "step-per-sequence-us");
    engine.prefillPerToken = microseconds(flags, "prefill-us-per-token");
    engine.kvTokens = size("kv-tokens");
    engine.cacheTokens = size("cache-tokens");
    engine.reportLag = milliseconds(flags, "report-lag-ms");
    engine.cacheEventLag = milliseconds(flags, "event-lag-ms");
    engine.cacheEventGaps = flags["event-gaps"].as<double>();
    engine.stageTimeout = milliseconds(flags, "stage-timeout-ms");
    engine.checksFencing = flags.count("checks-fencing") > 0;
    engine.onCrash = [] { std::_Exit(crashExit); };
    auto client = HttpClient::create({});
    if (!client.ok())
        throw std::runtime_error("curl can't be initialised");
    return serve(Engine::create(engine, std::move(*client)));
}

cxxopts::Options callerFlags()
{
    const auto text = [](const char* value) { return cxxopts::value<std::string>()->default_value(value); };
    cxxopts::Options options("fuchsialb-standin caller");
    options.add_options()("targets", "URL[,URL...] of entry hosts", cxxopts::value<std::vector<std::string>>())(
        "workload", "JSON file with a list of workloads instead of the flags", cxxopts::value<std::string>())(
        "requests", "number of requests", text("10"))("rate", "requests a second", text("10"))("organisation",
        "organisation", text("organisation-1"))("rank", "rank", text("urgent"))("model", "model", text(""))("layers",
        "layers of the model",
        text("32"))("prompt-tokens", "words of a prompt", text("16"))("max-tokens", "tokens of an answer", text("8"))(
        "service", "plain service to call instead of a model", text(""))("non-idempotent",
        "share of calls that must run at most once", text("0"))("deadline-ms", "deadline of each request", text("0"))(
        "retries", "most retries", text("3"))("seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "json", "file for the report", cxxopts::value<std::string>());
    return options;
}

/// \return The workload that the flags state, in the form of a workload file.
Json workloadOf(const cxxopts::ParseResult& flags)
{
    Json workload;
    for (const char* name : { "organisation", "rank", "model", "service" })
        workload[name] = flags[name].as<std::string>();
    for (const char* name :
        { "requests", "rate", "layers", "prompt-tokens", "max-tokens", "non-idempotent", "deadline-ms", "retries" }) {
        std::string key = name;
        std::replace(key.begin(), key.end(), '-', '_');
        const Json value = Json::parse(flags[name].as<std::string>(), nullptr, false);
        if (!value.is_number())
            throw std::runtime_error(std::string("--") + name + " must be a number");
        workload[key] = value;
    }
    return Json::array({ workload });
}

int runCaller(int count, char** arguments)
{
    cxxopts::Options options = callerFlags();
    const auto flags = options.parse(count, arguments);
    Caller::Options caller;
    if (flags.count("targets") > 0)
        caller.targets = flags["targets"].as<std::vector<std::string>>();
    caller.seed = flags["seed"].as<std::uint64_t>();
    caller.workloads = Caller::workloads(
        flags.count("workload") > 0 ? Json::parse(contentOf(flags["workload"].as<std::string>())) : workloadOf(flags));
    const auto report = Caller::run(caller);
    if (!report.ok())
        throw std::runtime_error(std::string(report.status().message()));
    std::cout << (*report)["ranks"].dump(2) << "\n";
    if (flags.count("json") > 0)
        std::ofstream(flags["json"].as<std::string>()) << report->dump(2) << "\n";
    for (const auto& [rank, counts] : (*report)["ranks"].items()) {
        if (counts["wrong"] != 0)
            return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}

} // namespace

int main(int count, char** arguments)
{
    sigset_t ending;
    sigemptyset(&ending);
    sigaddset(&ending, SIGINT);
    sigaddset(&ending, SIGTERM);
    const std::string kind = count > 1 ? arguments[1] : "";
    try {
        if (kind == "caller")
            return runCaller(count - 1, arguments + 1);
        // The servers wait for these signals themselves; threads inherit the mask.
        pthread_sigmask(SIG_BLOCK, &ending, nullptr);
        if (kind == "platform")
            return servePlatform(count - 1, arguments + 1);
        if (kind == "engine")
            return serveEngine(count - 1, arguments + 1);
        if (kind == "service")
            return serveService(count - 1, arguments + 1);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return usageExit;
    }
    std::cerr << "usage: fuchsialb-standin platform|engine|service|caller [flags]\n";
    return usageExit;
}
