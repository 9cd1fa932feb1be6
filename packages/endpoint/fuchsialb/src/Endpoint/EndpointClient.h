#pragma once

#include "fuchsialb/Net.h"
#include "fuchsialb/Router.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace fuchsialb {

/// \brief Carries out the core's actions towards endpoints and reports what happened as events.
///
/// A stream that has gone silent is probed over a new connection; it is given up only when the new connection answers
/// and the old one stays silent, so a merely slow one is not cut off.
class EndpointClient {
public:
    struct Options {
        /// A stream is probed after this silence; engines send a comment every 500 ms.
        Duration silence { std::chrono::milliseconds(1200) };
        Duration probeTimeout { std::chrono::milliseconds(700) };
        Duration loadPeriod { std::chrono::milliseconds(500) };
        Duration orderTimeout { std::chrono::seconds(10) };
    };

    using Sink = std::function<void(Event event)>;

    /// \param http, clock Must outlive the client.
    /// \param sink Called on the HTTP client's thread or on the caller's.
    static absl::StatusOr<std::unique_ptr<EndpointClient>> create(
        HttpClient& http, const Clock& clock, Options options, Sink sink);

    virtual ~EndpointClient() = default;

    virtual void run(const StartRun& action) = 0;
    virtual void cancel(const CancelRun& action) = 0;
    virtual void importState(const ImportState& action) = 0;
    virtual void replayState(const ReplayState& action) = 0;
    virtual void call(const ServiceCall& action) = 0;
    virtual void poll(const PollEndpoints& action) = 0;
    /// Drives polling and probes; called about every 50 ms.
    virtual void tick() = 0;
};

} // namespace fuchsialb
