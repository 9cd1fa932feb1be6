#pragma once

#include "GatewayContext.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>

namespace fuchsialb {

/// \brief A request matched to its route, with what the decisions on it need.
struct MatchedRequest {
    CallerRequest request;
    std::shared_ptr<const RoutingTable> table;
    const Route* route = nullptr;
    const ServiceProfile* service = nullptr;
    OrganisationId organisation;
    std::uint32_t urgency = 0;
    TimePoint receivedAt {};
    /// The end of the time that the caller and the route give.
    TimePoint deadline {};
    /// The caller was refused before and has come back.
    bool returning = false;
};

/// \brief One request from its arrival to its one final answer.
///
/// Whatever happens, the caller gets exactly one of: a runner's whole answer, an answer of the system's own, or, once
/// the answer has begun, a connection that is cut. "Not run" is only said when no runner can have run the request.
class Call : public std::enable_shared_from_this<Call> {
public:
    /// Told once, when the request is over.
    using OnOver = std::function<void(Call&)>;

    Call(GatewayContext& context, MatchedRequest matched, std::shared_ptr<HttpReply> reply);
    virtual ~Call() = default;
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

    virtual void start() = 0;
    /// Called every few milliseconds while the request is open.
    virtual void tick(TimePoint now) = 0;
    /// Tries to start a request that waits for room.
    /// \return Whether it no longer waits.
    virtual bool admit() { return true; }
    /// The wait for room was too long.
    virtual void waitedTooLong() { }
    /// A runner was found to be dead or cut off.
    virtual void runnerLost(const EndpointId&) { }
    /// A runner has announced that it leaves, or is off the registry.
    virtual void runnerLeaving(const EndpointId&) { }

    void setOnOver(OnOver onOver) { m_onOver = std::move(onOver); }
    void setKey(AdmissionQueue::Key key) { m_key = key; }
    AdmissionQueue::Key key() const { return m_key; }
    const MatchedRequest& matched() const { return m_matched; }
    bool isOver() const { return m_isOver; }

protected:
    Duration timeLeft(TimePoint now) const { return std::max(Duration(0), m_matched.deadline - now); }
    /// Ends the request with an answer of the system's own.
    void answer(GatewayError answer, std::string_view cause, std::optional<Duration> retryAfter = std::nullopt);
    /// Passes a runner's whole answer on and ends the request.
    void passOn(HttpResponse response);
    /// Ends the request after the runner's answer was passed on.
    void completed(std::uint32_t status);
    /// \return Whether an answer is the runner's own to this request.
    bool isGenuine(const RunnerResponse& answer) const;
    /// Has `callerLeft` called when the caller closes the connection.
    void watchCaller();
    /// Ends the request by cutting the connection, since the answer has begun and can't be completed.
    void cut(std::string_view cause);
    /// The caller is gone.
    virtual void callerLeft();
    /// Stops the work at the runner.
    virtual void stopRunner() = 0;
    void over(std::string_view outcome, std::string_view cause);
    /// Adds to the line on the end of the request what this kind of request knows.
    virtual void describe(LogLine&) const { }
    LogLine logLine(std::string_view event) const;

    GatewayContext& m_context;
    MatchedRequest m_matched;
    std::shared_ptr<HttpReply> m_reply;

private:
    AdmissionQueue::Key m_key = 0;
    OnOver m_onOver;
    bool m_isOver = false;
};

} // namespace fuchsialb
