#pragma once

#include "Timeline.h"
#include "Workload.h"

#include "fuchsialb/Sched.h"

#include <set>
#include <string_view>

namespace fuchsialb::bench {

/// \brief A sequence as the engines run it.
struct EngineRun {
    RequestId request;
    AttemptId attempt;
    Epoch epoch;
    std::vector<EndpointId> route;
    std::uint32_t promptTokens = 0;
    std::uint32_t sharedPrefix = 0;
    /// Index of the stream, which names the shared prefix.
    std::size_t stream = 0;
    /// Position of the next token.
    std::uint32_t position = 0;
    std::uint32_t maxTokens = 0;
    /// Told apart from earlier runs of the same request.
    std::uint64_t serial = 0;
};

/// \brief What the engines report.
struct EngineHooks {
    std::function<void(const EngineRun&, std::uint32_t position)> onToken;
    std::function<void(const EngineRun&)> onFinished;
    std::function<void(const EngineRun&, std::uint32_t stage, FailureProof, Reason)> onFailed;
    std::function<void(const LoadReport&)> onReport;
};

/// \brief The runners of a group as a cost model on a timeline.
///
/// A token takes the step of each stage (layers x (base + per sequence x sequences held) / accelerators) plus the links
/// between them. The prompts of a runner are prefilled one after another and leave the steps of its other sequences as
/// they are. A run that finds a stage without a free slot waits, in order of arrival.
class EngineFakes {
public:
    EngineFakes(const Workload& workload, Timeline& timeline, EngineHooks hooks);

    void start(EngineRun run);
    /// Ends runs of `request` up to `epoch` and frees its state on the stages.
    void cancel(RequestId request, Epoch epoch, const std::vector<EndpointId>& stages);
    /// Brings the first `positions` of a request's state to `to`; `done` is told whether that worked.
    void moveState(RequestId request, const EndpointId& from, const EndpointId& to, std::uint32_t positions,
        bool replay, std::function<void(bool)> done);
    void apply(const Fault& fault);

private:
    struct Runner {
        const Endpoint* endpoint = nullptr;
        AcceleratorKind kind;
        bool dead = false;
        bool hung = false;
        double slowness = 1;
        std::uint32_t held = 0;
        TimePoint prefillEnds {};
        /// Streams whose shared prefix is cached.
        std::set<std::size_t> prefixes;
        /// Positions of each request whose state is held.
        std::map<RequestId, std::uint32_t> states;

        double layerFactor() const;
        double stepSeconds() const;
        double prefillSeconds(double positions) const;
    };
    enum class Phase : unsigned char {
        Waiting,
        Running,
    };
    struct Active {
        EngineRun run;
        Phase phase = Phase::Waiting;
    };

    Active* find(const EngineRun& run);
    bool fits(const EngineRun& run) const;
    bool stuck(const EngineRun& run) const;
    void admit(Active& active);
    bool hasRoom() const;
    void admitWaiting();
    Duration firstPass(const EngineRun& run);
    Duration pass(const EngineRun& run) const;
    void scheduleToken(const EngineRun& run, Duration delay);
    void token(const EngineRun& started);
    void remove(RequestId request);
    void fail(const EngineRun& run, std::uint32_t stage, FailureProof proof, Reason reason);
    void die(const EndpointId& id);
    void report();
    double hopSeconds(double bytes) const;

    const Workload& m_workload;
    Timeline& m_timeline;
    EngineHooks m_hooks;
    std::map<EndpointId, Runner> m_runners;
    std::map<LayerRange, std::vector<const Runner*>> m_ranges;
    std::map<RequestId, Active> m_runs;
    /// By serial, which is the order of arrival.
    std::map<std::uint64_t, RequestId> m_waiting;
    std::uint64_t m_serials = 0;
};

} // namespace fuchsialb::bench
