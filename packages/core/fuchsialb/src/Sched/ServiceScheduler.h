#pragma once

#include "SchedulerBase.h"

namespace fuchsialb::internal {

/// \brief Schedules calls of a plain service onto the least loaded endpoint.
class ServiceScheduler final : public SchedulerBase {
public:
    ServiceScheduler(
        GroupId group, const Target& target, const Configuration& configuration, const Clock& clock, Random& random);

    // Events of model runs don't concern a plain service.
    void onToken(RequestId, AttemptId, Epoch, std::uint32_t, std::string_view) override { }
    void onRunFinished(RequestId, AttemptId, Epoch, std::string_view) override { }
    void onRunFailed(RequestId, AttemptId, Epoch, std::uint32_t, FailureProof, Reason) override { }
    void onStateMoved(RequestId, AttemptId, Epoch, bool) override { }
    void onCacheEvent(const EndpointId&, std::uint64_t, bool) override { }

    void onServiceReply(RequestId request, AttemptId attempt, std::uint32_t httpStatus, std::string contentType,
        std::string body) override;
    void onServiceFailed(RequestId request, AttemptId attempt, FailureProof proof, Reason reason) override;

private:
    double estimate(const Request&) const override { return 1.0; }
    double outstanding(const ScheduledRequest& request) const override;
    double firstAnswerSeconds(const Request&) const override { return m_meanSeconds; }
    double modelledCapacity() const override;
    bool hasRoom() const override { return leastLoaded(false) != nullptr; }
    bool start(ScheduledRequest& request) override;
    void cancelRunning(ScheduledRequest&) override { }
    void tickRunning(ScheduledRequest& request) override;

    const RunnerModel* leastLoaded(bool deduplicatedOnly) const;
    void releaseEndpoint(const ScheduledRequest& request);
    void retryOrEnd(ScheduledRequest& request, FailureProof proof, Reason reason);

    /// Smoothed time of a call; also the unit of cost.
    double m_meanSeconds;
};

} // namespace fuchsialb::internal
