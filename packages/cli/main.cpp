#include "fuchsialb/Cli.h"
#include "fuchsialb/Net.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iterator>
#include <thread>

namespace {

using namespace fuchsialb;

absl::StatusOr<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    if (!file.is_open() || file.bad())
        return error(Reason::InvalidInput, fmt::format("{} can't be read", path));
    return text;
}

std::optional<std::string> variable(const std::string& name)
{
    const char* value = std::getenv(name.c_str());
    return value ? std::optional<std::string>(value) : std::nullopt;
}

void write(std::FILE* stream, std::string_view text)
{
    std::fwrite(text.data(), 1, text.size(), stream);
    std::fflush(stream);
}

ExitCode run(const std::vector<std::string>& arguments)
{
    auto client = HttpClient::create({});
    if (!client.ok()) {
        write(stderr, fmt::format("error {}\n", reasonName(reasonOf(client.status()))));
        return ExitCode::Failed;
    }
    const SystemClock clock;
    Environment environment;
    environment.transport = blockingTransport(**client);
    environment.readFile = readFile;
    environment.out = [](std::string_view text) { write(stdout, text); };
    environment.err = [](std::string_view text) { write(stderr, text); };
    environment.sleep = [](Duration time) { std::this_thread::sleep_for(time); };
    environment.variable = variable;
    environment.clock = &clock;
    return runCli(arguments, environment);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return static_cast<int>(run({ argv + 1, argv + argc }));
    } catch (const std::exception& exception) {
        std::fprintf(stderr, "error internal: %s\n", exception.what());
        return static_cast<int>(ExitCode::Failed);
    }
}
