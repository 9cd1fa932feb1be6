#pragma once

#include "EventStreamReader.h"
#include "fuchsialb/Net.h"
#include "fuchsialb/Router.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string_view>

namespace fuchsialb::internal {

/// \brief One stream of tokens from a head runner; reports exactly one end.
class RunStream {
public:
    RunStream(StartRun action, TimePoint started, std::function<void(Event)> sink);

    const StartRun& action() const { return m_action; }
    void setExchange(HttpExchangeId exchange);
    std::optional<HttpExchangeId> exchange() const;

    void onPiece(std::string_view piece, TimePoint now);
    void onResponse(const HttpResponse& response);
    void onFailure(Reason reason, bool notSent);
    /// Reports nothing more; the core has cancelled the run.
    void silence();

    /// \return Whether the stream has been silent for `limit` and no probe is under way.
    bool startProbe(TimePoint now, Duration limit);
    /// \return Whether the stream stayed silent since the probe was sent; its end has been reported then.
    bool probeAnswered(TimePoint asked);
    /// \return Whether the runner is taken for dead; the end of the stream has been reported then.
    bool probeFailed();
    void probeSkipped();

private:
    void onData(std::string_view data);
    void report(Event event);
    void fail(std::uint32_t stage, FailureProof proof, Reason reason);

    StartRun m_action;
    std::function<void(Event)> m_sink;
    mutable std::mutex m_mutex;
    EventStreamReader m_reader;
    std::optional<HttpExchangeId> m_exchange;
    TimePoint m_lastPiece;
    bool m_ended = false;
    bool m_probing = false;
    int m_failedProbes = 0;
};

} // namespace fuchsialb::internal
