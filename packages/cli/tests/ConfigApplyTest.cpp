#include "support/FakePlatform.h"
#include "support/Samples.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;
using Fault = FakePlatform::Fault;

namespace {

const std::vector<std::string> apply { "config", "apply", "--store", "http://127.0.0.1:9", "--inventory", "i",
    "--rules", "r" };

std::vector<std::string> with(std::vector<std::string> arguments, const std::vector<std::string>& more)
{
    arguments.insert(arguments.end(), more.begin(), more.end());
    return arguments;
}

struct Fixture : FakePlatform {
    Fixture()
    {
        set(1);
        files["r"] = sampleRules;
    }

    /// Changes the input.
    void set(int port) { files["i"] = sampleInventory("127.0.0.1:" + std::to_string(port), "active"); }

    /// Another operator applies an input.
    void applyElsewhere(int port)
    {
        const std::string mine = files["i"];
        const std::string printed = out;
        set(port);
        REQUIRE(runCli(apply, environment()) == ExitCode::Done);
        files["i"] = mine;
        out = printed;
    }

    std::uint64_t headVersion() { return decodeHead(store["config/head"].value)->version.value(); }
    std::size_t headWrites() const
    {
        return static_cast<std::size_t>(std::count(puts.begin(), puts.end(), "config/head"));
    }
};

} // namespace

TEST_CASE("Apply puts a configuration into the store")
{
    Fixture f;
    REQUIRE(f.run(apply) == ExitCode::Done);
    CHECK(f.out.find("+ endpoint e1 ") != std::string::npos);
    CHECK(f.out.find("accepted version=1\n") != std::string::npos);
    // Guards against a head that names chunks which are not there yet.
    CHECK(f.puts.back() == "config/head");

    SECTION("show prints it")
    {
        REQUIRE(f.run({ "config", "show", "--store", "http://127.0.0.1:9", "--output", "json" }) == ExitCode::Done);
        CHECK(nlohmann::json::parse(f.out)["configuration"]["endpoints"]["e1"]["address"] == "127.0.0.1:1");
    }
    SECTION("the same input again changes nothing")
    {
        REQUIRE(f.run(apply) == ExitCode::Done);
        CHECK(f.out == "unchanged version=1\n");
        CHECK(f.headWrites() == 1);
    }
    SECTION("a changed input becomes the next version and the history keeps the earlier one")
    {
        f.set(2);
        REQUIRE(f.run(with(apply, { "--expect", "1" })) == ExitCode::Done);
        CHECK(f.out == "~ endpoint e1 address: 127.0.0.1:1 -> 127.0.0.1:2\naccepted version=2\n");
        REQUIRE(f.run({ "config", "history", "--store", "http://127.0.0.1:9" }) == ExitCode::Done);
        CHECK(f.out.find("version=1 digest=") == 0);
        CHECK(f.out.find("version=2 digest=") != std::string::npos);
        REQUIRE(f.run({ "config", "show", "--version", "1", "--store", "http://127.0.0.1:9" }) == ExitCode::Done);
        CHECK(f.out.find("address=127.0.0.1:1 ") != std::string::npos);
    }
    // Guards against a store that fills with 9,600 changes a day.
    SECTION("the history is bounded and unused chunks are deleted")
    {
        for (int port = 2; port < 110; ++port) {
            f.set(port);
            REQUIRE(f.run(apply) == ExitCode::Done);
        }
        CHECK(f.headVersion() == 109);
        // The head, the history, and a chunk for the head and each head in the history.
        CHECK(f.store.size() == 2 + 1 + ConfigHistory::maxHeads);
    }
    SECTION("a damaged chunk is reported, not compared with")
    {
        for (auto& [key, entry] : f.store) {
            if (key.starts_with("config/chunk/"))
                entry.value += " ";
        }
        f.set(2);
        CHECK(f.run(apply) == ExitCode::InvalidInput);
        CHECK(f.headVersion() == 1);
    }
}

// Guards against an operator who overwrites what another has just applied.
TEST_CASE("Of two operators one wins and the other is shown the difference")
{
    Fixture f;
    REQUIRE(f.run(apply) == ExitCode::Done);
    f.set(2);

    SECTION("when the version that the operator saw is no longer in the store")
    {
        f.applyElsewhere(3);
        CHECK(f.run(with(apply, { "--expect", "1" })) == ExitCode::Conflict);
        CHECK(f.out == "applied by someone else since version 1:\n~ endpoint e1 address: 127.0.0.1:1 -> 127.0.0.1:3\n");
        CHECK(f.err.find("error version-conflict") == 0);
    }
    SECTION("when the other is faster by a moment")
    {
        f.beforeHead = [&] { f.applyElsewhere(3); };
        CHECK(f.run(apply) == ExitCode::Conflict);
        CHECK(f.out.find("applied by someone else since version 1:\n~ endpoint e1 address: 127.0.0.1:1 -> 127.0.0.1:3")
            != std::string::npos);
        CHECK(f.headVersion() == 2);
    }
    SECTION("as JSON")
    {
        f.applyElsewhere(3);
        CHECK(f.run(with(apply, { "--expect", "1", "--output", "json" })) == ExitCode::Conflict);
        const auto report = nlohmann::json::parse(f.out);
        CHECK(report["exit"] == 4);
        CHECK(report["error"]["reason"] == "version-conflict");
        CHECK(report["conflict"][0]["fields"]["address"]["new"] == "127.0.0.1:3");
    }
}

