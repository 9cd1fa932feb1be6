#pragma once

#include "fuchsialb/Cli.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief A store and daemons behind a transport, with faults that a test chooses.
class FakePlatform {
public:
    enum class Fault : unsigned char {
        /// The connection is refused.
        Refuse,
        /// Nothing takes effect and the answer is lost.
        LoseRequest,
        /// It takes effect and the answer is lost.
        LoseAnswer,
    };

    struct Entry {
        std::uint64_t version = 0;
        std::string value;
    };

    Environment environment();
    /// Runs a command and keeps what it prints.
    ExitCode run(const std::vector<std::string>& arguments);

    std::map<std::string, Entry> store;
    std::map<std::string, std::string> files;
    std::map<std::string, std::string> variables;
    /// Faults of the next writes to `config/head`.
    std::deque<Fault> headFaults;
    /// Runs before the next write to `config/head`.
    std::function<void()> beforeHead;
    bool down = false;
    /// Answer of a daemon by "METHOD url"; called with the time since the start.
    std::map<std::string, std::function<HttpResponse(Duration)>> daemons;
    std::vector<std::string> puts;
    std::string out;
    std::string err;
    ManualClock clock;

private:
    HttpOutcome exchange(const HttpRequest& request);
    HttpOutcome onKey(const HttpRequest& request, const std::string& key, std::uint64_t expect);
    HttpResponse change(const HttpRequest& request, const std::string& key, std::uint64_t expect);
};

} // namespace fuchsialb
