#pragma once

#include "GatewayContext.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace fuchsialb {

/// \brief Follows one prefix of the key-value service: a listing first, then one watch after the other.
///
/// Watches are spaced out, so that many changes at once cost few calls. After a failure or lost history the prefix is
/// listed again.
class PrefixFollower {
public:
    struct Options {
        std::string name;
        std::string prefix;
        /// \return Longest wait of the next watch.
        std::function<Duration()> wait;
        /// Shortest time from the start of one watch to the next.
        Duration spacing { std::chrono::milliseconds(400) };
    };
    /// \param whole The items are all of the prefix, not only changes.
    /// \param provenAt Boot time at which the state after the items was the newest.
    using OnItems = std::function<void(const KeyListing& listing, bool whole, Duration provenAt)>;

    PrefixFollower(GatewayContext& context, Options options, OnItems onItems);
    void start() { list(); }
    /// Tries again at once if the last call failed: another call has shown that the store answers.
    void retryNow();
    void setOnReached(std::function<void()> onReached) { m_onReached = std::move(onReached); }

private:
    void list();
    void watch();
    void again(Duration delay, bool listing);
    void failed(const absl::Status& status);
    void answered();

    GatewayContext& m_context;
    Options m_options;
    OnItems m_onItems;
    std::function<void()> m_onReached;
    asio::steady_timer m_timer;
    KeyVersion m_asOf;
    bool m_reachable = false;
    bool m_everReachable = false;
    std::uint32_t m_failures = 0;
    /// A failed call waits for its repetition.
    bool m_backingOff = false;
};

/// \brief Keeps configuration, runners and hosts up to date from the key-value service, and this host registered.
class StoreSession {
public:
    using OnKey = std::function<void(const std::string& key)>;
    using OnRunnerLeaving = std::function<void(const EndpointId& runner)>;

    /// \param onKey Told the key that all hosts share.
    /// \param onRunnerLeaving Told each runner that has announced that it leaves, or is off the registry.
    StoreSession(GatewayContext& context, OnKey onKey, OnRunnerLeaving onRunnerLeaving);
    void start();
    /// Reads the configuration when the proof that it is the newest gets old; called several times a second.
    void tick();
    /// Takes this host off the list of hosts.
    void leave();

private:
    void takeConfiguration(const KeyListing& listing, Duration provenAt);
    void takeRunners(const KeyListing& listing, bool whole);
    void logChange(const RunnerEntry& entry, KeyVersion asOf);
    void takeHosts(const KeyListing& listing, bool whole);
    void registerHost();
    void renewLater();
    void renew();
    std::string hostKey() const;
    void makeSharedKey();
    Duration configurationWait() const;

    GatewayContext& m_context;
    OnKey m_onKey;
    OnRunnerLeaving m_onRunnerLeaving;
    PrefixFollower m_configuration;
    PrefixFollower m_runners;
    PrefixFollower m_hosts;
    asio::steady_timer m_timer;
    LeaseId m_lease;
    bool m_leaving = false;
    bool m_proofAsked = false;
    Duration m_nextProof { 0 };
};

} // namespace fuchsialb
