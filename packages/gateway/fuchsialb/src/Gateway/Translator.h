#pragma once

#include "fuchsialb/Fleet.h"
#include "fuchsialb/Net.h"
#include "fuchsialb/Store.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb {

/// \brief A caller's request, decoded.
struct CallerRequest {
    /// Chosen by the caller, one for each attempt.
    std::string id;
    std::string method;
    std::string host;
    /// Without the query; selects the route.
    std::string path;
    /// Path and query as sent.
    std::string target;
    /// Headers that runners get unchanged.
    HttpHeaders passedOn;
    std::string body;
    std::optional<std::string> apiKey;
    /// How long the caller waits, from now on; none when it didn't say.
    std::optional<Duration> patience;
    /// The caller has the events up to this one.
    std::optional<std::uint64_t> lastEvent;
    std::int64_t promptTokens = 0;
    std::int64_t mostOutputTokens = 0;
    /// The caller's estimate; right at the median, often far off.
    std::optional<std::int64_t> likelyOutputTokens;
};

/// \brief Where and how a request is passed on.
struct RunnerCall {
    EndpointId runner;
    std::string address;
    /// Time after which nobody waits for the answer.
    Duration timeLeft { 0 };
    OrganisationId organisation;
    std::uint32_t urgency = 0;
    /// Stages of a layered model; empty when the runner serves alone.
    Path path;
    std::optional<std::uint64_t> lastEvent;
    /// Uses a connection that no earlier request has used.
    bool freshConnection = false;
};

/// \brief What a runner's answer says besides its body.
struct RunnerAnswer {
    std::string requestId;
    /// Signed by the runner; everything but refusals is.
    bool sealed = false;
    /// The runner did not run the request and never will.
    bool notRun = false;
    /// The body was encoded on the way and is not the runner's.
    bool encoded = false;
    /// "IP:port" of the runner on the path that is to blame, if named.
    std::string faultAt;
};

/// \brief A request that waits at a runner for another runner on its path.
struct StalledRequest {
    std::string requestId;
    /// "IP:port" of the runner that is waited for.
    std::string address;
};

/// \brief A runner's answer to a question about its state; some hundred milliseconds old.
struct RunnerReport {
    LayerRange layers;
    std::uint64_t ordersBegun = 0;
    std::int64_t startedAt = 0;
    std::vector<StalledRequest> stalled;
};

/// \brief How a runner answered the order to take a running request over another path.
struct PathChangeAnswer {
    OrderOutcome outcome = OrderOutcome::Unknown;
    /// "IP:port" of a runner on the new path that can't take its part, if named.
    std::string faultAt;
};

/// \brief Answers of the system's own.
enum class OwnAnswer : unsigned char {
    /// 400
    Malformed,
    /// 401
    UnknownKey,
    /// 404
    NoRoute,
    /// 503: not run and never will be.
    NotRun,
    /// 502: may have run.
    Failed,
    /// 504: may have run.
    TimedOut,
};

/// \brief Translates between a deployment's protocols and the types of the product. No decisions and no state.
class Translator {
public:
    virtual ~Translator() = default;

    virtual absl::StatusOr<CallerRequest> callerRequest(ServerRequest request) const = 0;
    virtual HttpRequest runnerRequest(const CallerRequest& request, const RunnerCall& call) const = 0;
    virtual RunnerAnswer runnerAnswer(const HttpResponse& response) const = 0;
    /// \return The headers of a runner's answer that concern the caller.
    virtual HttpHeaders callerHeaders(const HttpResponse& response) const = 0;
    /// \param retryAfter When the caller should come back; only for `NotRun`.
    virtual HttpResponse ownAnswer(OwnAnswer answer, std::optional<Duration> retryAfter) const = 0;
    virtual bool isReadinessProbe(const ServerRequest& request) const = 0;

    virtual HttpRequest reportRequest(const std::string& address) const = 0;
    virtual absl::StatusOr<RunnerReport> report(const HttpResponse& response) const = 0;
    virtual HttpRequest placeRequest(const PlacementOrder& order) const = 0;
    virtual OrderOutcome placeOutcome(const HttpResponse& response) const = 0;
    virtual HttpRequest pathChangeRequest(const std::string& requestId, const Path& path) const = 0;
    virtual PathChangeAnswer pathChangeAnswer(const HttpResponse& response) const = 0;

    /// Prefixes of the keys that hold the configuration and the runners.
    virtual std::string configurationKey() const = 0;
    virtual std::string runnersPrefix() const = 0;
    virtual absl::StatusOr<RoutingTable> routingTable(std::string_view value) const = 0;
    /// \return `InvalidInput` for an entry that names no runner to use.
    virtual absl::StatusOr<RunnerEntry> runnerEntry(std::string_view key, std::string_view value) const = 0;
    /// \return The runner that a key of the registry belongs to.
    virtual EndpointId runnerId(std::string_view key) const = 0;
};

} // namespace fuchsialb
