#pragma once

#include "Json.h"
#include "Loop.h"
#include "StageStates.h"
#include "StepQueue.h"

#include <deque>
#include <map>
#include <memory>

namespace fuchsialb::standins {

/// \brief Stand-in of a model engine that holds a range of layers.
///
/// HTTP requests, timers and answers of other stages are posted to one loop, which alone touches the state.
class Engine {
public:
    struct Options {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0;
        std::string id = "runner-1";
        LayerRange layers { 0, 8 };
        /// Most sequences in one step.
        std::size_t batch = 16;
        /// A step takes the base, plus a part for each sequence, plus a part for each position of a prefill.
        Duration stepBase { 500 };
        Duration stepPerSequence { 20 };
        Duration prefillPerToken { 10 };
        /// Runs wait at the head while their positions would exceed this.
        std::size_t kvTokens = 200'000;
        std::size_t cacheTokens = 50'000;
        Duration reportLag { std::chrono::milliseconds(100) };
        Duration cacheEventLag { std::chrono::milliseconds(200) };
        /// Share of cache events that are never published.
        double cacheEventGaps = 0.05;
        bool checksFencing = false;
        /// Longest wait for one later stage; a stage waits this long for each stage behind it.
        Duration stageTimeout { std::chrono::seconds(2) };
        /// Called by the fault "crash" after the state and the connections are gone.
        std::function<void()> onCrash;
    };

    static absl::StatusOr<std::unique_ptr<Engine>> create(Options options, std::shared_ptr<HttpClient> client);
    ~Engine();

    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    std::uint16_t port() const { return m_port; }

private:
    using Reply = std::shared_ptr<HttpReply>;
    using Done = std::function<void(const Json& result)>;

    /// \brief A run that this engine heads.
    struct Run {
        std::string request;
        std::uint32_t epoch = 0;
        std::uint32_t priority = 0;
        Json route;
        std::vector<std::string> tokens;
        std::size_t promptTokens = 0;
        std::size_t generated = 0;
        std::size_t maxTokens = 0;
        std::vector<std::uint64_t> prefixes;
        Reply reply;
        std::size_t recomputations = 0;
        bool started = false;
    };

    /// \brief A step that has run.
    struct Recorded {
        std::string request;
        std::uint32_t epoch = 0;
        std::string kind;
        std::size_t position = 0;
        std::size_t count = 0;
    };

    using RunHandle = std::shared_ptr<Run>;

    Engine(Options options, std::shared_ptr<HttpClient> client);
    absl::Status start();
    void guard(std::function<void()> task);
    std::function<void(std::function<void()>)> poster();

    // EngineHttp.cpp
    void handle(const ServerRequest& request, const Reply& reply);
    void onStep(const Json& body, const Reply& reply);
    void onCancel(const Json& body, const Reply& reply);
    void onExport(const ServerRequest& request, const Reply& reply);
    void onImport(const Json& body, const Reply& reply);
    void onReplay(const Json& body, const Reply& reply);
    void onOrders(const ServerRequest& request, const Reply& reply);
    void onCacheEvents(const ServerRequest& request, const Reply& reply);
    void onFaults(const Json& faults, const Reply& reply);
    Json load() const;
    void reportLoad();
    void crash();

    // EngineSteps.cpp
    void enqueue(StageStep step, Done done);
    void stepNext();
    void finishStep(const std::vector<StepQueue::Item>& items);
    void record(const StageStep& step);
    Json recorded() const;
    void forward(const StageStep& step, std::vector<std::uint64_t> outputs, const Done& done);
    void call(HttpRequest request, const Json& failure, const Done& done);

    // EngineRuns.cpp
    void onRun(const Json& body, const Reply& reply);
    void startWaiting();
    void resume(const RunHandle& run);
    void advance(const RunHandle& run, std::size_t from, bool truncate);
    void onResult(const RunHandle& run, const Json& result);
    void emitToken(const RunHandle& run, const Json& result);
    void endRun(const RunHandle& run, const Json& event);
    void callerLeft(const RunHandle& run);
    bool isCurrent(const RunHandle& run) const;
    void keepAlive();

    Options m_options;
    std::shared_ptr<HttpClient> m_client;
    std::shared_ptr<Loop> m_loop;
    StageStates m_states;
    StepQueue m_queue;
    bool m_stepping = false;
    Duration m_lastStep { 0 };
    std::map<std::string, RunHandle> m_runs;
    std::deque<RunHandle> m_waiting;
    std::vector<Recorded> m_record;
    std::uint64_t m_recordsDropped = 0;
    Json m_reportedLoad = Json::object();
    std::deque<StageStates::CacheEvent> m_cacheEvents;
    Random m_random { 1 };
    Json m_orders = Json::array();
    std::uint64_t m_fence = 0;
    double m_slow = 1;
    bool m_hung = false;
    bool m_crashed = false;
    std::vector<std::function<void()>> m_held;
    std::uint16_t m_port = 0;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace fuchsialb::standins
