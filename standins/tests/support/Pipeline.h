#pragma once

#include "Http.h"
#include "fuchsialb/Standins.h"
#include "fuchsialb/src/Standins/EventStream.h"
#include "fuchsialb/src/Standins/LayerState.h"

#include <functional>
#include <vector>

namespace fuchsialb::standins::test {

/// \brief How a run on a pipeline went.
struct RunResult {
    std::vector<std::string> tokens;
    std::vector<std::size_t> positions;
    /// The event that ended it.
    Json end;
};

/// \brief Four engines of eight layers each, and spares.
class Pipeline {
public:
    static constexpr std::uint32_t stages = 4;
    static constexpr std::uint32_t layersPerStage = 8;
    static constexpr std::uint32_t layers = stages * layersPerStage;

    Pipeline()
        : client(*HttpClient::create({}))
    {
        for (std::uint32_t stage = 0; stage < stages; ++stage)
            engines.push_back(engine(stage));
    }

    std::unique_ptr<Engine> engine(std::uint32_t stage) const
    {
        Engine::Options options;
        options.id = "runner-" + std::to_string(stage);
        options.layers = { stage * layersPerStage, (stage + 1) * layersPerStage };
        options.stepBase = Duration(100);
        options.cacheEventLag = Duration(0);
        options.cacheEventGaps = 0;
        options.checksFencing = stage == 0;
        return *Engine::create(options, client);
    }

    std::uint16_t port(std::size_t stage) const { return engines[stage]->port(); }

    Json route() const
    {
        Json stagesJson = Json::array();
        for (std::uint32_t stage = 0; stage < stages; ++stage) {
            stagesJson.push_back({ { "endpoint", local(port(stage)) }, { "first_layer", stage * layersPerStage },
                { "end_layer", (stage + 1) * layersPerStage } });
        }
        return stagesJson;
    }

    /// \param onToken Called on the client's thread with the number of tokens so far.
    std::future<RunResult> start(const std::string& request, std::uint32_t epoch, const std::string& prompt,
        const std::vector<std::string>& generated, std::size_t maxTokens,
        std::function<void(std::size_t tokens)> onToken = {})
    {
        const Json body { { "request", request }, { "epoch", epoch }, { "priority", "urgent" }, { "model", "m" },
            { "route", route() }, { "prompt", prompt }, { "generated", generated }, { "resume_from", generated.size() },
            { "max_tokens", maxTokens } };
        auto result = std::make_shared<RunResult>();
        auto promise = std::make_shared<std::promise<RunResult>>();
        auto stream = std::make_shared<EventStream>([result, onToken](const Json& event) {
            if (!event.contains("token")) {
                result->end = event;
                return;
            }
            result->tokens.push_back(event["text"]);
            result->positions.push_back(event["position"]);
            if (onToken)
                onToken(result->tokens.size());
        });
        const auto end = [result, promise] { promise->set_value(*result); };
        HttpHandlers handlers { [stream](std::string_view piece) { stream->feed(piece); },
            [result, end](const HttpResponse& response) {
                if (response.status != 200)
                    result->end = parseObject(response.body);
                end();
            },
            [end](const HttpFailure&) { end(); } };
        REQUIRE(client->start(jsonPost(local(port(0)), "/v1/pipeline/run", body), std::move(handlers)).ok());
        return promise->get_future();
    }

    RunResult run(const std::string& request, std::uint32_t epoch, const std::string& prompt,
        const std::vector<std::string>& generated, std::size_t maxTokens)
    {
        return await(start(request, epoch, prompt, generated, maxTokens));
    }

    std::shared_ptr<HttpClient> client;
    std::vector<std::unique_ptr<Engine>> engines;
};

} // namespace fuchsialb::standins::test
