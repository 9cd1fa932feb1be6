#include "AdminCommands.h"

#include "fuchsialb/src/Store/StoreProtocol.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

namespace fuchsialb {

namespace {

    using nlohmann::json;

    constexpr Duration pollPeriod = std::chrono::milliseconds(200);
    constexpr std::size_t maxValueLength = 2000;

    /// \return The JSON that a daemon answers; `EndpointRefused` for any other status than 200 and 202.
    absl::StatusOr<json> call(
        const Environment& environment, const Settings& settings, const char* method, const std::string& url)
    {
        HttpRequest request;
        request.method = method;
        request.url = url;
        request.timeout = settings.timeout;
        const HttpOutcome outcome = environment.transport(std::move(request));
        if (const auto* failure = std::get_if<HttpFailure>(&outcome))
            return failure->status;
        const auto& response = std::get<HttpResponse>(outcome);
        constexpr std::uint32_t ok = 200;
        constexpr std::uint32_t acceptedStatus = 202;
        constexpr std::uint32_t notFound = 404;
        if (response.status == notFound)
            return error(Reason::TargetUnknown, "not known to this daemon");
        if (response.status != ok && response.status != acceptedStatus)
            return error(Reason::EndpointRefused, fmt::format("{} answered with status {}", url, response.status));
        json body = json::parse(response.body, nullptr, false);
        if (body.is_discarded())
            return error(Reason::MalformedMessage, fmt::format("{} did not answer with JSON", url));
        return body;
    }

    std::string valueText(const json& value)
    {
        const std::string text
            = value.is_string() ? value.get<std::string>() : value.dump(-1, ' ', false, json::error_handler_t::replace);
        return printable(text, maxValueLength);
    }

    /// Prints "path=value" for each plain value of any JSON.
    void printFlat(const json& value, const std::string& path, Report& report)
    {
        if (!value.is_structured() || value.empty())
            return report.line(fmt::format("  {}={}", printable(path, maxValueLength), valueText(value)));
        for (const auto& [key, member] : value.items())
            printFlat(member, path.empty() ? key : fmt::format("{}.{}", path, key), report);
    }

    /// Calls each daemon and prints its answer.
    /// \return The answers.
    std::vector<absl::StatusOr<json>> callAll(const Settings& settings, const Environment& environment, Report& report,
        const char* method, const std::string& path)
    {
        std::vector<absl::StatusOr<json>> answers;
        report.set("daemons", json::array());
        for (const std::string& url : settings.admin) {
            answers.push_back(call(environment, settings, method, url + path));
            const absl::StatusOr<json>& answer = answers.back();
            if (answer.ok()) {
                report.line(fmt::format("daemon {}", url));
                printFlat(*answer, "", report);
                report.append("daemons", { { "address", url }, { "answer", *answer } });
            } else {
                const std::string_view reason = reasonName(reasonOf(answer.status()));
                report.line(fmt::format("daemon {} {}", url, reason));
                report.append("daemons", { { "address", url }, { "error", reason } });
            }
        }
        return answers;
    }

    ExitCode worst(const std::vector<absl::StatusOr<json>>& answers)
    {
        const bool allOk = std::all_of(answers.begin(), answers.end(), [](const auto& answer) { return answer.ok(); });
        return allOk ? ExitCode::Done : ExitCode::Unavailable;
    }

    /// What is known of one daemon while waiting.
    struct Daemon {
        std::string url;
        std::string dataCentre;
        bool reached = false;
    };

    std::string member(const json& object, const char* name)
    {
        return object.is_object() && object.contains(name) && object[name].is_string() ? object[name].get<std::string>()
                                                                                       : "";
    }

    /// Waits for the daemons of each data centre.
    class InForceWait {
    public:
        InForceWait(std::uint64_t version, const Settings& settings, const Environment& environment, Report& report)
            : m_version(version)
            , m_settings(settings)
            , m_environment(environment)
            , m_report(report)
            , m_begin(environment.clock->now())
        {
            for (const std::string& url : settings.admin)
                m_daemons.push_back({ url, "", false });
        }

