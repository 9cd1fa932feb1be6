#include "fuchsialb/Gateway.h"
#include "fuchsialb/Platform.h"
#include "fuchsialb/src/Daemon/Daemon.h"
#include "fuchsialb/src/Daemon/Settings.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

constexpr int exitUsage = 2;
constexpr int exitNotDrained = 3;
constexpr timespec signalPollPeriod { 0, 100'000'000 };

std::optional<std::string> environmentVariable(const std::string& name)
{
    const char* value = std::getenv(name.c_str());
    return value ? std::optional<std::string>(value) : std::nullopt;
}

/// Runs as a gateway on the users' platform, with the settings of a file.
int runGateway(const std::string& file)
{
    const auto signals = fuchsialb::ScopedSignalMask::block(fuchsialb::Gateway::handledSignals);
    std::signal(SIGPIPE, SIG_IGN);
    const auto settings = fuchsialb::GatewaySettings::load(file);
    if (!settings.ok()) {
        fmt::print(stderr, "fuchsialbd: {}\n", std::string(settings.status().message()));
        return exitUsage;
    }
    const fuchsialb::PlatformTranslator translator;
    const auto gateway = fuchsialb::Gateway::create(*settings, translator,
        [](fuchsialb::HttpClient& http, const std::string& address) -> std::unique_ptr<fuchsialb::KeyValueService> {
            return std::make_unique<fuchsialb::PlatformStore>(http, address);
        });
    if (!gateway.ok()) {
        fmt::print(stderr, "fuchsialbd: {}\n", std::string(gateway.status().message()));
        return exitUsage;
    }
    return (*gateway)->run() ? EXIT_SUCCESS : exitNotDrained;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto commandLine = fuchsialb::parseCommandLine(arguments, environmentVariable);
    if (!commandLine.ok()) {
        fmt::print(stderr, "fuchsialbd: {}\n", std::string(commandLine.status().message()));
        return exitUsage;
    }
    if (!commandLine->settings && commandLine->gatewaySettings.empty()) {
        fmt::print("{}", commandLine->text);
        return EXIT_SUCCESS;
    }
    if (!commandLine->gatewaySettings.empty())
        return runGateway(commandLine->gatewaySettings);
    // Blocked before any thread starts, so that only the sigwait below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    const auto daemon = fuchsialb::Daemon::create(*commandLine->settings);
    if (!daemon.ok()) {
        fmt::print(stderr, "fuchsialbd: {}\n", std::string(daemon.status().message()));
        return exitUsage;
    }
    // An operator's drain ends the wait as a signal does.
    while (!(*daemon)->draining()) {
        if (sigtimedwait(&signals, nullptr, &signalPollPeriod) > 0)
            (*daemon)->drain();
    }
    return (*daemon)->waitUntilDrained() ? EXIT_SUCCESS : exitNotDrained;
}
