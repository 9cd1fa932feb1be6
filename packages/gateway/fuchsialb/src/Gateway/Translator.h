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

/// \brief A decoded caller request.
struct CallerRequest {
    /// Chosen by the caller; unique for each attempt.
    std::string id;
    std::string method;
    std::string host;
    /// Path without the query; selects the route.
    std::string path;
    /// Path and query as sent.
    std::string target;
    /// Headers forwarded to the runner unchanged.
    HttpHeaders forwardedHeaders;
    std::string body;
    std::optional<std::string> apiKey;
    /// Remaining time that the caller waits; empty if the caller sent no deadline.
    std::optional<Duration> timeout;
    /// Last event that the caller has received; the stream resumes after it.
    std::optional<std::uint64_t> lastEventId;
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    /// The caller's estimate; correct at the median, but single values are often far off.
    std::optional<std::int64_t> expectedOutputTokens;
    /// Parts of the prompt that other requests may share, in their order; the request's own last part is left out.
    std::vector<PromptPartId> sharedParts;
};

/// \brief Destination and parameters of a request forwarded to a runner.
struct RunnerCall {
    EndpointId runner;
    std::string address;
    /// Time until the caller stops waiting for the response.
    Duration timeLeft { 0 };
    OrganisationId organisation;
    std::uint32_t urgency = 0;
    /// Pipeline stages of a layered model; empty when the runner serves the request alone.
    Path path;
    std::optional<std::uint64_t> lastEventId;
    /// Opens a new connection instead of reusing a pooled one.
    bool freshConnection = false;
};

/// \brief Metadata decoded from a runner's response headers.
struct RunnerResponse {
    std::string requestId;
    /// Signed by the runner. Runners sign every response except refusals.
    bool isSigned = false;
    /// The runner did not run the request and never will.
    bool notRun = false;
    /// An intermediary encoded the body, so that it differs from the runner's.
    bool encoded = false;
    /// "IP:port" of the runner on the path that caused the failure, if reported.
    std::string faultAddress;
    /// The runner shuts down.
    bool leaving = false;
    /// Time for which the runner, which has turned the request away, wants no requests of this host; 0 if it asks for
    /// none.
    Duration rest { 0 };
    /// The response names a time, but not a valid one.
    bool restUnreadable = false;
    /// Rate of requests that the runner takes from all hosts together, as long as its responses name one.
    std::optional<RequestsPerSecond> rateLimit {};
    /// The response names a rate, but not a valid one.
    bool rateLimitUnreadable = false;
};

/// \brief A request that is blocked at a runner, waiting for another runner on its path.
struct StalledRequest {
    std::string requestId;
    /// "IP:port" of the runner that the request waits for.
    std::string address;
};

/// \brief A runner's status report. Its data is a few hundred milliseconds old.
struct RunnerReport {
    LayerRange layers;
    /// Orders that the runner has begun to carry out since its start.
    std::uint64_t ordersBegun = 0;
    std::int64_t startedAt = 0;
    /// Time of its steps relative to the usual one; 1 is usual, larger is slower.
    double pace = 1;
    std::vector<StalledRequest> stalled;
};

/// \brief A runner's response to an order that moves a running request to another path.
struct PathChangeResult {
    OrderOutcome outcome = OrderOutcome::Unknown;
    /// "IP:port" of the runner on the new path that can't serve its stage, if reported.
    std::string faultAddress;
};

/// \brief Errors that the gateway itself reports to callers, with their HTTP status.
enum class GatewayError : unsigned char {
    /// 400
    Malformed,
    /// 401
    UnknownKey,
    /// 404
    NoRoute,
    /// 503: the request was not run and never will be.
    NotRun,
    /// 502: the request may have run.
    Failed,
    /// 504: the request may have run.
    TimedOut,
};

/// \brief Translates between a deployment's protocols and fuchsialb's types. Holds no state and makes no decisions.
class Translator {
public:
    virtual ~Translator() = default;

    virtual absl::StatusOr<CallerRequest> callerRequest(ServerRequest request) const = 0;
    virtual HttpRequest runnerRequest(const CallerRequest& request, const RunnerCall& call) const = 0;
    virtual RunnerResponse runnerResponse(const HttpResponse& response) const = 0;
    /// \return The response headers of a runner that are forwarded to the caller.
    virtual HttpHeaders callerHeaders(const HttpResponse& response) const = 0;
    /// \param retryAfter Delay before the caller should retry; only for `NotRun`.
    virtual HttpResponse errorResponse(GatewayError reason, std::optional<Duration> retryAfter) const = 0;
    virtual bool isReadinessProbe(const ServerRequest& request) const = 0;

    virtual HttpRequest reportRequest(const std::string& address) const = 0;
    virtual absl::StatusOr<RunnerReport> report(const HttpResponse& response) const = 0;
    virtual HttpRequest placeRequest(const PlacementOrder& order) const = 0;
    virtual OrderOutcome placeOutcome(const HttpResponse& response) const = 0;
    virtual HttpRequest pathChangeRequest(const std::string& requestId, const Path& path) const = 0;
    virtual PathChangeResult pathChangeResult(const HttpResponse& response) const = 0;

    /// \return The key that holds the configuration.
    virtual std::string configurationKey() const = 0;
    /// \return The prefix of the keys that hold the runners' registry entries.
    virtual std::string runnersPrefix() const = 0;
    virtual absl::StatusOr<RoutingTable> routingTable(std::string_view value) const = 0;
    /// \return `InvalidInput` if the entry doesn't describe a usable runner.
    virtual absl::StatusOr<RunnerEntry> runnerEntry(std::string_view key, std::string_view value) const = 0;
    /// Reduces a registry entry to what `runnerEntry` reads of it, if it is long; to nothing if it can't be read.
    virtual void reduceRunnerEntry(KeyItem& item) const = 0;
    /// \return The id of the runner that a registry key belongs to.
    virtual EndpointId runnerId(std::string_view key) const = 0;
};

} // namespace fuchsialb
