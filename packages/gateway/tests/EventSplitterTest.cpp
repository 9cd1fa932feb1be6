#include "fuchsialb/src/Gateway/EventSplitter.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <fmt/format.h>

#include <chrono>

using namespace fuchsialb;

// Guards against incomplete events being forwarded to a caller when the stream is split at arbitrary positions.
TEST_CASE("A stream is passed on in whole events")
{
    rc::check("events come out unchanged and in order", [] {
        std::string stream;
        std::vector<std::string> events;
        const int count = *rc::gen::inRange(0, 6);
        for (int i = 1; i <= count; ++i) {
            const std::string end = *rc::gen::element<std::string>("\n", "\r\n");
            events.push_back(fmt::format("id: {}{}data: {}{}{}", i, end, i * 7, end, end));
            stream += events.back();
        }
        const std::string rest = *rc::gen::element<std::string>("", "id: 9\nda");
        stream += rest;
        EventSplitter splitter;
        std::vector<std::string> read;
        std::uint64_t lastId = 0;
        while (!stream.empty()) {
            const auto size = static_cast<std::size_t>(*rc::gen::inRange(1, 9));
            splitter.add(stream.substr(0, size));
            stream.erase(0, size);
            while (auto event = splitter.next()) {
                read.push_back(event->text);
                RC_ASSERT(event->id.value() == ++lastId);
            }
        }
        RC_ASSERT(read == events);
        RC_ASSERT(splitter.hasPartialEvent() == !rest.empty());
    });

    // Guards against comments that pass for the progress of a stream, or for an event that was cut.
    SECTION("comments are no events, and go with the event that follows")
    {
        EventSplitter splitter;
        splitter.add(": ping\n\n:\n\n\nid: 1\ndata: x\n\n");
        const auto event = splitter.next();
        REQUIRE(event);
        CHECK(event->text == ": ping\n\n:\n\n\nid: 1\ndata: x\n\n");
        CHECK_FALSE(splitter.next());
        splitter.add(": bye\n\n");
        CHECK_FALSE(splitter.next());
        CHECK_FALSE(splitter.hasPartialEvent());
        CHECK(splitter.takeComments() == ": bye\n\n");
        splitter.add(": cut");
        CHECK_FALSE(splitter.next());
        CHECK(splitter.hasPartialEvent());
    }

    // Guards against a process that is busy for seconds with a stream that comes in small pieces.
    SECTION("the time to split a stream grows with its size, not with its square")
    {
        EventSplitter splitter;
        constexpr int pieces = 400'000;
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < pieces; ++i) {
            splitter.add(":\n\n");
            if (splitter.next())
                FAIL("a comment was taken for an event");
        }
        CHECK(splitter.bufferedSize() == std::size_t { 3 } * pieces);
        CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(20));
    }

    SECTION("an event without an id is returned")
    {
        EventSplitter splitter;
        splitter.add("data: x\n\n");
        const auto event = splitter.next();
        REQUIRE(event);
        CHECK_FALSE(event->id);
    }
}