        ExitCode run()
        {
            m_report.set("in_force", json::array());
            while (true) {
                for (Daemon& daemon : m_daemons) {
                    if (!daemon.reached)
                        poll(daemon);
                }
                const bool all
                    = std::all_of(m_daemons.begin(), m_daemons.end(), [](const Daemon& d) { return d.reached; });
                const bool over = m_environment.clock->now() - m_begin >= m_settings.wait;
                // Until every daemon has said where it is, one of them may belong to any data centre.
                printReached();
                if (all)
                    return ExitCode::Done;
                if (over)
                    return printMissing();
                m_environment.sleep(pollPeriod);
            }
        }

    private:
        void poll(Daemon& daemon)
        {
            const auto answer = call(m_environment, m_settings, "GET", daemon.url + "/admin/status");
            if (!answer.ok() || !answer->is_object())
                return;
            daemon.dataCentre = member(*answer, "data_centre");
            const json version = answer->value("configuration_version", json());
            daemon.reached = version.is_number_unsigned() && version.get<std::uint64_t>() >= m_version;
        }

        void printReached()
        {
            const bool allPlaced = std::none_of(
                m_daemons.begin(), m_daemons.end(), [](const Daemon& d) { return d.dataCentre.empty(); });
            if (!allPlaced && m_environment.clock->now() - m_begin < m_settings.wait)
                return;
            std::map<std::string, std::pair<std::size_t, std::size_t>> counts;
            for (const Daemon& daemon : m_daemons) {
                auto& [reached, total] = counts[daemon.dataCentre];
                reached += daemon.reached ? 1 : 0;
                ++total;
            }
            for (const auto& [dataCentre, count] : counts) {
                if (dataCentre.empty() || count.first != count.second || m_printed[dataCentre])
                    continue;
                m_printed[dataCentre] = true;
                const auto after
                    = std::chrono::duration_cast<std::chrono::milliseconds>(m_environment.clock->now() - m_begin);
                m_report.line(fmt::format("in force data_centre={} daemons={} after_ms={}",
                    printable(dataCentre, maxValueLength), count.first, after.count()));
                m_report.append("in_force",
                    { { "data_centre", dataCentre }, { "daemons", count.first }, { "after_ms", after.count() } });
            }
        }

        ExitCode printMissing()
        {
            for (const Daemon& daemon : m_daemons) {
                if (daemon.reached)
                    continue;
                const std::string where = daemon.dataCentre.empty() ? "unknown" : daemon.dataCentre;
                m_report.line(
                    fmt::format("not in force daemon={} data_centre={}", daemon.url, printable(where, maxValueLength)));
                m_report.append("not_in_force", { { "address", daemon.url }, { "data_centre", where } });
            }
            return ExitCode::NotInForce;
        }

        std::uint64_t m_version;
        const Settings& m_settings;
        const Environment& m_environment;
        Report& m_report;
        TimePoint m_begin;
        std::vector<Daemon> m_daemons;
        std::map<std::string, bool> m_printed;
    };

} // namespace

ExitCode waitInForce(std::uint64_t version, const Settings& settings, const Environment& environment, Report& report)
{
    return InForceWait(version, settings, environment, report).run();
}

ExitCode showStatus(const Settings& settings, const Environment& environment)
{
    Report report(environment, settings.json);
    return report.finish(worst(callAll(settings, environment, report, "GET", "/admin/status")));
}

ExitCode drainHosts(const Settings& settings, const Environment& environment)
{
    Report report(environment, settings.json);
    return report.finish(worst(callAll(settings, environment, report, "POST", "/admin/drain")));
}

ExitCode explainSubject(const Settings& settings, const Environment& environment)
{
    Report report(environment, settings.json);
    const std::string path
        = fmt::format("/admin/explain?{}={}", settings.subject, internal::percentEncode(settings.subjectId));
    const auto answers = callAll(settings, environment, report, "GET", path);
    const auto known = [](const auto& answer) { return answer.ok(); };
    const auto unknown = [](const auto& answer) { return reasonOf(answer.status()) == Reason::TargetUnknown; };
    if (std::any_of(answers.begin(), answers.end(), known))
        return report.finish(ExitCode::Done);
    const bool nobody = std::all_of(answers.begin(), answers.end(), unknown);
    return report.finish(nobody ? ExitCode::NotFound : ExitCode::Unavailable);
}

} // namespace fuchsialb
