#pragma once

#include "../../Base/Clock.h"
#include "../../Base/Ids.h"
#include "../../Base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fuchsialb {

/// \brief A runner's last statement on the requests that it takes from all hosts together; bound to one start of its
/// process.
struct RequestRateLimit {
    EndpointId runner;
    /// As in `RunnerEntry`.
    std::int64_t startedAt = 0;
    /// None if the runner has stopped naming a limit.
    std::optional<RequestsPerSecond> rate;
    /// Time since a host got the statement.
    Duration age { 0 };

    bool operator==(const RequestRateLimit&) const = default;
};

/// \brief The limits on requests that runners have named, to this host or to another one.
///
/// A limit holds until a response to a request that was sent after the last one with the limit names none, until the
/// runner names another, or until it starts again. A runner that gets no requests can't end its limit.
class RequestRateLimits {
public:
    /// \brief Records what a response to a request of this host names.
    /// \param sentAt When the request was sent. A response changes only what the runner stated before that, since it
    /// may
    ///     have been overtaken by the responses that arrived afterwards.
    /// \return Whether the limit has changed.
    bool recordResponse(const EndpointId& runner, std::int64_t startedAt, std::optional<RequestsPerSecond> rate,
        TimePoint sentAt, TimePoint now);
    /// Records the statement that another host has passed on, if it is newer.
    /// \return Whether the limit has changed.
    bool recordRelayed(const RequestRateLimit& limit, TimePoint now);

    /// \param startedAt Start of the process that is asked for; a limit of an earlier one doesn't count.
    std::optional<RequestsPerSecond> find(const EndpointId& runner, std::int64_t startedAt) const;
    /// \return The statements to pass on to other hosts: those in force, and those that ended lately.
    std::vector<RequestRateLimit> statements(TimePoint now) const;

private:
    struct Statement {
        std::int64_t startedAt = 0;
        std::optional<RequestsPerSecond> rate;
        /// Arrival of the last response with this statement at any host.
        TimePoint heardAt {};
        /// When this host learnt of it.
        TimePoint since {};
    };

    void put(const EndpointId& runner, const Statement& statement);
    void removeOldest();

    std::map<EndpointId, Statement> m_statements;
};

} // namespace fuchsialb
