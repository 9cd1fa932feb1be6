#include "Settings.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <set>

namespace fuchsialb {

namespace {

    struct FlagSpec {
        const char* name;
        const char* fallback;
        const char* help;
    };

    constexpr FlagSpec flagSpecs[] = {
        { "host", "", "id of this host, unique in the fleet (required)" },
        { "data-centre", "", "id of this host's data centre (required)" },
        { "fleet", "default", "name of the fleet; peers of another fleet are ignored" },
        { "fleet-key", "", "secret of at least 16 bytes that peers share (required)" },
        { "previous-fleet-key", "", "earlier secret that is still accepted during a change of keys" },
        { "listen", "127.0.0.1:8080", "IP:port for callers" },
        { "admin-listen", "127.0.0.1:8081", "IP:port for operators and metrics" },
        { "peer-listen", "127.0.0.1:8082", "IP:port for other daemons; they reach this host under it" },
        { "store", "http://127.0.0.1:8500", "URL of the platform's service, http://IP:port" },
        { "seeds", "", "peers known at the start, host@data-centre@IP:port, separated by commas" },
        { "max-body-kib", "8192", "largest request body in KiB, 1 to 65536" },
        { "max-header-kib", "32", "largest request header in KiB, 1 to 1024" },
        { "max-connections", "4096", "most caller connections at once, 1 to 65536" },
        { "client-timeout", "10s", "longest pause of a caller that sends or reads, 100ms to 10m" },
        { "host-list-period", "1s", "pause between two reads of the platform's host list, 100ms to 1m" },
        { "drain-timeout", "10m", "longest wait for work in progress at a stop, 0s to 24h" },
        { "trace-sample", "0.01", "fraction of requests whose spans are logged, 0 to 1" },
        { "log-rate", "100", "most log lines of one event in a second, 1 to 100000" },
        { "gateway", "", "JSON settings file; runs as a gateway on the platform, and no other flag is read" },
        { "seed", "", "seed of the random generator, for repeatable runs; drawn when empty" },
    };

    constexpr std::size_t minKeyBytes = 16;
    constexpr std::size_t maxIdBytes = 64;

    std::string variableName(std::string_view flag)
    {
        std::string name = "FUCHSIALB_";
        for (const char c : flag)
            name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
        return name;
    }

    absl::Status invalid(std::string_view flag, std::string_view value, std::string_view accepted)
    {
        return error(Reason::InvalidFlag, fmt::format("--{}={}: accepted: {}", flag, value, accepted));
    }

    /// Reads typed values and keeps the first error.
    class Reader {
    public:
        explicit Reader(std::map<std::string, std::string> values)
            : m_values(std::move(values))
        {
        }

        const absl::Status& status() const { return m_status; }
        const std::string& text(const char* flag) const { return m_values.at(flag); }

        std::string id(const char* flag)
        {
            const std::string& value = text(flag);
            const auto allowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
            if (value.empty() || value.size() > maxIdBytes || !std::all_of(value.begin(), value.end(), allowed))
                fail(flag, "1 to 64 letters, digits, '-', '_' or '.'");
            return value;
        }

        SocketAddress address(const char* flag)
        {
            const auto parsed = parseSocketAddress(text(flag));
            if (!parsed.ok()) {
                fail(flag, "IP:port with a port of 1 to 65535");
                return {};
            }
            return *parsed;
        }

        template <typename T> T number(const char* flag, T least, T most)
        {
            T value {};
            const std::string& read = text(flag);
            bool valid = false;
            if constexpr (std::is_floating_point_v<T>)
                valid = absl::SimpleAtod(read, &value);
            else
                valid = absl::SimpleAtoi(read, &value);
            // Written so that NaN fails as well.
            if (!valid || !(value >= least && value <= most))
                fail(flag, fmt::format("a number of {} to {}", least, most));
            return value;
        }

        Duration duration(const char* flag, absl::Duration least, absl::Duration most)
        {
            absl::Duration value;
            if (!absl::ParseDuration(text(flag), &value) || value < least || value > most) {
                fail(flag,
                    fmt::format("a duration of {} to {}, such as 1.5s", absl::FormatDuration(least),
                        absl::FormatDuration(most)));
                return Duration(0);
            }
            return absl::ToChronoMicroseconds(value);
        }

        void fail(const char* flag, std::string_view accepted)
        {
            if (m_status.ok())
                m_status = invalid(flag, std::string_view(flag).ends_with("key") ? "***" : text(flag), accepted);
        }

    private:
        std::map<std::string, std::string> m_values;
        absl::Status m_status;
    };

    cxxopts::Options buildOptions()
    {
        cxxopts::Options options("fuchsialbd", "Routes requests to model pipelines and plain services.");
        auto add = options.add_options();
        for (const FlagSpec& spec : flagSpecs) {
            const std::string help = fmt::format("{} [{}]", spec.help, variableName(spec.name));
            add(spec.name, help, cxxopts::value<std::string>()->default_value(spec.fallback), "VALUE");
        }
        add("help", "print this text and exit");
        add("version", "print the version and exit");
        return options;
    }

