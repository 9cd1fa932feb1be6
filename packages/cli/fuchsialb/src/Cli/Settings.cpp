#include "Settings.h"

#include "ExitCode.h"
#include "fuchsialb/Config.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace fuchsialb {

namespace {

    struct Flag {
        const char* name;
        const char* value;
        const char* help;
    };

    constexpr Flag flags[] = {
        { "store", "URL", "the platform's key-value service, http://IP:port" },
        { "admin", "URLS", "admin listeners of daemons, http://IP:port[,http://IP:port...]" },
        { "inventory", "FILE", "the inventory (CSV)" },
        { "rules", "FILE", "the rules (YAML)" },
        { "expect", "VERSION", "apply only when this version is in the store; 0 for none" },
        { "version", "VERSION", "an earlier version for config show and config diff" },
        { "wait", "TIME", "how long config apply waits until the version is in force (default 6s)" },
        { "timeout", "TIME", "longest time of one HTTP call (default 2s)" },
        { "output", "FORMAT", "text or json (default text)" },
        { "request", "ID", "explain this request" },
        { "host", "ID", "explain this host" },
        { "runner", "ID", "explain this runner or endpoint" },
    };

    const std::map<std::string, Command> commands { { "config check", Command::ConfigCheck },
        { "config diff", Command::ConfigDiff }, { "config apply", Command::ConfigApply },
        { "config show", Command::ConfigShow }, { "config history", Command::ConfigHistory },
        { "status", Command::Status }, { "drain", Command::Drain }, { "explain", Command::Explain } };

    constexpr std::string_view commandHelp
        = "Commands:\n"
          "  config check    check --inventory and --rules\n"
          "  config diff     compare them with the store's configuration, or with --version\n"
          "  config apply    put them into force\n"
          "  config show     print the store's configuration, or --version\n"
          "  config history  list the versions that the store keeps\n"
          "  status          print the state of the daemons at --admin\n"
          "  drain           take the daemons at --admin out of service\n"
          "  explain         print the decisions about --request, --host or --runner\n";

    constexpr const char* subjects[] = { "request", "host", "runner" };

    bool isSubject(std::string_view flag)
    {
        return std::find(std::begin(subjects), std::end(subjects), flag) != std::end(subjects);
    }

    using Values = std::map<std::string, std::string>;

    absl::Status rejected(std::string_view name, std::string_view read, std::string_view accepted)
    {
        return error(Reason::InvalidFlag, fmt::format("{}: read '{}', accepted is {}", name, read, accepted));
    }

    cxxopts::Options options()
    {
        cxxopts::Options result("fuchsialb", "Operators' client of the request router fuchsialb.\n");
        result.custom_help("COMMAND [FLAGS]");
        result.positional_help("");
        auto add = result.add_options();
        add("h,help", "print this help");
        for (const Flag& flag : flags)
            add(flag.name, flag.help, cxxopts::value<std::string>(), flag.value);
        result.add_options("words")("command", "", cxxopts::value<std::vector<std::string>>());
        result.parse_positional({ "command" });
        return result;
    }

    std::string variableName(std::string_view flag)
    {
        std::string name = "FUCHSIALB_" + absl::AsciiStrToUpper(absl::string_view(flag.data(), flag.size()));
        std::replace(name.begin(), name.end(), '-', '_');
        return name;
    }

    std::string value(const Values& values, const std::string& name)
    {
        const auto found = values.find(name);
        return found == values.end() ? std::string() : found->second;
    }

    bool validUrl(std::string_view url)
    {
        constexpr std::string_view scheme = "http://";
        return url.starts_with(scheme) && validAddress(url.substr(scheme.size()));
    }

    absl::Status readUrls(const Values& values, Settings& settings)
    {
        settings.store = value(values, "store");
        if (!settings.store.empty() && !validUrl(settings.store))
            return rejected("--store", settings.store, "http://IP:port");
        const std::string admin = value(values, "admin");
        if (admin.empty())
            return absl::OkStatus();
        settings.admin = absl::StrSplit(admin, ',');
        for (const std::string& url : settings.admin) {
            if (!validUrl(url))
                return rejected("--admin", url, "http://IP:port, separated by commas");
        }
        return absl::OkStatus();
    }

    absl::Status readVersion(const Values& values, const std::string& name, std::optional<std::uint64_t>& result)
    {
        const std::string text = value(values, name);
        std::uint64_t version = 0;
        if (text.empty())
            return absl::OkStatus();
        if (!absl::SimpleAtoi(text, &version))
            return rejected("--" + name, text, "a version such as 12");
        result = version;
        return absl::OkStatus();
    }

