#pragma once

#include "Call.h"

#include <map>
#include <vector>

namespace fuchsialb {

/// \brief Moves the streams of this host off runners that have fallen silent, within the pause that callers accept.
///
/// `SilentStages` names the runners. Each is suspended for new requests, and after a moment asked for its state: one
/// that answers is used again at once; one that doesn't is marked dead for all hosts. An event through a suspected
/// runner refutes the suspicion, and the runner isn't suspected again for a time, since moving streams off a runner at
/// work makes others process their tokens again.
class SilenceWatch {
public:
    using OnRunnerLost = std::function<void(const EndpointId& runner)>;

    /// \param onRunnerLost Called for a runner that doesn't answer.
    SilenceWatch(GatewayContext& context, OnRunnerLost onRunnerLost);
    ~SilenceWatch() { *m_alive = false; }
    SilenceWatch(const SilenceWatch&) = delete;
    SilenceWatch& operator=(const SilenceWatch&) = delete;

    /// Called every few milliseconds.
    void check(const std::vector<std::shared_ptr<Call>>& calls, TimePoint now);

private:
    struct Suspicion {
        TimePoint since {};
        /// When the runner is asked for its state.
        TimePoint askAt {};
        bool isAsked = false;
        /// Start of its process.
        std::int64_t startedAt = 0;
    };

    void addSuspicions(const std::vector<StreamObservation>& streams, TimePoint now);
    /// Ends suspicions of runners through which events have passed since.
    void removeRefuted(const std::vector<StreamObservation>& streams, TimePoint now);
    /// Ends suspicions of runners that are gone, or that another finding has settled, and asks the others.
    void verify(TimePoint now);
    void ask(const EndpointId& runner);
    void refute(const EndpointId& runner, std::string_view evidence);
    void confirm(const EndpointId& runner);

    GatewayContext& m_context;
    OnRunnerLost m_onRunnerLost;
    TimePoint m_checkedAt {};
    std::map<EndpointId, Suspicion> m_suspicions;
    /// Until when runners whose suspicion was refuted aren't suspected again.
    std::map<EndpointId, TimePoint> m_trustedUntil;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fuchsialb
