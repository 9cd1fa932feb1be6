#pragma once

#include "GatewayContext.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace fuchsialb {

/// \brief Watches one prefix of the key-value service: lists it once, then issues one long-poll watch after another.
///
/// A minimum interval between watches bounds the number of calls during bursts of changes. The prefix is listed again
/// after a failure, or when the service no longer keeps the changes since the last version read.
class PrefixWatcher {
public:
    struct Options {
        std::string name;
        std::string prefix;
        /// \return Timeout of the next watch.
        std::function<Duration()> watchTimeout;
        /// From the start of one watch to the start of the next.
        Duration minWatchInterval { std::chrono::milliseconds(400) };
    };
    /// \param snapshot Whether `listing` has all items of the prefix; otherwise it has only changes.
    /// \param provenAt Boot time at which `listing` was known to reflect the newest state.
    using OnItems = std::function<void(const KeyListing& listing, bool snapshot, Duration provenAt)>;

    PrefixWatcher(GatewayContext& context, Options options, OnItems onItems);
    void start() { list(); }
    /// Retries a failed call without waiting for its backoff, once another call has shown that the store is reachable.
    void retryNow();
    /// Sets the callback for the first successful call after a failure.
    void setOnRecovered(std::function<void()> onRecovered) { m_onRecovered = std::move(onRecovered); }

private:
    void list();
    void watch();
    void schedule(Duration delay, bool listing);
    void reportOutdatedWatch();
    void reportUnreachable(const absl::Status& status);
    void onFailure(const absl::Status& status);
    void onSuccess();

    GatewayContext& m_context;
    Options m_options;
    OnItems m_onItems;
    std::function<void()> m_onRecovered;
    asio::steady_timer m_timer;
    KeyVersion m_asOf;
    bool m_reachable = false;
    /// Whether any call has succeeded or failed yet.
    bool m_reachabilityKnown = false;
    std::uint32_t m_consecutiveFailures = 0;
    bool m_retryPending = false;
};

/// \brief Keeps configuration, runners and hosts in sync with the key-value service, and this host registered there.
class StoreSession {
public:
    using OnSharedKey = std::function<void(const std::string& key)>;
    using OnRunnerLeaving = std::function<void(const EndpointId& runner)>;

    /// \param onSharedKey Called with the key that all hosts share.
    /// \param onRunnerLeaving Called for each runner that starts to drain or is removed from the registry.
    StoreSession(GatewayContext& context, OnSharedKey onSharedKey, OnRunnerLeaving onRunnerLeaving);
    void start();
    /// Reads the configuration when the last proof that it is the newest gets old; called several times a second.
    void tick();
    /// Ends the registration of this host.
    void unregisterHost();

private:
    void applyConfiguration(const KeyListing& listing, Duration provenAt);
    void applyRunners(const KeyListing& listing, bool snapshot);
    void logRunnerChange(const RunnerEntry& entry, KeyVersion asOf);
    void applyHosts(const KeyListing& listing, bool snapshot);
    void registerHost();
    void scheduleRenewal();
    void renewRegistration();
    std::string hostKey() const;
    void offerSharedKey();
    Duration configurationWatchTimeout() const;

    GatewayContext& m_context;
    OnSharedKey m_onSharedKey;
    OnRunnerLeaving m_onRunnerLeaving;
    PrefixWatcher m_configuration;
    PrefixWatcher m_runners;
    PrefixWatcher m_hosts;
    asio::steady_timer m_renewalTimer;
    LeaseId m_lease;
    bool m_unregistered = false;
    bool m_proofRequested = false;
    Duration m_nextProofAt { 0 };
};

} // namespace fuchsialb
