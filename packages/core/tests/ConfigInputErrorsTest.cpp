#include "fuchsialb/Config.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace fuchsialb;

namespace {

const std::string header = "id,kind,data_centre,group,target,address,layers,accelerator,accelerators,link,"
                           "max_concurrency,fencing,deduplicates,state\n";
const std::string runnerA = "r1,runner,dc,g,m,127.0.0.1:1,0-2,a,1,l,4,yes,no,active\n";
const std::string runnerB = "r2,runner,dc,g,m,127.0.0.1:2,2-4,a,1,l,4,yes,no,active\n";
const std::string plain = "z1,endpoint,dc,h,s,127.0.0.1:3,,,,,8,no,yes,leaving\n";
const std::string inventory = header + runnerA + runnerB + plain;

const std::string rules = R"(targets:
  m: {kind: model, layers: 4, hidden_state_bytes: 8KiB}
  s: {kind: service, idempotent: no, claim_shards: 8}
accelerators:
  a: {layer_base: 90us, layer_per_sequence: 3us, layer_per_prompt_token: 700ns}
links:
  l: {delay: 0.2ms, bandwidth: 1.5Gbit/s}
organisations:
  o: {weight: 2}
ranks:
  urgent: {share: 0.5, first_token: 720ms, between_tokens: 60ms, max_queue_wait: 2s}
default_rank: recording
serve_unlisted_organisations: no
claim_retention: 24h
)";

constexpr auto idRule = "1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or a digit";
constexpr auto microsecondRule = "a duration such as 90us, 720ms or 2s, in whole us up to 24h";
constexpr auto layerRule = "first-end with first below end, such as 0-8 for layers 0 to 7";
constexpr auto quoteRule = "quotes around the whole cell, inner ones doubled";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

/// A replacement in a valid file and the one error that it leads to.
struct Case {
    std::string from;
    std::string to;
    std::uint32_t line;
    std::uint32_t column;
    std::string read;
    std::string accepted;
};

void check(const std::vector<InputError>& errors, const Case& expected, const std::string& file, Reason reason)
{
    INFO("replacement: " << expected.to);
    for (const InputError& error : errors)
        UNSCOPED_INFO(describe(error));
    const InputError single { file, expected.line, expected.column, expected.read, expected.accepted, reason };
    CHECK(errors == std::vector<InputError> { single });
}

const std::vector<Case> inventoryCases {
    { inventory, "", 1, 1, "no header row",
        "a row that names the columns id, kind, data_centre, group, target, address, layers, accelerator, "
        "accelerators, "
        "link, max_concurrency, fencing, deduplicates, state" },
    { "link,", "lnk,", 1, 1, "a header without it", "a column named link" },
    { "fencing,", "fencing,Link,", 1, 103, "Link", "column link once" },
    { "r1,", ",", 2, 1, "", idRule },
    { "r1,", "-r1,", 2, 1, "-r1", idRule },
    { "r2,", "r1,", 3, 1, "r1", "an id of its own; line 2 has this one" },
    { "runner,", "engine,", 2, 4, "engine", "runner or endpoint" },
    { "dc,g", "d c,g", 2, 11, "d c", idRule },
    { "127.0.0.1:1", "localhost:1", 2, 18, "localhost:1", "IPv4:port or [IPv6]:port" },
    { "127.0.0.1:1", "127.0.0.1:65536", 2, 18, "127.0.0.1:65536", "IPv4:port or [IPv6]:port" },
    { "127.0.0.1:1", "127.0.0.1", 2, 18, "127.0.0.1", "IPv4:port or [IPv6]:port" },
    { "0-2", "2-2", 2, 30, "2-2", layerRule },
    { "0-2", "0..2", 2, 30, "0..2", layerRule },
    { "0-2", "0-99999999999", 2, 30, "0-99999999999", layerRule },
    { ",a,1,", ",a,0,", 2, 36, "0", "1 to 1024" },
    { ",l,4,", ",l,4.5,", 2, 40, "4.5", "1 to 1000000" },
    { ",yes,no,active", ",maybe,no,active", 2, 42, "maybe", "yes or no" },
    { ",no,active", ",n,active", 2, 46, "n", "yes or no" },
    { "no,active", "no,", 2, 49, "", "leaving or active" },
    { "127.0.0.1:3,,", "127.0.0.1:3,0-2,", 4, 32, "0-2", "an empty cell for kind endpoint" },
    { ",active\n", "\n", 2, 1, "13 cells", "14 cells" },
    { ",active\n", ",active,more\n", 2, 1, "15 cells", "14 cells" },
    { "r1,runner", "r1,run\"ner", 2, 7, "\"", quoteRule },
    { "r1,runner", "\"r1\"x,runner", 2, 5, "x", quoteRule },
    { ",leaving", ",\"leaving", 4, 45, "a quoted cell without an end", "a closing quote" },
    // The row before holds a line break in a quoted cell and a character of two bytes.
    { "r1,", "\"r\n\xc3\xa9 1\",", 2, 1, "r\n\xc3\xa9 1", idRule },
};

