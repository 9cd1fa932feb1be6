#pragma once

#include "fuchsialb/Base.h"

#include <optional>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief W3C trace context: the trace that a request belongs to and the span that it came from.
struct TraceContext {
    Bits128 trace;
    std::uint64_t span = 0;
    bool sampled = false;

    /// \return None unless `text` is a valid traceparent of version 00.
    static std::optional<TraceContext> parse(std::string_view text);
    /// \return A new trace.
    static TraceContext root(Random& random, bool sampled);
    /// \return A new span of the same trace.
    TraceContext child(Random& random) const;
    std::string text() const;
};

} // namespace fuchsialb