// Guards against an accepted change that is reported as refused, and the other way round.
TEST_CASE("A lost answer of the store is settled")
{
    Fixture f;
    REQUIRE(f.run(apply) == ExitCode::Done);
    f.set(2);

    SECTION("the write took effect")
    {
        f.headFaults = { Fault::LoseAnswer };
        CHECK(f.run(apply) == ExitCode::Done);
        CHECK(f.headWrites() == 2);
    }
    SECTION("the write did not take effect and is repeated")
    {
        f.headFaults = { Fault::LoseRequest, Fault::Refuse };
        CHECK(f.run(apply) == ExitCode::Done);
        CHECK(f.headVersion() == 2);
    }
    SECTION("the write took effect and was replaced by another operator's")
    {
        f.headFaults = { Fault::LoseAnswer };
        const Environment environment = f.environment();
        Environment slow = environment;
        bool replaced = false;
        slow.transport = [&](HttpRequest request) {
            const bool head = request.method == "PUT" && request.url.find("config/head") != std::string::npos;
            HttpOutcome outcome = environment.transport(std::move(request));
            if (head && !std::exchange(replaced, true))
                f.applyElsewhere(3);
            return outcome;
        };
        CHECK(runCli(apply, slow) == ExitCode::Done);
        CHECK(f.headVersion() == 3);
    }
    SECTION("nothing is known as long as the store does not answer")
    {
        f.headFaults = { Fault::LoseRequest };
        const Environment environment = f.environment();
        Environment dying = environment;
        dying.transport = [&](HttpRequest request) {
            const bool head = request.method == "PUT" && request.url.find("config/head") != std::string::npos;
            HttpOutcome outcome = environment.transport(std::move(request));
            f.down |= head;
            return outcome;
        };
        CHECK(runCli(apply, dying) == ExitCode::Unknown);
        CHECK(f.err.find("error store-answer-lost") == 0);
    }
    SECTION("a store that can't be reached changes nothing")
    {
        f.down = true;
        CHECK(f.run(apply) == ExitCode::Unavailable);
        f.down = false;
        f.headFaults.assign(5, Fault::Refuse);
        CHECK(f.run(apply) == ExitCode::Unavailable);
        CHECK(f.headVersion() == 1);
    }
}

TEST_CASE("Apply waits until the daemons of each data centre have the version")
{
    Fixture f;
    const auto daemon = [&](const std::string& port, const std::string& dataCentre, Duration after) {
        f.daemons["GET http://127.0.0.1:" + port + "/admin/status"] = [dataCentre, after](Duration now) {
            const int version = now >= after ? 1 : 0;
            return HttpResponse { 200, {},
                nlohmann::json { { "data_centre", dataCentre }, { "configuration_version", version } }.dump() };
        };
    };
    using std::chrono::milliseconds;
    daemon("11", "dc-1", milliseconds(0));
    daemon("12", "dc-2", milliseconds(500));
    daemon("13", "dc-1", milliseconds(300));
    const std::string admin = "http://127.0.0.1:11,http://127.0.0.1:12,http://127.0.0.1:13";

    SECTION("data centre by data centre")
    {
        CHECK(f.run(with(apply, { "--admin", admin })) == ExitCode::Done);
        CHECK(f.out.find("accepted version=1\nin force data_centre=dc-1 daemons=2 after_ms=400\n"
                         "in force data_centre=dc-2 daemons=1 after_ms=600\n")
            != std::string::npos);
    }
    SECTION("and says which one has not got it in time")
    {
        daemon("12", "dc-2", std::chrono::hours(1));
        CHECK(f.run(with(apply, { "--admin", admin, "--wait", "2s" })) == ExitCode::NotInForce);
        CHECK(f.out.find("not in force daemon=http://127.0.0.1:12 data_centre=dc-2\n") != std::string::npos);
    }
    SECTION("a daemon that does not answer is not counted as having it")
    {
        CHECK(f.run(with(apply, { "--admin", "http://127.0.0.1:11,http://127.0.0.1:99" })) == ExitCode::NotInForce);
        CHECK(f.out.find("not in force daemon=http://127.0.0.1:99 data_centre=unknown\n") != std::string::npos);
        CHECK(f.clock.now().time_since_epoch() < std::chrono::seconds(7));
    }
}
