#pragma once

#include "Policy.h"

namespace fuchsialb::bench {

/// \brief The project's `GroupScheduler`, with the engine fakes behind its effects.
class SchedulerPolicy final : public Policy {
public:
    static absl::StatusOr<std::unique_ptr<Policy>> create(PolicyContext context);

    void submit(const Request& request, std::size_t stream) override;
    void tick() override;
    void onToken(const EngineRun& run, std::uint32_t position) override;
    void onFinished(const EngineRun& run) override;
    void onFailed(const EngineRun& run, std::uint32_t stage, FailureProof proof, Reason reason) override;
    void onReport(const LoadReport& report) override;

private:
    explicit SchedulerPolicy(PolicyContext context)
        : m_context(std::move(context))
    {
    }

    void pump();
    void handle(const Effect& effect);
    void startRun(const StartRun& start);
    template <typename Move> void move(const Move& effect, const RouteStage& from, bool replay);

    PolicyContext m_context;
    std::unique_ptr<GroupScheduler> m_scheduler;
    std::map<RequestId, std::pair<std::size_t, std::uint32_t>> m_streamAndPrompt;
    bool m_pumping = false;
};

} // namespace fuchsialb::bench
