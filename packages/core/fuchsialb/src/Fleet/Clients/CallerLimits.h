#pragma once

#include "../../Base/Units.h"

#include <optional>

namespace fuchsialb {

/// \brief What the operator lets a caller send, and how long a caller may take; empty where the operator names nothing.
struct CallerLimits {
    std::optional<Bytes> maxHead;
    std::optional<Bytes> maxBody;
    /// For the head of a request.
    std::optional<Duration> headTimeout;
    /// Between two requests of a connection.
    std::optional<Duration> idleTimeout;

    bool operator==(const CallerLimits&) const = default;
};

} // namespace fuchsialb
