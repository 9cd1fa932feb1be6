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
        /// Longest wait of one watch.
        Duration wait { std::chrono::seconds(20) };
        /// Shortest time from the start of one watch to the next.
        Duration spacing { std::chrono::milliseconds(400) };
    };
    /// \param whole The items are all of the prefix, not only changes.
    /// \param provenAt Boot time at which the state after the items was the newest.
    using OnItems = std::function<void(const KeyListing& listing, bool whole, Duration provenAt)>;

    PrefixFollower(GatewayContext& context, Options options, OnItems onItems);
    void start() { list(); }
    /// \return Whether the last call was answered.
    bool reachable() const { return m_reachable; }

private:
    void list();
    void watch();
    void again(Duration delay, bool listing);
    void failed(const absl::Status& status);
    void answered();

    GatewayContext& m_context;
    Options m_options;
    OnItems m_onItems;
    asio::steady_timer m_timer;
    KeyVersion m_asOf;
    bool m_reachable = false;
    bool m_everReachable = false;
    std::uint32_t m_failures = 0;
};

/// \brief Keeps configuration, runners and hosts up to date from the key-value service, and this host registered.
class StoreSession {
public:
    explicit StoreSession(GatewayContext& context);
    void start();
    /// Takes this host off the list of hosts.
    void leave();

private:
    void takeConfiguration(const KeyListing& listing, Duration provenAt);
    void takeRunners(const KeyListing& listing, bool whole);
    void takeHosts(const KeyListing& listing, bool whole);
    void registerHost();
    void renewLater();
    void renew();
    std::string hostKey() const;

    GatewayContext& m_context;
    PrefixFollower m_configuration;
    PrefixFollower m_runners;
    PrefixFollower m_hosts;
    asio::steady_timer m_timer;
    LeaseId m_lease;
    bool m_leaving = false;
};

} // namespace fuchsialb
