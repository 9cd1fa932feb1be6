#pragma once

#include "ClusterRecord.h"
#include "fuchsialb/Base.h"
#include "fuchsialb/Config.h"
#include "fuchsialb/Router.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief Probabilities and delays of the simulated surroundings.
struct ClusterFaults {
    double messageLoss = 0;
    double messageRepeat = 0;
    Duration maxDelay { std::chrono::milliseconds(5) };
    /// The store's answer is lost after the write took effect.
    double storeAnswerLost = 0;
    /// The store refuses an operation without executing it.
    double storeRefused = 0;
    /// A service refuses a call before running it.
    double callRefused = 0;
    /// A service runs a call and its answer is lost.
    double callAnswerLost = 0;
    /// An engine's stage fails at a token.
    double stageFails = 0;
    /// A token or the end of a run arrives twice.
    double tokenRepeat = 0;
};

struct ClusterOptions {
    std::uint64_t seed = 1;
    int dataCentres = 2;
    int hostsPerDataCentre = 2;
    /// Data centres that hold a group of the model, from the first on.
    int modelDataCentres = 2;
    ClusterFaults faults;
    RouterFault routerFault = RouterFault::None;
};

/// \brief Several routers, a store, engines and services behind one event queue on a passed-in clock.
///
/// The surroundings hold state and faults, no policy. What callers were told and what endpoints ran goes into a record
/// that the checker reads.
class Cluster {
public:
    explicit Cluster(ClusterOptions options);

    /// Runs everything that is due up to `duration` from now.
    void run(Duration duration);
    void at(Duration after, std::function<void()> action);

    /// A caller's call of the plain service, retried with the same key at another host while its outcome is unknown or
    /// it was not run.
    void callService(int host, const std::string& key, int retries);
    /// A caller's streamed completion.
    void complete(int host, std::uint32_t maxTokens, std::optional<Duration> deadline = std::nullopt);

    int hosts() const { return static_cast<int>(m_hosts.size()); }
    void crash(int host);
    void restart(int host);
    void pause(int host, Duration duration);
    void drain(int host);
    bool safeToStop(int host) const { return m_hosts[static_cast<std::size_t>(host)].safeToStop; }
    void partition(std::set<int> side, Duration duration);
    void storeOutage(Duration duration);
    void crashEndpoint(const std::string& endpoint, Duration duration);
    const Router* router(int host) const { return m_hosts[static_cast<std::size_t>(host)].router.get(); }

    const ClusterRecord& record() const { return m_record; }
    ClusterFaults& faults() { return m_options.faults; }
    Random& random() { return m_random; }
    Duration elapsed() const { return m_clock.now() - TimePoint {}; }
    std::uint64_t storeOperations() const { return m_storeOperations; }

private:
    struct Host {
        HostId id;
        DataCentreId dataCentre;
        std::unique_ptr<Router> router;
        std::unique_ptr<Random> random;
        std::uint64_t incarnation = 1;
        std::uint64_t life = 0;
        bool paused = false;
        bool safeToStop = false;
        std::vector<Event> waiting;
    };

    struct Run {
        AttemptId attempt;
        Epoch epoch;
    };

    struct Value {
        std::uint64_t version = 0;
        std::string bytes;
    };

    void start(Host& host);
    void deliver(int host, Event event);
    void deliverLater(int host, Duration after, Event event);
    void carryOut(int host);
    Duration delay();

    void act(int host, const DeliverToken& action);
    void act(int host, const Finish& action);
    void act(int host, const StartRun& action);
    void act(int host, const CancelRun& action);
    void act(int host, const ImportState& action);
    void act(int host, const ReplayState& action);
    void act(int host, const ServiceCall& action);
    void act(int host, const StoreRead& action);
    void act(int host, const StoreCompareAndSwap& action);
    void act(int host, const StoreWatch& action);
    void act(int host, const SendPeer& action);
    void act(int host, const PollEndpoints& action);
    void act(int, const Decision&) { }
    void act(int host, const SafeToStop&) { m_hosts[static_cast<std::size_t>(host)].safeToStop = true; }

    void stepRun(int host, const StartRun& run, std::uint32_t position);
    std::optional<std::uint32_t> deadStage(const StartRun& run) const;
    bool superseded(const StartRun& run) const;
    void answerStore(int host, StoreOperationId operation, const std::function<StoreAnswer()>& apply, bool write);
    void pollWatch(int host, const StoreWatch& watch, TimePoint until);
    bool reachable(int a, int b) const;
    void submit(int host, Request request, std::string key, int retries);
    Configuration configuration() const;
    void seedStore();
    std::vector<ListedHost> hostList() const;

    ClusterOptions m_options;
    ManualClock m_clock;
    Random m_random;
    std::vector<Host> m_hosts;
    std::map<HostId, int> m_hostIndex;
    /// Ordered by time, then by the order of scheduling.
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_due;
    std::uint64_t m_nextDue = 0;
    std::map<std::string, Value> m_store;
    TimePoint m_storeBackAt {};
    std::uint64_t m_storeOperations = 0;
    std::set<int> m_partitioned;
    TimePoint m_partitionEnds {};
    std::map<std::string, TimePoint> m_endpointBackAt;
    /// Newest epoch of a request that a runner has seen.
    std::map<std::pair<std::string, RequestId>, Epoch> m_newestEpoch;
    std::map<RequestId, std::pair<std::string, int>> m_retries;
    ClusterRecord m_record;
};

/// \return The token that the engines produce at a position; a function of the prompt alone.
std::string clusterToken(const std::string& prompt, std::uint32_t position);

} // namespace fuchsialb
