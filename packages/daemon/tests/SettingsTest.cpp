#include "fuchsialb/Daemon.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace fuchsialb;

namespace {

const std::vector<std::string> valid { "--host=h1", "--data-centre=dc-1", "--fleet-key=0123456789abcdef" };

absl::StatusOr<CommandLine> parse(
    std::vector<std::string> added, const std::map<std::string, std::string>& environment = {})
{
    std::vector<std::string> arguments = valid;
    arguments.insert(arguments.end(), added.begin(), added.end());
    return parseCommandLine(arguments, [&](const std::string& name) {
        const auto it = environment.find(name);
        return it == environment.end() ? std::nullopt : std::optional<std::string>(it->second);
    });
}

struct BadFlag {
    std::string argument;
    /// Must stand in the error line besides the flag and the value.
    std::string accepted;
};

const std::vector<BadFlag> badFlags {
    { "--host=", "1 to 64 letters" },
    { "--host=a b", "1 to 64 letters" },
    { "--data-centre=dc/1", "1 to 64 letters" },
    { "--fleet=", "1 to 64 letters" },
    { "--fleet-key=short", "at least 16 bytes" },
    { "--previous-fleet-key=short", "at least 16 bytes" },
    { "--previous-fleet-key=0123456789abcdef", "another secret" },
    { "--listen=localhost:80", "IP:port" },
    { "--listen=127.0.0.1", "IP:port" },
    { "--listen=127.0.0.1:0", "IP:port" },
    { "--listen=127.0.0.1:65536", "IP:port" },
    { "--listen=::1:80", "IP:port" },
    { "--admin-listen=127.0.0.1:8080", "another address" },
    { "--peer-listen=127.0.0.1:8081", "another address" },
    { "--store=127.0.0.1:8500", "http://IP:port" },
    { "--store=https://127.0.0.1:8500", "http://IP:port" },
    { "--seeds=h2@dc-1", "host@data-centre@IP:port" },
    { "--max-body-kib=0", "1 to 65536" },
    { "--max-body-kib=8MiB", "1 to 65536" },
    { "--max-header-kib=2000", "1 to 1024" },
    { "--max-connections=-1", "1 to 65536" },
    { "--client-timeout=10", "100ms to 10m" },
    { "--client-timeout=1h", "100ms to 10m" },
    { "--host-list-period=1us", "100ms to 1m" },
    { "--drain-timeout=-1s", "0 to 24h" },
    { "--trace-sample=nan", "0 to 1" },
    { "--trace-sample=1.1", "0 to 1" },
    { "--log-rate=0", "1 to 100000" },
    { "--seed=-5", "0 to" },
};

} // namespace

// Guards against a daemon that starts with a setting that its operator did not mean.
TEST_CASE("A daemon refuses settings out of range")
{
    for (const BadFlag& bad : badFlags) {
        DYNAMIC_SECTION(bad.argument)
        {
            const auto result = parse({ bad.argument });
            REQUIRE_FALSE(result.ok());
            CHECK(reasonOf(result.status()) == Reason::InvalidFlag);
            const std::string line(result.status().message());
            CHECK_THAT(line, Catch::Contains(bad.argument.substr(0, bad.argument.find('='))));
            CHECK_THAT(line, Catch::Contains(bad.accepted));
            CHECK(line.find('\n') == std::string::npos);
        }
    }

    SECTION("an unknown flag and a stray word are refused")
    {
        CHECK(reasonOf(parse({ "--colour=red" }).status()) == Reason::InvalidFlag);
        CHECK(reasonOf(parse({ "serve" }).status()) == Reason::InvalidFlag);
    }
    SECTION("secrets stay out of the error line")
    {
        CHECK_THAT(std::string(parse({ "--fleet-key=hidden" }).status().message()), !Catch::Contains("hidden"));
    }
}

TEST_CASE("A daemon reads its settings from flags and environment variables")
{
    SECTION("the defaults are valid")
    {
        const auto result = parse({});
        REQUIRE(result.ok());
        REQUIRE(result->settings);
        CHECK(result->settings->host == HostId("h1"));
        CHECK(result->settings->maxBody == Bytes(8192 * 1024));
        CHECK(result->settings->drainTimeout == std::chrono::minutes(10));
    }
    SECTION("a variable stands in for a missing flag")
    {
        const auto result = parse({}, { { "FUCHSIALB_LISTEN", "127.0.0.1:9000" } });
        REQUIRE(result.ok());
        CHECK(result->settings->listen.text() == "127.0.0.1:9000");
    }
    SECTION("a flag goes before its variable")
    {
        const auto result = parse({ "--listen=127.0.0.1:9001" }, { { "FUCHSIALB_LISTEN", "127.0.0.1:9000" } });
        REQUIRE(result.ok());
        CHECK(result->settings->listen.text() == "127.0.0.1:9001");
    }
    SECTION("a wrong variable is refused like a wrong flag")
    {
        CHECK_FALSE(parse({}, { { "FUCHSIALB_TRACE_SAMPLE", "2" } }).ok());
    }
    SECTION("help names each variable and starts nothing")
    {
        const auto result = parse({ "--help" });
        REQUIRE(result.ok());
        CHECK_FALSE(result->settings);
        CHECK_THAT(result->text, Catch::Contains("FUCHSIALB_DRAIN_TIMEOUT"));
    }
}
