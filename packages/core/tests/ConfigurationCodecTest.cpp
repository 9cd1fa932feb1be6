#include "fuchsialb/Base.h"
#include "fuchsialb/Config.h"

#include <catch2/catch.hpp>

#include <string>

using namespace fuchsialb;

namespace {

Configuration sample()
{
    Configuration c;
    c.version = ConfigurationVersion(7);
    c.targets[TargetId("m")] = { TargetId("m"), TargetKind::Model, 4, true, Bytes(8192), 1 };
    c.targets[TargetId("s")] = { TargetId("s"), TargetKind::Service, 0, false, Bytes(0), 64 };
    c.acceleratorKinds[AcceleratorKindId("a")]
        = { AcceleratorKindId("a"), Duration(90), Duration(3), std::chrono::nanoseconds(700) };
    c.linkClasses[LinkClassId("l")] = { LinkClassId("l"), Duration(200), BytesPerSecond(1.5e9) };
    c.organisations[OrganisationId("o")] = { OrganisationId("o"), 0.1 };
    c.ranks[Rank::Urgent] = { 0.5, Duration(720'000), Duration(60'000), Duration(2'000'000) };
    for (int stage = 0; stage < 2; ++stage) {
        Endpoint e;
        e.id = EndpointId("r" + std::to_string(stage));
        e.dataCentre = DataCentreId("dc");
        e.group = GroupId("g");
        e.target = TargetId("m");
        e.address = "127.0.0.1:" + std::to_string(21001 + stage);
        e.layers = { stage * 2U, stage * 2U + 2 };
        e.acceleratorKind = AcceleratorKindId("a");
        e.link = LinkClassId("l");
        c.endpoints[e.id] = e;
    }
    return c;
}

std::string replaced(std::string text, std::string_view from, std::string_view to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("A configuration survives encoding")
{
    const Configuration configuration = sample();
    const std::string bytes = encodeConfiguration(configuration);

    // Guards against a field that is left out of the encoding, and against digests that differ between hosts.
    SECTION("decoding gives the same configuration and encoding it again the same bytes")
    {
        const auto decoded = decodeConfiguration(bytes);
        REQUIRE(decoded.ok());
        CHECK(*decoded == configuration);
        CHECK(encodeConfiguration(*decoded) == bytes);
    }

    // Guards against a daemon that installs a damaged or inconsistent configuration.
    SECTION("anything else is refused with a typed reason")
    {
        const std::string damaged[] = { "", "[]", "{}", bytes.substr(0, bytes.size() - 1), bytes + " ",
            replaced(bytes, "\"format\":1", "\"format\":2"), replaced(bytes, "\"version\":7", "\"version\":-7"),
            replaced(bytes, "\"version\":7", "\"version\":7,\"version\":7"),
            replaced(bytes, "\"version\":7", "\"version\":7,\"x\":1"),
            replaced(bytes, "\"version\":7", "\"version\":18446744073709551615"),
            replaced(bytes, "\"target\":\"m\"", "\"target\":\"n\""),
            replaced(bytes, "\"first_layer\":2", "\"first_layer\":3"),
            replaced(bytes, "127.0.0.1:21002", "127.0.0.1:21001"), replaced(bytes, "\"share\":0.5", "\"share\":1.5"),
            replaced(bytes, "\"weight\":0.1", "\"weight\":1e400"),
            replaced(bytes, "\"fencing\":false", "\"fencing\":0"),
            replaced(bytes, "\"state\":\"active\"", "\"state\":\"gone\"") };
        for (const std::string& text : damaged) {
            INFO(text);
            CHECK(reasonOf(decodeConfiguration(text).status()) == Reason::InvalidConfiguration);
        }
    }
}

TEST_CASE("The head names the chunks of an encoding")
{
    const std::string bytes = encodeConfiguration(sample());
    const std::vector<std::string> chunks = splitChunks(bytes, 100);
    ConfigurationHead head { ConfigurationVersion(7), hash128(bytes), {} };
    std::string joined;
    for (const std::string& chunk : chunks) {
        CHECK(chunk.size() <= 100);
        head.chunks.push_back(hash128(chunk));
        joined += chunk;
    }
    CHECK(joined == bytes);

    const auto decoded = decodeHead(encodeHead(head));
    REQUIRE(decoded.ok());
    CHECK(decoded->version == head.version);
    CHECK(decoded->digest == head.digest);
    CHECK(decoded->chunks == head.chunks);
    CHECK(chunkKey(Bits128 { 1, 2 }) == "config/chunk/00000000000000010000000000000002");

    // Guards against a head that a restored or damaged store returns.
    for (const std::string& text : { std::string("{}"), replaced(encodeHead(head), "\"version\":7", "\"version\":0"),
             replaced(encodeHead(head), "\"digest\":\"", "\"digest\":\"X"), std::string("\"\"") })
        CHECK(reasonOf(decodeHead(text).status()) == Reason::InvalidConfiguration);
}