    absl::Status readDuration(const Values& values, const std::string& name, Duration low, Duration& result)
    {
        const std::string text = value(values, name);
        if (text.empty())
            return absl::OkStatus();
        const auto duration = durationFromText(text);
        if (!duration || *duration < low || *duration > std::chrono::hours(1))
            return rejected("--" + name, text, fmt::format("{}ms to 1h, such as 6s", low.count() / 1000));
        result = std::chrono::duration_cast<Duration>(*duration);
        return absl::OkStatus();
    }

    absl::Status readOutput(const Values& values, Settings& settings)
    {
        const std::string output = value(values, "output");
        if (!output.empty() && output != "text" && output != "json")
            return rejected("--output", output, "text or json");
        settings.json = output == "json";
        return absl::OkStatus();
    }

    absl::Status readSubject(const Values& values, Settings& settings)
    {
        for (const char* subject : subjects) {
            const std::string id = value(values, subject);
            if (id.empty())
                continue;
            if (!settings.subject.empty())
                return rejected("explain", "several subjects", "one of --request, --host and --runner");
            settings.subject = subject;
            settings.subjectId = id;
        }
        return absl::OkStatus();
    }

    absl::Status require(bool given, std::string_view command, std::string_view flag)
    {
        return given ? absl::OkStatus() : rejected(command, "no flag", flag);
    }

    absl::Status checkRequired(const Settings& settings, std::string_view name)
    {
        const bool files = !settings.inventory.empty() && !settings.rules.empty();
        switch (settings.command) {
        case Command::Help:
            return absl::OkStatus();
        case Command::ConfigCheck:
            return require(files, name, "--inventory and --rules");
        case Command::ConfigDiff:
        case Command::ConfigApply:
            return require(files && !settings.store.empty(), name, "--inventory, --rules and --store");
        case Command::ConfigShow:
        case Command::ConfigHistory:
            return require(!settings.store.empty(), name, "--store");
        case Command::Status:
        case Command::Drain:
            return require(!settings.admin.empty(), name, "--admin");
        case Command::Explain:
            return require(!settings.admin.empty() && !settings.subject.empty(), name,
                "--admin and one of --request, --host and --runner");
        }
        return absl::OkStatus();
    }

    absl::StatusOr<Settings> build(const std::string& name, const Values& values)
    {
        Settings settings;
        const auto command = commands.find(name);
        if (command == commands.end())
            return rejected("command", name,
                "config check, config diff, config apply, config show, config history, status, drain or explain");
        settings.command = command->second;
        settings.inventory = value(values, "inventory");
        settings.rules = value(values, "rules");
        const std::chrono::milliseconds shortestTimeout(1);
        for (const absl::Status& status : { readUrls(values, settings), readVersion(values, "expect", settings.expect),
                 readVersion(values, "version", settings.version),
                 readDuration(values, "wait", Duration(0), settings.wait),
                 readDuration(values, "timeout", shortestTimeout, settings.timeout), readOutput(values, settings),
                 readSubject(values, settings), checkRequired(settings, name) }) {
            if (!status.ok())
                return status;
        }
        return settings;
    }

} // namespace

std::string helpText()
{
    return fmt::format("{}\n{}\nEach flag has an environment variable of the same name, such as FUCHSIALB_STORE.\n{}",
        options().help({ "" }), commandHelp, exitCodeHelp);
}

absl::StatusOr<Settings> parseSettings(const std::vector<std::string>& arguments, const Environment& environment)
{
    std::vector<const char*> argv { "fuchsialb" };
    for (const std::string& argument : arguments)
        argv.push_back(argument.c_str());
    try {
        cxxopts::Options parser = options();
        const cxxopts::ParseResult parsed = parser.parse(static_cast<int>(argv.size()), argv.data());
        if (parsed.count("help") > 0 || arguments.empty())
            return Settings();
        Values values;
        // A subject on the command line goes before another subject in the environment.
        const bool subjectGiven = std::any_of(std::begin(flags), std::end(flags),
            [&](const Flag& flag) { return isSubject(flag.name) && parsed.count(flag.name) > 0; });
        for (const Flag& flag : flags) {
            if (parsed.count(flag.name) > 0)
                values[flag.name] = parsed[flag.name].as<std::string>();
            else if (const auto variable = environment.variable(variableName(flag.name));
                     variable && !(subjectGiven && isSubject(flag.name)))
                values[flag.name] = *variable;
        }
        std::vector<std::string> words;
        if (parsed.count("command") > 0)
            words = parsed["command"].as<std::vector<std::string>>();
        return build(fmt::format("{}", fmt::join(words, " ")), values);
    } catch (const cxxopts::exceptions::exception& exception) {
        return error(Reason::InvalidFlag, exception.what());
    }
}

} // namespace fuchsialb
