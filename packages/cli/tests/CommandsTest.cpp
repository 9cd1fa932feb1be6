#include "support/FakePlatform.h"
#include "support/Samples.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace fuchsialb;

namespace {

std::string readExample(const std::string& name)
{
    const auto root = std::filesystem::path(__FILE__).parent_path().parent_path().parent_path().parent_path();
    std::ifstream file(root / "examples" / name, std::ios::binary);
    REQUIRE(file.is_open());
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

} // namespace

// Guards against examples that the client refuses.
TEST_CASE("The examples are valid")
{
    FakePlatform f;
    const std::map<std::string, std::string> expected {
        { "cooperative", "valid targets=2 endpoints=43 organisations=10\n" },
        { "association", "valid targets=2 endpoints=42 organisations=10\n" },
        { "demo", "valid targets=2 endpoints=19 organisations=3\n" },
    };
    for (const auto& [name, result] : expected) {
        f.files["i"] = readExample(name + "/inventory.csv");
        f.files["r"] = readExample(name + "/rules.yaml");
        CHECK(f.run({ "config", "check", "--inventory", "i", "--rules", "r" }) == ExitCode::Done);
        CHECK(f.out == result);
        CHECK(f.err.empty());
    }
}

TEST_CASE("Mistakes in the input are reported and nothing is written")
{
    FakePlatform f;
    f.files["i"] = sampleInventory("host:1", "gone");
    f.files["r"] = "targets: 1\n";
    const std::vector<std::string> apply { "config", "apply", "--store", "http://127.0.0.1:9", "--inventory", "i",
        "--rules", "r", "--output" };
    std::vector<std::string> arguments = apply;
    arguments.emplace_back("json");
    CHECK(f.run(arguments) == ExitCode::InvalidInput);
    const auto report = nlohmann::json::parse(f.out);
    REQUIRE(report["errors"].size() == 3);
    CHECK(report["errors"][0]["column"] == 22);
    CHECK(report["errors"][2]["file"] == "r");
    arguments.back() = "text";
    CHECK(f.run(arguments) == ExitCode::InvalidInput);
    CHECK(f.err.find("i:2:22: read 'host:1', accepted is IPv4:port or [IPv6]:port [invalid-inventory]\n") == 0);
    f.files.erase("r");
    CHECK(f.run(arguments) == ExitCode::InvalidInput);
    CHECK(f.store.empty());
}

TEST_CASE("Flags and environment variables are read alike")
{
    FakePlatform f;
    f.variables
        = { { "FUCHSIALB_STORE", "http://127.0.0.1:9" }, { "FUCHSIALB_OUTPUT", "json" }, { "FUCHSIALB_HOST", "h" } };
    const auto parsed
        = [&](const std::vector<std::string>& arguments) { return parseSettings(arguments, f.environment()); };

    SECTION("a flag goes before the variable")
    {
        CHECK(parsed({ "config", "show" })->store == "http://127.0.0.1:9");
        CHECK(parsed({ "config", "show" })->json);
        CHECK_FALSE(parsed({ "config", "show", "--output", "text" })->json);
        const auto explain = parsed({ "explain", "--admin", "http://127.0.0.1:1", "--runner", "r" });
        REQUIRE(explain.ok());
        CHECK(explain->subject == "runner");
    }
    SECTION("anything else is refused with what is accepted")
    {
        const std::vector<std::vector<std::string>> wrong { { "config" }, { "config", "aply" }, { "status" },
            { "status", "--admin", "localhost:1" }, { "status", "--admin", "http://127.0.0.1:1,," },
            { "config", "show", "--store", "http://127.0.0.1" }, { "config", "show", "--version", "-1" },
            { "config", "show", "--output", "yaml" }, { "config", "show", "--unknown", "1" },
            { "config", "show", "--wait", "6" }, { "config", "show", "--timeout", "0ms" }, { "config", "check" },
            { "explain", "--admin", "http://127.0.0.1:1", "--runner", "r", "--request", "q" } };
        for (const auto& arguments : wrong) {
            INFO(arguments.back());
            CHECK(reasonOf(parsed(arguments).status()) == Reason::InvalidFlag);
            CHECK(f.run(arguments) == ExitCode::Usage);
        }
    }
    SECTION("help names every command, flag and exit code")
    {
        CHECK(f.run({ "--help" }) == ExitCode::Done);
        for (const char* word : { "config apply", "--expect", "FUCHSIALB_STORE", "8 not found" })
            CHECK(f.out.find(word) != std::string::npos);
    }
}

TEST_CASE("Daemons are asked through their admin listeners")
{
    FakePlatform f;
    const std::string one = "http://127.0.0.1:11";
    const std::string two = "http://127.0.0.1:12";
    const std::string both = one + "," + two;
    const auto answer = [&](const std::string& call, std::uint32_t status, const std::string& body) {
        f.daemons[call] = [=](Duration) { return HttpResponse { status, {}, body }; };
    };

    // Guards against a daemon whose answer forges a line of another.
    SECTION("status prints whatever they report, escaped")
    {
        answer("GET " + one + "/admin/status", 200, R"({"host":"h1","groups":[{"id":"g\nx","wait_ms":1.5}]})");
        answer("GET " + two + "/admin/status", 200, "<html>");
        CHECK(f.run({ "status", "--admin", both }) == ExitCode::Unavailable);
        CHECK(f.out
            == "daemon http://127.0.0.1:11\n  groups.0.id=g\\x0ax\n  groups.0.wait_ms=1.5\n  host=h1\n"
               "daemon http://127.0.0.1:12 malformed-message\n");
    }
    SECTION("drain asks each of them")
    {
        answer("POST " + one + "/admin/drain", 202, R"({"state":"draining"})");
        CHECK(f.run({ "drain", "--admin", one }) == ExitCode::Done);
        CHECK(f.run({ "drain", "--admin", both }) == ExitCode::Unavailable);
        CHECK(f.out.find("daemon http://127.0.0.1:12 connect-failed\n") != std::string::npos);
    }
    SECTION("explain is answered by whoever knows")
    {
        const std::string path = "/admin/explain?request=a%20b";
        answer("GET " + one + path, 404, "{}");
        answer("GET " + two + path, 404, "{}");
        const std::vector<std::string> explain { "explain", "--admin", both, "--request", "a b", "--output", "json" };
        CHECK(f.run(explain) == ExitCode::NotFound);
        answer("GET " + two + path, 200, R"({"decisions":[]})");
        CHECK(f.run(explain) == ExitCode::Done);
        CHECK(nlohmann::json::parse(f.out)["daemons"][1]["answer"]["decisions"].is_array());
    }
}
