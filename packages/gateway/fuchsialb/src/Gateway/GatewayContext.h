#pragma once

#include "GatewayMetrics.h"
#include "GatewaySettings.h"
#include "Translator.h"

#include <asio/io_context.hpp>

namespace fuchsialb {

/// \brief What the parts of a gateway share; used on the event loop only.
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
    /// The configuration in force as it was read, for hosts that can't read it.
    std::string configurationText;
    RunnerDirectory runners;
    HostDirectory hosts;
    LoadLedger ledger;
    SharedRetryBudget repeats;
    LinkBudget link;
    AdmissionQueue waiting;
    /// The process was told to end.
    bool stopping = false;
    TimePoint stoppingSince {};
    /// Revision of the registry that `runners` reflects, and when it was read.
    KeyVersion registryVersion {};
    TimePoint registryReadAt {};

    TimePoint now() const { return clock.now(); }
};

/// \return Time since boot, which goes on while the host is suspended.
Duration bootTime();

} // namespace fuchsialb
