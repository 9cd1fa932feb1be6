#include "support/Pipeline.h"

using namespace fuchsialb;
using namespace fuchsialb::standins;
using namespace fuchsialb::standins::test;

namespace {

const std::string prompt = "the quick brown fox jumps over the lazy dog";

std::vector<std::string> joined(std::vector<std::string> first, const std::vector<std::string>& rest)
{
    first.insert(first.end(), rest.begin(), rest.end());
    return first;
}

/// Posts without waiting, for the client's thread, where Catch's macros must not be used. A post that is not sent
/// leaves the run going, and the wait for its end fails.
void postLater(HttpClient& client, std::uint16_t port, const std::string& path, const Json& body)
{
    static_cast<void>(client.start(jsonPost(local(port), path, body), {}));
}

/// Starts a run and stops it with `fault` at the stage when three tokens are there.
RunResult interrupted(Pipeline& pipeline, std::size_t stage, const Json& fault)
{
    const std::uint16_t port = pipeline.port(stage);
    return await(pipeline.start("r1", 1, prompt, {}, 100'000, [&pipeline, port, fault](std::size_t tokens) {
        if (tokens == 3)
            postLater(*pipeline.client, port, "/v1/faults", fault);
    }));
}

} // namespace

// Guards against a check of P1 that a wrong pipeline would pass.
TEST_CASE("Tokens depend on every layer, its order and its cache")
{
    const auto expected = expectedTokens(prompt, 4, 3);
    CHECK(expectedTokens(prompt, 4, 2) == std::vector(expected.begin(), expected.begin() + 2));
    CHECK(expectedTokens(prompt, 3, 3) != expected);
    CHECK(expectedTokens(prompt + " x", 4, 3) != expected);
    const auto throughRanges = [](const std::vector<LayerRange>& ranges, std::size_t skippedPosition) {
        std::vector<LayerState> states(ranges.begin(), ranges.end());
        std::uint64_t hidden = 0;
        for (std::size_t position = 0; position < 3; ++position) {
            hidden = embedded("a", position);
            for (LayerState& state : states)
                hidden = position == skippedPosition && &state == &states[0] ? hidden : state.append(hidden);
        }
        return tokenOf(hidden).text;
    };
    const std::string right = throughRanges({ { 0, 4 } }, 9);
    CHECK(throughRanges({ { 0, 2 }, { 2, 4 } }, 9) == right);
    CHECK(throughRanges({ { 0, 2 }, { 3, 4 } }, 9) != right);
    CHECK(throughRanges({ { 2, 4 }, { 0, 2 } }, 9) != right);
    CHECK(throughRanges({ { 0, 2 }, { 0, 2 }, { 2, 4 } }, 9) != right);
    CHECK(throughRanges({ { 0, 2 }, { 2, 4 } }, 1) != right);
}

TEST_CASE("A pipeline of four engines generates the expected tokens")
{
    Pipeline pipeline;

    SECTION("each layer range runs once for each token")
    {
        const RunResult result = pipeline.run("r1", 1, prompt, {}, 5);
        CHECK(result.tokens == expectedTokens(prompt, Pipeline::layers, 5));
        CHECK(result.positions == std::vector<std::size_t> { 0, 1, 2, 3, 4 });
        CHECK(result.end["finish_reason"] == "length");
        for (std::size_t stage = 0; stage < Pipeline::stages; ++stage) {
            const Json steps = read(*pipeline.client, pipeline.port(stage), "/v1/record")["steps"];
            REQUIRE(steps.size() == 5);
            CHECK(steps[0]["kind"] == "prefill");
            CHECK(steps[0]["count"] == 9);
            CHECK(steps[4]["kind"] == "decode");
            CHECK(steps[4]["position"] == 12);
        }
    }

    // Guards against state that leaks from one request into another of the same batch or prefix.
    SECTION("concurrent requests and shared prefixes do not disturb each other")
    {
        std::vector<std::future<RunResult>> runs;
        for (int i = 0; i < 20; ++i)
            runs.push_back(pipeline.start("r" + std::to_string(i), 1, prompt + " " + std::to_string(i % 7), {}, 10));
        for (int i = 0; i < 20; ++i) {
            const std::string own = prompt + " " + std::to_string(i % 7);
            CHECK(await(std::move(runs[static_cast<std::size_t>(i)])).tokens
                == expectedTokens(own, Pipeline::layers, 10));
        }
        const Json events = read(*pipeline.client, pipeline.port(2), "/v1/cache-events?after=0")["events"];
        REQUIRE_FALSE(events.empty());
        CHECK(events[0]["held"] == true);
    }
}