const std::vector<Case> rulesCases {
    { "targets:", "targets: [", 3, 3, "end of sequence flow not found", "YAML" },
    { rules, "", 1, 1, "no document", "one YAML document" },
    { "links:", "---\nlinks:", 6, 1, "a second document", "one YAML document" },
    { "links:", "}\nlinks:", 6, 1, "illegal flow end", "YAML" },
    // A comma outside of a list is never consumed: YAML::LoadAll returns documents without end for it.
    { rules, ", a", 1, 1, "a second document", "one YAML document" },
    { "{weight: 2}", "&a {weight: *a}", 9, 18, "an alias", "the value itself" },
    { "{weight: 2}", "[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]", 9, 20, "a deeper level", "at most 16 levels" },
    { "default_rank", "defualt_rank", 12, 1, "defualt_rank",
        "one of accelerators, claim_retention, default_rank, links, organisations, ranks, "
        "serve_unlisted_organisations, targets" },
    { "organisations:", "links:", 8, 1, "links", "a key once" },
    { "m: {kind", "m m: {kind", 2, 3, "m m", idRule },
    { "kind: model", "kind: modal", 2, 13, "modal", "model or service" },
    // yaml-cpp counts the bytes of a character.
    { "o: {weight: 2}", "\"\xc3\xa9\": 1", 9, 3, "\xc3\xa9", idRule },
    { "  o: {weight: 2}", "  \"o\": # \xc3\xa9\n   {weight: 2, x: 1}", 10, 16, "x", "one of weight" },
    { "layers: 4", "layers: 0", 2, 28, "0", "1 to 4096" },
    { "layers: 4", "layers: [4]", 2, 28, "a list", "1 to 4096" },
    { ", layers: 4", "", 2, 6, "a mapping without layers", "a key layers" },
    { "8KiB", "8XiB", 2, 51, "8XiB", "a size of at most 64MiB, such as 8192 or 8KiB" },
    { "idempotent: no, ", "", 3, 6, "a mapping without idempotent", "a key idempotent" },
    { "claim_shards: 8", "claim_shards: 1025", 3, 52, "1025", "1 to 1024" },
    { "claim_shards: 8", "layers: 8", 3, 38, "layers", "one of claim_shards, idempotent, kind" },
    { "90us", "90", 5, 19, "90", microsecondRule },
    { "90us", "90.5ns", 5, 19, "90.5ns", microsecondRule },
    { "700ns", "-700ns", 5, 74, "-700ns", "a duration such as 90us, 720ms or 2s, in whole ns up to 24h" },
    { "0.2ms", "25h", 7, 14, "25h", microsecondRule },
    { "1.5Gbit/s", "1.5Gb", 7, 32, "1.5Gb", "a rate from 1kB/s to 10000GB/s, such as 1.5Gbit/s" },
    { "{weight: 2}", "{weight: nan}", 9, 15, "nan", "a number from 0.001 to 1000000" },
    { "{weight: 2}", "2", 9, 6, "2", "a mapping" },
    { "share: 0.5", "share: 1.5", 11, 19, "1.5", "a number from 0 to 1" },
    { "urgent: {", "express: {", 11, 3, "express", "one of recording, summary, urgent" },
    { "default_rank: recording", "default_rank: fast", 12, 15, "fast", "urgent, recording or summary" },
    { "organisations: no", "organisations: maybe", 13, 31, "maybe", "yes or no" },
    { "24h", "90min", 14, 18, "90min", "whole hours from 1h to 744h" },
};

/// Replacements after which each file is valid by itself; `inRules` says where the replacement and the error are.
struct CrossCase {
    Case change;
    bool inRules = false;
};

