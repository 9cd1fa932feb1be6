#pragma once

#include "Call.h"
#include "EventSplitter.h"

#include <map>
#include <set>

namespace fuchsialb {

/// \brief A request answered by a stream of events, over the runners that hold the model's layers.
///
/// A stream that breaks off or stalls goes on at other runners after its last whole event, inside the same answer, when
/// its route allows that.
class StreamCall final : public Call {
public:
    using OnRunnerLost = std::function<void(const EndpointId& runner)>;

    StreamCall(GatewayContext& context, MatchedRequest matched, std::shared_ptr<HttpReply> reply,
        const Duration& meanDuration, OnRunnerLost onRunnerLost);

    void start() override;
    void tick(TimePoint now) override;
    bool admit() override;
    void waitedTooLong() override;
    void runnerLost(const EndpointId& runner) override;
    void runnerLeaving(const EndpointId& runner) override;

    /// \return How long the request kept its room, for requests that were served.
    std::optional<Duration> servedDuration() const { return m_servedDuration; }

private:
    void stopRunner() override;
    void describe(LogLine& line) const override;

    /// \return Whether runners hold all layers and are large enough, so that waiting can help.
    bool canBePlaced(TimePoint now) const;
    void wait(Duration patience);
    std::optional<Path> findPath(TimePoint now);
    PathRequest wanted(double cacheLimit) const;
    void run(Path path);
    HttpHandlers handlers();
    bool takeHead(const HttpResponse& head);
    void takePiece(std::string_view piece);
    void takeResponse(HttpResponse response);
    void takeFailure(const HttpFailure& failure);
    void takeRefusal(const RunnerResponse& answer);
    bool onPath(const EndpointId& runner) const;
    /// \return Whether a stage of the path is known to have left or died, which ends the answer at the first one.
    bool pathBroken(TimePoint now) const;
    /// \brief Has the running request take another path past a stage that leaves or died.
    ///
    /// The other stages keep its KV cache; only the new ones read its tokens again.
    /// \return Whether the order was given.
    bool moveAway(const EndpointId& runner, TimePoint now);
    void moved(const EndpointId& runner, const Path& before, const PathChangeResult& answer);
    void askForStall();
    void takeReport(const RunnerReport& report);
    /// Frees the room of the path and forgets the exchange.
    void leavePath();
    /// Goes on at other runners, or ends the request.
    void failOver(std::string_view cause, bool mayHaveRun);
    void giveUp(std::string_view cause);
    void blame(const EndpointId& runner, std::string_view cause, Duration suspension);
    /// Tells the other requests and hosts as well.
    void blameDead(const EndpointId& runner, std::string_view cause);
    void logBlame(const EndpointId& runner, std::string_view cause);
    void refuse(std::string_view cause);
    double expectedTokens() const;
    bool mayRunAgain() const;

    const Duration& m_meanDuration;
    OnRunnerLost m_onRunnerLost;
    Path m_path;
    std::optional<HttpExchangeId> m_exchange;
    /// Rises with each run, so that late callbacks of an earlier one are told apart.
    std::uint32_t m_runs = 0;
    bool m_mayHaveRun = false;
    bool m_begun = false;
    std::optional<std::uint64_t> m_lastEvent;
    EventSplitter m_splitter;
    std::optional<HttpResponse> m_head;
    std::set<EndpointId> m_avoided;
    /// First runners of the paths.
    RunHistory m_history;
    std::optional<StallDetector> m_stalls;
    /// Stages of the path that are leaving, and whether they are dead already.
    std::map<EndpointId, bool> m_leaving;
    /// An order to change the path is on its way.
    bool m_moving = false;
    TimePoint m_nextMove {};
    TimePoint m_startedAt {};
    bool m_waiting = false;
    std::optional<Duration> m_servedDuration;
};

} // namespace fuchsialb
