#pragma once

#include "Answers.h"
#include "Metrics.h"
#include "RequestReader.h"
#include "Settings.h"
#include "TraceContext.h"
#include "fuchsialb/Net.h"
#include "fuchsialb/Router.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace fuchsialb {

/// \brief Callers' side of a daemon: reads requests, hands them to the core and writes its answers.
///
/// `handle` runs on the HTTP server's thread, `deliver` and `finish` on the core thread.
class CallerFront {
public:
    /// \return False when the core's ring is full; the request is refused then.
    using Submit = std::function<bool(Event event)>;

    struct Options {
        double traceSample = 0;
        std::uint64_t seed = 0;
    };

    CallerFront(Options options, const Clock& clock, Metrics& metrics, Submit submit);

    void handle(const ServerRequest& request, const std::shared_ptr<HttpReply>& reply);
    void deliver(const DeliverToken& token);
    void finish(const Finish& finish);

    void setReady(bool ready) { m_ready = ready; }
    void setDefaultRank(Rank rank) { m_defaultRank = rank; }
    std::size_t callers() const;

private:
    struct Caller {
        std::shared_ptr<HttpReply> reply;
        Rank rank = Rank::Recording;
        TargetKind kind = TargetKind::Model;
        std::string target;
        bool stream = false;
        bool begun = false;
        std::string text;
        TimePoint arrived {};
        TimePoint lastToken {};
        std::uint32_t tokens = 0;
    };

    void health(const ServerRequest& request, HttpReply& reply) const;
    void refuse(HttpReply& reply, RequestId request, Rank rank, const absl::Status& status);
    void startTrace(const ServerRequest& from, Request& to);
    static void answer(const Caller& caller, RequestId request, const Result& result);

    Options m_options;
    const Clock& m_clock;
    Metrics& m_metrics;
    Submit m_submit;
    std::atomic<bool> m_ready { false };
    std::atomic<Rank> m_defaultRank { Rank::Recording };
    mutable std::mutex m_mutex;
    Random m_random;
    std::map<RequestId, Caller> m_callers;
};

} // namespace fuchsialb