// Guards P1 and P2 through a recovery: tokens after it must be those of an undisturbed run.
TEST_CASE("A run is resumed with the same tokens after a stage was replaced")
{
    Pipeline pipeline;
    const auto expected = expectedTokens(prompt, Pipeline::layers, 2000);
    const auto resume = [&](const RunResult& before) {
        const std::size_t count = before.tokens.size();
        REQUIRE(count + 5 < expected.size());
        CHECK(before.tokens == std::vector(expected.begin(), expected.begin() + static_cast<std::ptrdiff_t>(count)));
        const RunResult after = pipeline.run("r1", 2, prompt, before.tokens, count + 5);
        CHECK(joined(before.tokens, after.tokens)
            == std::vector(expected.begin(), expected.begin() + static_cast<std::ptrdiff_t>(count + 5)));
        CHECK(after.positions[0] == count);
    };
    const auto recordedKinds = [&](std::size_t stage) {
        std::set<std::string> kinds;
        const Json record = read(*pipeline.client, pipeline.port(stage), "/v1/record");
        for (const Json& step : record["steps"]) {
            if (step["epoch"] == 2)
                kinds.insert(step["kind"]);
        }
        return kinds;
    };
    using Kinds = std::set<std::string>;

    SECTION("a killed stage is rebuilt by replay from its upstream")
    {
        const RunResult before = interrupted(pipeline, 2, { { "crash", true } });
        CHECK(before.end["error"] == "stage-failed");
        CHECK(before.end["stage"] == 2);
        pipeline.engines[2] = pipeline.engine(2);
        const Json moved = post(*pipeline.client, pipeline.port(1), "/v1/pipeline/replay",
            { { "request", "r1" }, { "epoch", 2 }, { "to", local(pipeline.port(2)) },
                { "positions", 9 + before.tokens.size() } });
        CHECK(moved["status"] == 200);
        resume(before);
        CHECK(recordedKinds(2) == Kinds { "decode", "replay" });
        CHECK(recordedKinds(3) == Kinds { "decode" });
    }

    SECTION("a killed stage without rebuilt state makes all stages compute again")
    {
        const RunResult before = interrupted(pipeline, 2, { { "crash", true } });
        pipeline.engines[2] = pipeline.engine(2);
        resume(before);
        CHECK(recordedKinds(1).contains("prefill"));
    }

    SECTION("a killed head is rebuilt from the run request")
    {
        const RunResult before = interrupted(pipeline, 0, { { "crash", true } });
        pipeline.engines[0] = pipeline.engine(0);
        resume(before);
        CHECK(recordedKinds(0) == Kinds { "decode", "replay" });
        CHECK(recordedKinds(1) == Kinds { "decode" });
    }

    SECTION("the state of a stage is imported from a runner that holds it")
    {
        std::future<RunResult> running = pipeline.start("r1", 1, prompt, {}, 100'000, [&](std::size_t tokens) {
            if (tokens == 3)
                postLater(
                    *pipeline.client, pipeline.port(0), "/v1/pipeline/cancel", { { "request", "r1" }, { "epoch", 1 } });
        });
        const RunResult before = await(std::move(running));
        CHECK(before.end["error"] == "cancelled");
        auto spare = pipeline.engine(2);
        const Json moved = post(*pipeline.client, spare->port(), "/v1/kv/import",
            { { "request", "r1" }, { "epoch", 2 }, { "from", local(pipeline.port(2)) },
                { "positions", 9 + before.tokens.size() } });
        CHECK(moved["status"] == 200);
        std::swap(pipeline.engines[2], spare);
        resume(before);
        CHECK(recordedKinds(2) == Kinds { "decode" });
    }
}