    void checkKeys(Reader& reader, Settings& settings)
    {
        settings.fleetKey = reader.text("fleet-key");
        settings.previousFleetKey = reader.text("previous-fleet-key");
        if (settings.fleetKey.size() < minKeyBytes)
            reader.fail("fleet-key", "a secret of at least 16 bytes");
        if (!settings.previousFleetKey.empty() && settings.previousFleetKey.size() < minKeyBytes)
            reader.fail("previous-fleet-key", "empty, or a secret of at least 16 bytes");
        if (settings.previousFleetKey == settings.fleetKey && !settings.fleetKey.empty())
            reader.fail("previous-fleet-key", "another secret than --fleet-key");
    }

    void checkAddresses(Reader& reader, Settings& settings)
    {
        settings.listen = reader.address("listen");
        settings.adminListen = reader.address("admin-listen");
        settings.peerListen = reader.address("peer-listen");
        if (settings.adminListen == settings.listen)
            reader.fail("admin-listen", "another address than --listen");
        if (settings.peerListen == settings.listen || settings.peerListen == settings.adminListen)
            reader.fail("peer-listen", "another address than --listen and --admin-listen");
        constexpr std::string_view scheme = "http://";
        settings.store = reader.text("store");
        if (!settings.store.starts_with(scheme) || !parseSocketAddress(settings.store.substr(scheme.size())).ok())
            reader.fail("store", "http://IP:port");
    }

    void checkSeeds(Reader& reader, Settings& settings)
    {
        for (const absl::string_view seed : absl::StrSplit(reader.text("seeds"), ',', absl::SkipEmpty())) {
            const std::vector<std::string> parts = absl::StrSplit(seed, '@');
            if (parts.size() != 3 || parts[0].empty() || parts[1].empty() || !parseSocketAddress(parts[2]).ok()) {
                reader.fail("seeds", "host@data-centre@IP:port, separated by commas");
                return;
            }
            settings.seeds.emplace_back(seed);
        }
    }

    absl::StatusOr<Settings> checkSettings(Reader reader)
    {
        constexpr std::int64_t kib = 1024;
        Settings settings;
        settings.host = HostId(reader.id("host"));
        settings.dataCentre = DataCentreId(reader.id("data-centre"));
        settings.fleet = reader.id("fleet");
        checkKeys(reader, settings);
        checkAddresses(reader, settings);
        checkSeeds(reader, settings);
        settings.maxBody = Bytes(reader.number<std::int64_t>("max-body-kib", 1, 65536) * kib);
        settings.maxHeaders = Bytes(reader.number<std::int64_t>("max-header-kib", 1, 1024) * kib);
        settings.maxConnections = reader.number<std::uint32_t>("max-connections", 1, 65536);
        settings.clientTimeout = reader.duration("client-timeout", absl::Milliseconds(100), absl::Minutes(10));
        settings.hostListPeriod = reader.duration("host-list-period", absl::Milliseconds(100), absl::Minutes(1));
        settings.drainTimeout = reader.duration("drain-timeout", absl::ZeroDuration(), absl::Hours(24));
        settings.traceSample = reader.number<double>("trace-sample", 0.0, 1.0);
        settings.logRate = reader.number<std::uint32_t>("log-rate", 1, 100000);
        if (!reader.text("seed").empty())
            settings.seed = reader.number<std::uint64_t>("seed", 0, UINT64_MAX);
        if (!reader.status().ok())
            return reader.status();
        return settings;
    }

} // namespace

absl::StatusOr<CommandLine> parseCommandLine(const std::vector<std::string>& arguments,
    const std::function<std::optional<std::string>(const std::string&)>& environment)
{
    cxxopts::Options options = buildOptions();
    std::vector<const char*> raw { "fuchsialbd" };
    for (const std::string& argument : arguments)
        raw.push_back(argument.c_str());
    std::map<std::string, std::string> values;
    try {
        const auto parsed = options.parse(static_cast<int>(raw.size()), raw.data());
        if (parsed.count("help"))
            return CommandLine { std::nullopt, options.help(), {} };
        if (parsed.count("version"))
            return CommandLine { std::nullopt, "fuchsialbd 0.1.0\n", {} };
        if (!parsed.unmatched().empty())
            return error(Reason::InvalidFlag, fmt::format("{}: accepted: flags only", parsed.unmatched().front()));
        for (const FlagSpec& spec : flagSpecs) {
            const auto variable = environment(variableName(spec.name));
            const bool fromFlag = parsed.count(spec.name) > 0;
            values[spec.name] = !fromFlag && variable ? *variable : parsed[spec.name].as<std::string>();
        }
    } catch (const cxxopts::exceptions::exception& failure) {
        return error(Reason::InvalidFlag, failure.what());
    }
    if (!values["gateway"].empty())
        return CommandLine { std::nullopt, {}, values["gateway"] };
    auto settings = checkSettings(Reader(std::move(values)));
    if (!settings.ok())
        return settings.status();
    return CommandLine { std::move(*settings), {}, {} };
}

} // namespace fuchsialb
