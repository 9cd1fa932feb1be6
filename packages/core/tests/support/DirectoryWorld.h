#pragma once

#include "fuchsialb/Fleet.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fuchsialb::test {

/// \brief A store with versions and eras, and hosts whose views follow it by listings, watches and updates of other
/// hosts.
///
/// Answers and updates are made at one step and delivered at a later one, so that they cross each other.
class DirectoryWorld {
public:
    explicit DirectoryWorld(std::size_t hosts);

    void write(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Keeps a copy of the store, to which `restoreCopy` returns.
    void saveCopy();
    /// Lets the store come back from the copy in a new era; versions are given out again.
    void restoreCopy();

    /// Lets the store answer a watch of a host from its version, or a listing if it has none; delivered by `deliver`.
    void call(std::size_t host);
    void list(std::size_t host);
    /// Lets a host send its update to another one, by the version that the other one had when it last sent one itself.
    void beat(std::size_t from, std::size_t to);
    /// Delivers one of the pending answers and updates.
    void deliver(std::size_t choice);
    bool hasPending() const { return !m_pending.empty(); }
    void setEncoding(std::function<DirectoryUpdate(DirectoryUpdate)> encoding) { m_encoding = std::move(encoding); }

    /// \return Whether each view with a version holds, by what was applied, exactly what the store held at that
    /// version.
    bool viewsAreExact() const;
    /// Lets all hosts read the store and exchange updates until nothing is left to do.
    void settle();
    bool allCurrent() const;

    DirectoryView& view(std::size_t host) { return m_hosts[host].view; }

private:
    using Content = std::map<std::string, std::string>;
    using Position = std::pair<StoreEra, KeyVersion>;

    struct Event {
        KeyVersion version;
        KeyItem item;
    };
    struct Known {
        StoreEra era;
        KeyVersion version;
    };
    struct HostState {
        DirectoryView view;
        /// The keys of the store as applied from listings, changes and updates.
        Content applied;
        /// What the last update of each other host told of its view.
        std::map<std::size_t, Known> peers;
        /// Era of the last answer of the store.
        StoreEra answeredEra;
        bool isCalling = false;
    };
    struct Message {
        std::size_t host = 0;
        /// Sender of an update; none for an answer of the store.
        std::optional<std::size_t> from;
        DirectoryUpdate update;
        bool isListing = false;
        StoreEra era;
        KeyVersion asOf;
        std::vector<KeyItem> items;
    };

    void append(KeyItem item);
    void deliverAnswer(HostState& host, const Message& message);
    static void apply(Content& content, const std::vector<KeyItem>& items);

    StoreEra m_era { 1 };
    KeyVersion m_version { 1 };
    Content m_content;
    std::vector<Event> m_events;
    std::map<Position, Content> m_history;
    Content m_copy;
    KeyVersion m_copyVersion { 1 };
    std::vector<HostState> m_hosts;
    std::vector<Message> m_pending;
    std::function<DirectoryUpdate(DirectoryUpdate)> m_encoding;
    Duration m_now { std::chrono::seconds(1) };
};

} // namespace fuchsialb::test
