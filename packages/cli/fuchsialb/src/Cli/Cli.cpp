#include "Cli.h"

#include "AdminCommands.h"
#include "ConfigCommands.h"
#include "Report.h"
#include "Settings.h"

namespace fuchsialb {

ExitCode runCli(const std::vector<std::string>& arguments, const Environment& environment)
{
    const auto settings = parseSettings(arguments, environment);
    if (!settings.ok()) {
        Report report(environment, false);
        report.fail(settings.status());
        return report.finish(ExitCode::Usage);
    }
    switch (settings->command) {
    case Command::Help:
        environment.out(helpText());
        return ExitCode::Done;
    case Command::ConfigCheck:
        return checkConfig(*settings, environment);
    case Command::ConfigDiff:
        return diffConfig(*settings, environment);
    case Command::ConfigApply:
        return applyConfig(*settings, environment);
    case Command::ConfigShow:
        return showConfig(*settings, environment);
    case Command::ConfigHistory:
        return listHistory(*settings, environment);
    case Command::Status:
        return showStatus(*settings, environment);
    case Command::Drain:
        return drainHosts(*settings, environment);
    case Command::Explain:
        return explainSubject(*settings, environment);
    }
    return ExitCode::Failed;
}

} // namespace fuchsialb
