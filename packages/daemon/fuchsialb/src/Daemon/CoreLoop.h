#pragma once

#include "CallerFront.h"
#include "DecisionLog.h"
#include "Metrics.h"
#include "RequestTracer.h"
#include "fuchsialb/Endpoint.h"
#include "fuchsialb/Net.h"
#include "fuchsialb/Router.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace fuchsialb {

/// \brief Where the core's actions go.
struct CoreOutputs {
    std::function<void(const DeliverToken&)> deliver;
    std::function<void(const Finish&)> finish;
    std::function<void(const StoreRead&)> read;
    std::function<void(const StoreCompareAndSwap&)> compareAndSwap;
    std::function<void(const StoreWatch&)> watch;
    std::function<void(const SendPeer&)> sendPeer;
    std::function<void()> safeToStop;
    /// Called on the core thread whenever another configuration came into force.
    std::function<void(const Configuration&)> configurationInForce;
};

/// \brief The core thread: feeds events from a bounded ring into the router and carries its actions out.
class CoreLoop {
public:
    struct Parts {
        std::unique_ptr<Router> router;
        EndpointClient* endpoints = nullptr;
        RequestTracer* tracer = nullptr;
        DecisionLog* decisions = nullptr;
        Metrics* metrics = nullptr;
        Logger* logger = nullptr;
        const Clock* clock = nullptr;
        CoreOutputs outputs;
    };

    /// \param ring Must outlive the loop.
    CoreLoop(Ring<Event>& ring, Parts parts);
    ~CoreLoop();

    CoreLoop(const CoreLoop&) = delete;
    CoreLoop& operator=(const CoreLoop&) = delete;

    void start();
    void stop();
    /// \return A copy at most 100 ms old; callable from any thread.
    std::shared_ptr<const RouterStatus> status() const;

private:
    void run();
    void handle(Event event);
    void carryOut();
    void publish();

    void act(const DeliverToken& action) { m_parts.outputs.deliver(action); }
    void act(const Finish& action) { m_parts.outputs.finish(action); }
    void act(const StartRun& action) { m_parts.endpoints->run(action); }
    void act(const CancelRun& action) { m_parts.endpoints->cancel(action); }
    void act(const ImportState& action) { m_parts.endpoints->importState(action); }
    void act(const ReplayState& action) { m_parts.endpoints->replayState(action); }
    void act(const ServiceCall& action) { m_parts.endpoints->call(action); }
    void act(const PollEndpoints& action) { m_parts.endpoints->poll(action); }
    void act(const StoreRead& action);
    void act(const StoreCompareAndSwap& action);
    void act(const StoreWatch& action);
    void act(const SendPeer& action) { m_parts.outputs.sendPeer(action); }
    void act(const Decision& action);
    void act(const SafeToStop&) { m_parts.outputs.safeToStop(); }

    Ring<Event>& m_ring;
    Parts m_parts;
    std::atomic<bool> m_stop { false };
    std::thread m_thread;
    TimePoint m_lastTick {};
    TimePoint m_lastPublish {};
    std::shared_ptr<const Configuration> m_configuration;
    mutable std::mutex m_statusMutex;
    std::shared_ptr<const RouterStatus> m_status;
};

} // namespace fuchsialb
