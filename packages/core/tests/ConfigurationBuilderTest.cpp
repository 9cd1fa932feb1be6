#include "fuchsialb/Base.h"
#include "fuchsialb/Config.h"

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <string>

using namespace fuchsialb;
using namespace std::chrono_literals;

namespace {

const std::string rules
    = "targets:\n  m: {kind: model, layers: 8, hidden_state_bytes: 8KiB}\n"
      "  s: {kind: service, idempotent: no}\n"
      "accelerators:\n  a: {layer_base: 90us, layer_per_sequence: 3us, layer_per_prompt_token: 700ns}\n"
      "links:\n  l: {delay: 0.2ms, bandwidth: 1.5Gbit/s}\norganisations:\n  o: {weight: 2}\n";

Configuration build(const std::string& inventory, const std::string& rulesText)
{
    const auto entries = InventoryParser::parse(inventory, "i.csv");
    const auto values = RulesParser::parse(rulesText, "r.yaml");
    for (const InputError& error : entries.errors)
        UNSCOPED_INFO(describe(error));
    REQUIRE(entries.ok());
    REQUIRE(values.ok());
    auto built = buildConfiguration(*entries.value, *values.value);
    for (const InputError& error : built.errors)
        UNSCOPED_INFO(describe(error));
    REQUIRE(built.ok());
    return *built.value;
}

/// Groups of four runners, each holding two of the eight layers.
std::string largeInventory(int runners)
{
    std::string text = "id,kind,data_centre,group,target,address,layers,accelerator,accelerators,link,max_concurrency,"
                       "fencing,deduplicates,state\n";
    for (int i = 0; i < runners; ++i)
        text += fmt::format("runner-{},runner,dc-{},group-{},m,127.0.{}.{}:80,{}-{},a,8,l,16,yes,no,active\n", i,
            i / 4 % 3, i / 4, i / 250, i % 250 + 1, i % 4 * 2, i % 4 * 2 + 2);
    return text;
}

} // namespace

// Guards against exports that a strict reader of CSV would refuse or misread.
TEST_CASE("An export of an asset register is read as it is")
{
    const std::string text
        = "\xef\xbb\xbf"
          "state,ID,owner,\"kind\",target, group ,data_centre,address,layers,accelerator,"
          "accelerators,link,max_concurrency,fencing,deduplicates,notes\r\n"
          "active,r1,\"Smith, J.\",Runner,m,g,dc,127.0.0.1:1, 0-8 ,a,8,l,16,YES,,\"moved \"\"again\"\"\r\n"
          "to row 4\"\r"
          "\n"
          "Leaving,e1,,endpoint,s,h,dc,[::1]:2,,,,,4,no,yes,\n"
          ",,,,,,,,,,,,,,,\r\n\r\n\n";
    const Configuration c = build(text, rules);
    REQUIRE(c.endpoints.size() == 2);
    const Endpoint& runner = c.endpoints.at(EndpointId("r1"));
    CHECK(runner.layers == LayerRange { 0, 8 });
    CHECK(runner.accelerators == 8);
    CHECK(runner.checksFencing);
    CHECK_FALSE(runner.deduplicates);
    const Endpoint& plain = c.endpoints.at(EndpointId("e1"));
    CHECK(plain.state == EndpointState::Leaving);
    CHECK(plain.address == "[::1]:2");
    CHECK(plain.deduplicates);
}

TEST_CASE("Rules are read in their units")
{
    const Configuration c = build(largeInventory(4),
        rules + "ranks:\n  summary: {share: 0.1, between_tokens: 1.5 s}\ndefault_rank: urgent\nclaim_retention: 48h\n");
    CHECK(c.targets.at(TargetId("m")).hiddenState == Bytes(8192));
    CHECK(c.acceleratorKinds.at(AcceleratorKindId("a")).layerPerPromptToken == 700ns);
    CHECK(c.linkClasses.at(LinkClassId("l")).delay == 200us);
    CHECK(c.linkClasses.at(LinkClassId("l")).bandwidth.value() == Approx(187.5e6));
    CHECK(c.organisations.at(OrganisationId("o")).weight == 2);
    CHECK(c.ranks[Rank::Summary].share == 0.1);
    CHECK(c.ranks[Rank::Summary].betweenTokensTarget == 1500ms);
    CHECK(c.ranks[Rank::Urgent] == RankRule { 0.5, 720ms, 60ms, 2s });
    CHECK(c.defaultRank == Rank::Urgent);
    CHECK(c.claimRetention == 48h);
}

// Guards against an inventory of the design's scale that does not fit the store's values or the codec.
TEST_CASE("Five thousand runners are read, encoded and split")
{
    Configuration c = build(largeInventory(5000), rules);
    CHECK(c.endpoints.size() == 5000);
    c.version = ConfigurationVersion(1);
    const std::string bytes = encodeConfiguration(c);
    CHECK(bytes.size() < 2'000'000);
    for (const std::string& chunk : splitChunks(bytes, 900'000))
        CHECK(chunk.size() <= 900'000);
    const auto decoded = decodeConfiguration(bytes);
    REQUIRE(decoded.ok());
    CHECK(*decoded == c);
}

// Guards against a group whose route planning takes too long.
TEST_CASE("A group has at most 16 runners")
{
    std::string text = largeInventory(20);
    for (std::size_t at = text.find(",group-"); at != std::string::npos; at = text.find(",group-", at + 1))
        text.replace(at, 8, ",group-0");
    for (std::size_t at = text.find(",dc-"); at != std::string::npos; at = text.find(",dc-", at + 1))
        text.replace(at, 5, ",dc-0");
    const auto entries = InventoryParser::parse(text, "i.csv");
    const auto values = RulesParser::parse(rules, "r.yaml");
    REQUIRE(entries.ok());
    const auto built = buildConfiguration(*entries.value, *values.value);
    REQUIRE(built.errors.size() == 1);
    CHECK(built.errors[0].read == "group-0 (20 runners)");
    CHECK(built.errors[0].accepted == "at most 16 runners in a group");
}

// Guards against an operator who is not shown a change, or is shown one that is none.
TEST_CASE("A diff lists what differs with old and new values")
{
    const Configuration before = build(largeInventory(8), rules);
    Configuration after = before;
    after.version = ConfigurationVersion(9);
    CHECK(ConfigurationDiff::create(before, after).empty());

    after.endpoints.at(EndpointId("runner-1")).state = EndpointState::Leaving;
    after.endpoints.erase(EndpointId("runner-7"));
    after.organisations[OrganisationId("p")] = { OrganisationId("p"), 0.5 };
    after.ranks[Rank::Urgent].share = 0.25;
    after.claimRetention = 12h;
    const ConfigurationDiff diff = ConfigurationDiff::create(before, after);
    REQUIRE(diff.changes().size() == 5);
    CHECK(diff.text()
        == "~ endpoint runner-1 state: active -> leaving\n"
           "- endpoint runner-7 accelerator=a accelerators=8 address=127.0.0.8:80 data_centre=dc-1 deduplicates=false "
           "end_layer=8 fencing=true first_layer=6 group=group-1 link=l max_concurrency=16 state=active target=m\n"
           "+ organisation p weight=0.5\n"
           "~ rank urgent share: 0.5 -> 0.25\n"
           "~ general claim_retention_hours: 24 -> 12\n");
    CHECK(diff.json().find(R"({"change":"changed","fields":{"state":{"new":"leaving","old":"active"}},)"
                           R"("id":"runner-1","kind":"endpoint"})")
        != std::string::npos);
}
