#pragma once

#include "GatewayContext.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace fuchsialb {

/// \brief Watches one prefix of the key-value service: lists it once, then issues one long-poll watch after another.
///
/// A minimum interval between watches bounds the number of calls during bursts of changes. The prefix is listed again
/// after a failure, when the service no longer keeps the changes since the last version read, and when it came back
/// from an older copy. Without a view, it is listed once more some time after an outage or such a return. While another
/// host watches the prefix and passes the changes on, no watch is issued.
class PrefixWatcher {
public:
    struct Options {
        std::string name;
        KeyRange range;
        /// \return Timeout of the next watch.
        std::function<Duration()> watchTimeout;
        /// From the start of one watch to the start of the next.
        Duration minWatchInterval { std::chrono::milliseconds(400) };
        /// \return Whether this host has to watch the prefix by itself; always if empty.
        std::function<bool()> isNeeded {};
        /// Position of this host's view of the prefix, which the updates of other hosts move as well; may be null.
        DirectoryView* view = nullptr;
        /// How current the first listing has to be.
        ReadFreshness firstListing = ReadFreshness::Newest;
    };
    /// \param snapshot Whether `listing` has all items of the prefix; otherwise it has only changes.
    /// \param provenAt Boot time at which `listing` was known to reflect the newest state.
    using OnItems = std::function<void(const KeyListing& listing, bool snapshot, Duration provenAt)>;

    PrefixWatcher(GatewayContext& context, Options options, OnItems onItems);
    void start() { list(m_options.firstListing); }
    /// Starts to watch again when that has become necessary; called several times a second.
    void tick();
    /// Retries a failed call without waiting for its backoff, once another call has shown that the store is reachable.
    void retryNow();
    /// Sets the callback for the first successful call after a failure.
    void setOnRecovered(std::function<void()> onRecovered) { m_onRecovered = std::move(onRecovered); }
    /// Sets the callback for the end of each call, with its status.
    void setOnCall(std::function<void(const absl::Status& status)> onCall) { m_onCall = std::move(onCall); }

private:
    void list(ReadFreshness freshness);
    void watch();
    /// Issues the next watch if this host needs one.
    void proceed();
    void schedule(Duration delay, bool listing);
    void handleListing(absl::StatusOr<KeyListing> listing, Duration sentAt);
    void handleChanges(absl::StatusOr<KeyListing> listing, Duration sentAt, Duration timeout);
    /// Records the listing in the view.
    /// \return Whether its items are newer than those that this host has.
    bool recordListing(const KeyListing& listing, bool snapshot, Duration provenAt);
    /// The store was unreachable or came back from an older copy: entries that it lacks now may be written again.
    void expectRewrites();
    bool relistDue() const;
    bool isNeeded() const { return !m_options.isNeeded || m_options.isNeeded(); }
    /// \return Whether the answer is from a store that came back from an older copy since the last one.
    bool entersNewEra(const KeyListing& listing);
    KeyVersion version() const;
    void reportOutdatedWatch();
    void reportUnreachable(const absl::Status& status);
    void onFailure(const absl::Status& status);
    void onSuccess();

    GatewayContext& m_context;
    Options m_options;
    OnItems m_onItems;
    std::function<void()> m_onRecovered;
    std::function<void(const absl::Status& status)> m_onCall;
    asio::steady_timer m_timer;
    KeyVersion m_asOf;
    StoreEra m_era;
    bool m_reachable = false;
    /// Whether any call has succeeded or failed yet.
    bool m_reachabilityKnown = false;
    /// No call is in progress or planned, since other hosts pass on the changes.
    bool m_idle = false;
    /// When the prefix has to be listed again, as all entries that still exist are written by then; 0 for none.
    Duration m_relistAt { 0 };
    std::uint32_t m_consecutiveFailures = 0;
    bool m_retryPending = false;
};

} // namespace fuchsialb