const std::vector<CrossCase> crossCases {
    { { "m,127.0.0.1:1", "n,127.0.0.1:1", 2, 16, "n", "a model or a service that the rules list" } },
    { { "s,127.0.0.1:3", "m,127.0.0.1:3", 4, 18, "m", "a service, for kind endpoint" } },
    { { "dc,h,s", "dc,g,s", 4, 16, "g", "one target in a group; endpoint r1 has m" } },
    { { "0-2,a", "0-2,b", 2, 34, "b", "an accelerator that the rules list" } },
    { { "1,l,", "1,k,", 2, 38, "k", "a link that the rules list" } },
    { { "2-4", "2-5", 3, 30, "2-5", "a range within 0-4 of model m" } },
    { { "2-4", "3-4", 2, 30, "group g whose ranges join up from 0 to 2",
        "ranges that join up from 0 to 4 of model m" } },
    { { "127.0.0.1:2", "127.0.0.1:1", 3, 18, "127.0.0.1:1", "an address of its own; endpoint r1 has this one" } },
    { { "dc,g,m,127.0.0.1:2", "ec,g,m,127.0.0.1:2", 3, 14, "g", "one data centre in a group; endpoint r1 is in dc" } },
    { { "share: 0.5", "share: 0.51", 11, 3, "0.2 (the shares sum to 1.01)", "shares that sum to at most 1" }, true },
};

} // namespace

// Guards against a mistake that is accepted, or reported at the wrong place or without what would be accepted.
TEST_CASE("Every mistake in an inventory is reported where it is")
{
    REQUIRE(InventoryParser::parse(inventory, "i.csv").ok());
    for (const Case& expected : inventoryCases) {
        const Parsed<Inventory> parsed
            = InventoryParser::parse(replaced(inventory, expected.from, expected.to), "i.csv");
        CHECK_FALSE(parsed.ok());
        check(parsed.errors, expected, "i.csv", Reason::InvalidInventory);
    }
}

TEST_CASE("Every mistake in the rules is reported where it is")
{
    REQUIRE(RulesParser::parse(rules, "r.yaml").ok());
    for (const Case& expected : rulesCases) {
        const Parsed<Rules> parsed = RulesParser::parse(replaced(rules, expected.from, expected.to), "r.yaml");
        CHECK_FALSE(parsed.ok());
        check(parsed.errors, expected, "r.yaml", Reason::InvalidRules);
    }
}

TEST_CASE("Inventory and rules are checked against each other")
{
    for (const CrossCase& cross : crossCases) {
        const Case& change = cross.change;
        const auto entries
            = InventoryParser::parse(cross.inRules ? inventory : replaced(inventory, change.from, change.to), "i.csv");
        const auto values
            = RulesParser::parse(cross.inRules ? replaced(rules, change.from, change.to) : rules, "r.yaml");
        REQUIRE(entries.ok());
        REQUIRE(values.ok());
        const Parsed<Configuration> built = buildConfiguration(*entries.value, *values.value);
        CHECK_FALSE(built.ok());
        check(built.errors, change, cross.inRules ? "r.yaml" : "i.csv", Reason::InvalidConfiguration);
    }
}

TEST_CASE("Mistakes are reported all at once and in order")
{
    std::string text = replaced(inventory, "r1,runner", "r 1,engine");
    text = replaced(text, "leaving", "gone");
    const auto parsed = InventoryParser::parse(text, "i.csv");
    REQUIRE(parsed.errors.size() == 3);
    CHECK(describe(parsed.errors[0])
        == "i.csv:2:1: read 'r 1', accepted is 1 to 64 letters, digits, '.', '_' or '-', beginning with a "
           "letter or a digit [invalid-inventory]");
    CHECK(parsed.errors[2].line == 4);

    const std::string twoWide = "{weight: 2, \xc3\xa9\xc3\xa9: 1, weight: 3}";
    const auto columns = RulesParser::parse(replaced(rules, "{weight: 2}", twoWide), "r.yaml").errors;
    REQUIRE(columns.size() == 2);
    CHECK(columns[0].column == 18);
    CHECK(columns[1].column == 25);
}

// Guards against an input that exhausts the operator's machine.
TEST_CASE("Files and cells are bounded")
{
    const auto bounded = InventoryParser::parse(inventory, "i.csv", { inventory.size() - 1, 10 });
    REQUIRE(bounded.errors.size() == 1);
    CHECK(bounded.errors[0].reason == Reason::BodyTooLarge);

    const auto cell = InventoryParser::parse(inventory + "\"" + std::string(2000, 'x'), "i.csv", { 1 << 20, 1000 });
    REQUIRE(cell.errors.size() == 1);
    CHECK(cell.errors[0].reason == Reason::BodyTooLarge);
    CHECK(cell.errors[0].line == 5);

    CHECK(RulesParser::parse(rules, "r.yaml", { 10 }).errors.at(0).reason == Reason::BodyTooLarge);

    std::string many = header;
    for (int i = 0; i < 1500; ++i)
        many += "x\n";
    const auto listed = InventoryParser::parse(many, "i.csv").errors;
    REQUIRE(listed.size() == InputErrors::maxListed + 1);
    CHECK(listed.back().read == "500 more errors");
}