TEST_CASE("An engine refuses what is out of date")
{
    Pipeline pipeline;
    HttpClient& client = *pipeline.client;

    // Guards P1: two schedulers must not both drive a request.
    SECTION("an older epoch")
    {
        CHECK(pipeline.run("r1", 5, prompt, {}, 2).tokens.size() == 2);
        CHECK(pipeline.run("r1", 4, prompt, {}, 2).end["error"] == "old-epoch");
        const Json step { { "request", "r1" }, { "epoch", 4 }, { "position", 0 }, { "truncate", true },
            { "hidden", { 1 } } };
        const Json refused = post(client, pipeline.port(1), "/v1/pipeline/step", step);
        CHECK(refused["status"] == 409);
        CHECK(refused["error"] == "old-epoch");
    }

    SECTION("a position that is not the next one")
    {
        CHECK(pipeline.run("r1", 1, prompt, {}, 2).tokens.size() == 2);
        Json step { { "request", "r1" }, { "epoch", 1 }, { "position", 3 }, { "hidden", { 1 } } };
        CHECK(post(client, pipeline.port(3), "/v1/pipeline/step", step)["error"] == "not-next-position");
        step["position"] = 50;
        CHECK(post(client, pipeline.port(3), "/v1/pipeline/step", step)["error"] == "missing-positions");
    }

    SECTION("an order with an older fence, when the engine checks fences")
    {
        const auto order = [&](std::size_t stage, int fence) {
            return post(client, pipeline.port(stage), "/v1/orders", { { "order", "o" }, { "fence", fence } })["status"];
        };
        CHECK(order(0, 2) == 200);
        CHECK(order(0, 1) == 409);
        CHECK(order(1, 2) == 200);
        CHECK(order(1, 1) == 200);
        CHECK(read(client, pipeline.port(0), "/v1/orders")["orders"].size() == 1);
    }

    // Guards against a router that can't tell a hung stage from the ones in front of it.
    SECTION("a hung stage is the one that is reported")
    {
        post(client, pipeline.port(2), "/v1/faults", { { "hang", true } });
        const RunResult result = pipeline.run("r1", 1, prompt, {}, 2);
        CHECK(result.end["error"] == "stage-failed");
        CHECK(result.end["stage"] == 2);
    }
}

// Guards against engines that work on for a caller that has left.
TEST_CASE("An engine stops a run whose stream was closed")
{
    Pipeline pipeline;
    HttpClient& client = *pipeline.client;
    std::promise<void> third;
    std::size_t pieces = 0;
    const Json body { { "request", "r1" }, { "epoch", 1 }, { "route", pipeline.route() }, { "prompt", prompt },
        { "max_tokens", 100'000 } };
    const auto stream = client.start(jsonPost(local(pipeline.port(0)), "/v1/pipeline/run", body),
        { [&](std::string_view) {
             if (++pieces == 3)
                 third.set_value();
         },
            {}, {} });
    REQUIRE(stream.ok());
    await(third.get_future());
    const auto load = [&](std::size_t stage) { return read(client, pipeline.port(stage), "/v1/load"); };
    for (std::size_t stage = 0; stage < Pipeline::stages; ++stage)
        REQUIRE(eventually([&] { return load(stage)["kv_tokens_used"] > 0; }));
    client.cancel(*stream);
    for (std::size_t stage = 0; stage < Pipeline::stages; ++stage) {
        CHECK(eventually([&] { return load(stage)["kv_tokens_used"] == 0; }));
    }
    CHECK(load(0)["running"] == 0);
}
