#include "fuchsialb/Json.h"

#include <catch2/catch.hpp>

#include <array>
#include <string>

using namespace fuchsialb;
using nlohmann::json;

namespace {

constexpr std::size_t longText = 4'000'000;

std::string nested(std::size_t depth, char open, char close)
{
    return std::string(depth, open) + std::string(depth, close);
}

} // namespace

// Guards against a short text of another party whose tree takes the memory of the machine.
TEST_CASE("A JSON text is read as long as its tree stays within the limits")
{
    SECTION("a sound text gives the same tree as without limits")
    {
        const std::string text = GENERATE(as<std::string>(), R"({"a":[1,-2,3.5,true,null,"x"],"b":{"c":{},"a":[]}})",
            R"([{"a":1},{"a":2}])", R"("text")", "17", R"({"a":1,"a":2})");
        CHECK(parseJson(text) == json::parse(text));
    }

    SECTION("a malformed one gives nothing")
    {
        const std::string text
            = GENERATE(as<std::string>(), "", "{", "[1,", R"({"a"})", "[1] 2", "\xff\xfe", R"(["\ud800"])");
        CHECK(parseJson(text).is_discarded());
    }

    SECTION("a deep one gives nothing")
    {
        CHECK(parseJson(std::string(longText, '[')).is_discarded());
        CHECK(parseJson(nested(longText / 2, '[', ']')).is_discarded());
        CHECK(parseJson(nested(65, '[', ']')).is_discarded());
        CHECK(parseJson(nested(64, '[', ']')).is_array());
    }

    SECTION("one of very many short values gives nothing")
    {
        std::string numbers = "[0";
        std::string members = R"({"a":0)";
        while (members.size() < longText) {
            numbers += ",0";
            members += ",\"" + std::to_string(members.size()) + "\":0";
        }
        CHECK(parseJson(numbers + "]").is_discarded());
        CHECK(parseJson(members + "}").is_discarded());
    }

    SECTION("a long string counts by its length")
    {
        const std::string text = '"' + std::string(longText, 'x') + '"';
        CHECK(parseJson(text).is_string());
        CHECK(parseJson(text, { Bytes(longText) }).is_discarded());
    }
}

// Guards against a sound text that is refused for what nobody reads of it.
TEST_CASE("Members that aren't read are passed over, whatever they hold")
{
    constexpr std::array<std::string_view, 2> members { "a", "b" };
    const JsonLimits limits { Bytes(1024), 4, members };
    const std::string unread = GENERATE(as<std::string>(), nested(200'000, '[', ']'), R"({"a":{"b":[1,{}]}})",
        '"' + std::string(longText, 'x') + '"', "17");

    SECTION("before, between and after those that are read")
    {
        const std::string text
            = R"({"x":)" + unread + R"(,"a":{"x":1},"y":)" + unread + R"(,"b":[2],"z":)" + unread + "}";
        CHECK(parseJson(text, limits) == json({ { "a", { { "x", 1 } } }, { "b", { 2 } } }));
    }

    SECTION("but they have to be well-formed")
    {
        CHECK(parseJson(R"({"a":1,"x":)" + unread + ",}", limits).is_discarded());
        CHECK(parseJson(R"({"a":1,"x":[}})", limits).is_discarded());
    }

    SECTION("and those that are read count")
    {
        CHECK(parseJson(R"({"a":[[[[]]]]})", limits).is_discarded());
        CHECK(parseJson(R"({"b":")" + std::string(2000, 'x') + "\"}", limits).is_discarded());
    }
}
