#pragma once

#include "PrefixWatcher.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fuchsialb {

/// \brief Keeps configuration, runners and hosts in sync with the key-value service, and this host registered there.
class StoreSession {
public:
    using OnSharedKey = std::function<void(const std::string& key)>;

    /// \param onSharedKey Called with the key that all hosts share.
    StoreSession(GatewayContext& context, OnSharedKey onSharedKey);
    void start();
    /// \brief Reads what gets old; called several times a second.
    /// \param heard Newest version of the configuration that other hosts have.
    void tick(ConfigurationVersion heard);
    /// Applies changes that another host has passed on.
    void receiveRunners(const HostId& from, const DirectoryUpdate& update);
    void receiveHosts(const HostId& from, const DirectoryUpdate& update);
    /// Ends the registration of this host.
    void unregisterHost();

private:
    /// \param provenAt When the listing was the newest; none if it may be outdated.
    void applyConfiguration(const KeyListing& listing, bool snapshot, std::optional<Duration> provenAt);
    /// \brief Whether an answer of the store proves what is the newest configuration.
    ///
    /// A store that came back from an older copy lacks what was acknowledged last, until it is written again.
    bool provesNewest(const KeyListing& listing, Duration provenAt);
    void applyRunners(const KeyListing& listing, bool snapshot);
    /// Removes runners that the registry lacks, unless they may be written there again.
    void removeMissingRunners();
    void logRunnerChange(const RunnerEntry& entry, KeyVersion asOf);
    void applyHosts(const KeyListing& listing, bool snapshot);
    void registerHost();
    void scheduleRenewal();
    void renewRegistration();
    std::string hostKey() const;
    void offerSharedKey();
    /// Reads the configuration once, without a watch.
    void readConfiguration(ConfigurationRead read);
    /// Records whether the store has answered a call.
    void recordStoreCall(const absl::Status& status);
    bool readsStore() const;
    /// \return Whether this host has to read a prefix by itself: for its data centre, or as its view has got old.
    bool needsWatch(const DirectoryView& view, Duration maxAge) const;
    ReadSchedule configurationSchedule() const;
    ReadSchedule registrySchedule() const;
    Duration relayTimeOfCells() const;

    GatewayContext& m_context;
    OnSharedKey m_onSharedKey;
    PrefixWatcher m_configuration;
    PrefixWatcher m_runners;
    PrefixWatcher m_hosts;
    asio::steady_timer m_renewalTimer;
    /// Secret that this host uses for messages to other hosts.
    std::string m_sharedKey;
    /// The last listing of the hosts lacked the secret.
    bool m_sharedKeyMissing = false;
    StoreEra m_era;
    /// When this host saw that the store had come back from an older copy; 0 if it hasn't.
    Duration m_eraSeenAt { 0 };
    LeaseId m_lease;
    bool m_unregistered = false;
    ConfigurationRefresh m_refresh;
};

} // namespace fuchsialb
