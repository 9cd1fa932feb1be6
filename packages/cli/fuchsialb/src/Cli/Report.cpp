#include "Report.h"

#include <fmt/format.h>

#include <utility>

namespace fuchsialb {

Report::Report(const Environment& environment, bool json)
    : m_environment(environment)
    , m_json(json)
{
}

void Report::line(std::string_view text)
{
    if (!m_json)
        m_environment.out(fmt::format("{}\n", text));
}

void Report::set(const std::string& name, nlohmann::json value) { m_object[name] = std::move(value); }

void Report::append(const std::string& name, nlohmann::json value) { m_object[name].push_back(std::move(value)); }

void Report::fail(const absl::Status& status)
{
    const std::string detail(status.message().data(), status.message().size());
    const std::string_view reason = reasonName(reasonOf(status));
    m_object["error"] = { { "reason", reason }, { "detail", detail } };
    if (!m_json)
        m_environment.err(fmt::format("error {}: {}\n", reason, detail));
}

void Report::fail(const std::vector<InputError>& errors)
{
    for (const InputError& error : errors) {
        append("errors",
            { { "file", error.file }, { "line", error.line }, { "column", error.column }, { "read", error.read },
                { "accepted", error.accepted }, { "reason", reasonName(error.reason) } });
        if (!m_json)
            m_environment.err(describe(error) + "\n");
    }
}

ExitCode Report::finish(ExitCode code)
{
    m_object["exit"] = static_cast<int>(code);
    if (m_json)
        m_environment.out(m_object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    return code;
}

ExitCode exitCodeOf(const absl::Status& status)
{
    switch (reasonOf(status)) {
    case Reason::InvalidFlag:
        return ExitCode::Usage;
    case Reason::InvalidInput:
    case Reason::InvalidConfiguration:
        return ExitCode::InvalidInput;
    case Reason::VersionConflict:
        return ExitCode::Conflict;
    case Reason::StoreUnavailable:
    case Reason::ConnectFailed:
    case Reason::ConnectionLost:
    case Reason::ConnectionSilent:
    case Reason::Timeout:
    case Reason::EndpointRefused:
        return ExitCode::Unavailable;
    case Reason::StoreAnswerLost:
        return ExitCode::Unknown;
    default:
        return ExitCode::Failed;
    }
}

} // namespace fuchsialb
