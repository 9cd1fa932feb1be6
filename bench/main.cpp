#include "fuchsialb/Bench.h"

#include <fmt/format.h>

#include <string_view>

int main(int count, char** arguments)
{
    const std::string_view command = count > 1 ? arguments[1] : "";
    if (command == "replay")
        return fuchsialb::bench::replayCommand(count - 1, arguments + 1);
    if (command == "capacity")
        return fuchsialb::bench::capacityCommand(count - 1, arguments + 1);
    fmt::print(stderr, "usage: fuchsialb-bench replay|capacity [flags], --help with either lists them\n");
    return 2;
}
