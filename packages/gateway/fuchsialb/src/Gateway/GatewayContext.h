#pragma once

#include "GatewayMetrics.h"
#include "GatewaySettings.h"
#include "Translator.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace fuchsialb {

/// \brief State and services that the components of a gateway share. Not thread-safe: used on the event loop only.
struct GatewayContext {
    const GatewaySettings& settings;
    const Translator& translator;
    asio::io_context& loop;
    const Clock& clock;
    HttpClient& http;
    KeyValueService& store;
    Logger& log;
    GatewayMetrics& metrics;
    Random random;

    ConfigurationInForce configuration;
    /// The configuration in force as read from the store; forwarded to hosts that can't reach the store.
    std::string configurationText;
    RunnerDirectory runners;
    HostDirectory hosts;
    LoadLedger ledger;
    CrashEvidence crashEvidence;
    SharedRetryBudget retryBudget;
    LinkBudget linkBudget;
    AdmissionQueue admissionQueue;
    /// For what runners and the store send and nobody has taken yet.
    std::shared_ptr<MemoryBudget> responseMemory = std::make_shared<MemoryBudget>(defaultResponseMemory);
    /// Limits on requests that runners have named, and what this host may send to these runners.
    RequestRateLimits rateLimits {};
    RequestRateAdmission rateAdmission { random.unit() };
    HedgePolicy hedging { settings.hedgeRatio, settings.retryWindow };
    /// Set by SIGTERM, SIGINT and `Gateway::requestStop()`.
    bool stopping = false;
    TimePoint stoppingSince {};
    /// Store version of the registry that `runners` reflects, and when it was read.
    KeyVersion registryVersion {};
    TimePoint registryReadAt {};
    /// Positions of this host's views of the registry of runners and of the list of hosts.
    DirectoryView runnersView {};
    DirectoryView hostsView {};
    /// Whether the store answers this host.
    StoreReach storeReach {};
    /// Its bound is far above the period of ticks, and below the pause after which a runner is asked for its state.
    HostPauseDetector hostPause { std::chrono::milliseconds(250) };
    /// What the events of this host's streams tell of the speed of runners.
    RunnerPace runnerPace {};
    /// Called for a runner that starts to drain or was removed from the registry.
    std::function<void(const EndpointId& runner)> onRunnerLeaving {};

    TimePoint now() const { return clock.now(); }
    SharedRetryBudget::Fleet retryFleet() const { return { hosts.size(), hosts.dataCentreSize(), ledger }; }
};

/// \return Time since boot, including the time that the host was suspended.
Duration bootTime();

} // namespace fuchsialb
