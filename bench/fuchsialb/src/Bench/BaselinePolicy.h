#pragma once

#include "Policy.h"

#include <deque>

namespace fuchsialb::bench {

enum class BaselineKind : unsigned char {
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    /// One queue in order of arrival in front of the group, dispatched to the runners with the fewest requests.
    Fifo,
};

/// \brief Common load balancing without ranks or organisations, for comparison.
///
/// Each picks one runner for each layer range. A caller without a first token gives up after the longest queue wait of
/// its rank. A failed run goes on elsewhere, at most twice, and the lost runner is left out for a second.
class BaselinePolicy final : public Policy {
public:
    BaselinePolicy(BaselineKind kind, PolicyContext context);

    void submit(const Request& request, std::size_t stream) override;
    void tick() override;
    void onToken(const EngineRun& run, std::uint32_t position) override;
    void onFinished(const EngineRun& run) override;
    void onFailed(const EngineRun& run, std::uint32_t stage, FailureProof proof, Reason reason) override;
    void onReport(const LoadReport&) override { }

private:
    struct Pending {
        EngineRun run;
        bool dispatched = false;
        bool answered = false;
        std::uint32_t retries = 0;
    };

    struct Range {
        std::vector<EndpointId> runners;
        std::size_t next = 0;
    };

    const EndpointId& pick(Range& range);
    bool hasRoom() const;
    void dispatch(Pending& pending);
    void dispatchQueued();
    void undispatch(Pending& pending);
    void end(RequestId request, Outcome outcome, Reason reason);

    BaselineKind m_kind;
    PolicyContext m_context;
    std::map<LayerRange, Range> m_ranges;
    std::map<EndpointId, std::uint32_t> m_outstanding;
    std::map<EndpointId, TimePoint> m_avoidedUntil;
    std::map<RequestId, Pending> m_pending;
    std::multimap<TimePoint, RequestId> m_patience;
    std::deque<RequestId> m_queue;
};

} // namespace fuchsialb::bench
