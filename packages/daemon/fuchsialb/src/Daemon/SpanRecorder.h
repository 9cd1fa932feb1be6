#pragma once

#include "TraceContext.h"
#include "fuchsialb/Net.h"
#include "fuchsialb/Router.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief Turns the core's events and actions into one span for each hop of a request.
///
/// Spans of sampled traces are logged when they end. Those of other traces are kept back until the request ends and are
/// logged only when it failed. Not thread-safe; used on the core thread.
class SpanRecorder {
public:
    using Now = std::function<std::int64_t()>;

    /// \param host Named in each span.
    SpanRecorder(Logger& logger, Now now, std::string host, Random& random);

    /// Opens the span of a hop under `parent` and returns its context for the next hop; an invalid parent opens
    /// nothing.
    std::string open(RequestId request, std::string_view name, std::uint64_t key, std::string_view parent);
    /// Ends a span; unknown ones are ignored.
    void close(RequestId request, std::string_view name, std::uint64_t key, std::string_view status);
    /// Ends all spans of a request and logs what was kept back when it failed.
    void finish(RequestId request, bool failed);

private:
    struct Span {
        TraceContext context;
        std::uint64_t parent = 0;
        std::int64_t started = 0;
    };

    struct Trace {
        std::map<std::pair<std::string, std::uint64_t>, Span> open;
        std::vector<LogLine> kept;
        bool sampled = false;
    };

    LogLine line(RequestId request, std::string_view name, const Span& span, std::string_view status) const;

    Logger& m_logger;
    Now m_now;
    std::string m_host;
    Random& m_random;
    std::map<RequestId, Trace> m_traces;
};

} // namespace fuchsialb
