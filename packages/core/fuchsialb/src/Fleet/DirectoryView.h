#pragma once

#include "../Base/Clock.h"
#include "../Base/Ids.h"
#include "../Base/Units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief A key of the store as it was written, or its removal.
struct KeyItem {
    std::string key;
    std::string value;
    bool removed = false;

    bool operator==(const KeyItem&) const = default;
};

/// \brief What a host tells another one about its view of a prefix of the store.
struct DirectoryUpdate {
    StoreEra era;
    /// Version of the store that the sender's view reflects.
    KeyVersion version;
    /// Time since the view is known to have been the newest.
    Duration age { 0 };
    /// The changes after this version, up to `version`, are in `changes`; none are sent if both versions are equal.
    KeyVersion from;
    std::vector<KeyItem> changes;

    bool operator==(const DirectoryUpdate&) const = default;
};

/// \brief Position of this host's view of a prefix of the store, and the last changes that led to it.
///
/// A few hosts of each data centre watch the store and pass the changes on with their beats, so that calls of the store
/// don't grow with the number of hosts. A host reads the store by itself while its view is older than a limit.
///
/// When the store comes back from an older copy, its era rises and versions are given out again. Versions of different
/// eras can't be compared, so a view of an older era must be read anew.
class DirectoryView {
public:
    StoreEra era() const { return m_era; }
    KeyVersion version() const { return m_version; }
    /// \return Boot time at which the view was last known to be the newest.
    Duration provenAt() const { return m_provenAt; }
    /// \return Whether the view was the newest within `limit` before `bootNow`, and this host doesn't wait in vain for
    ///     changes that others have.
    bool isRecent(Duration bootNow, Duration limit) const;

    /// \brief Records that the whole prefix was read. What has changed since the former version is kept like changes.
    /// \param complete Whether keys that aren't in `items` have been removed.
    void recordSnapshot(
        StoreEra era, KeyVersion asOf, Duration provenAt, const std::vector<KeyItem>& items, bool complete = true);
    /// Records changes that follow the current version.
    void recordChanges(std::vector<KeyItem> changes, KeyVersion asOf, Duration provenAt);
    /// Forgets a view of an era before `era`, so that it is read anew.
    void reset(StoreEra era);

    /// \brief Takes the update of another host if it continues this view.
    /// \param echoedAt Boot time of this host after which the update was sent.
    /// \return Whether the changes of the update have to be applied.
    bool accept(const DirectoryUpdate& update, Duration echoedAt);
    /// \param known Version of the receiver, in the same era.
    /// \param sendsChanges Whether the receiver relies on this host for changes.
    DirectoryUpdate updateFor(StoreEra era, KeyVersion known, bool sendsChanges, Duration bootNow) const;

private:
    struct Batch {
        KeyVersion from;
        KeyVersion to;
        std::vector<KeyItem> changes;
    };

    /// Changes from the keys that this view knows to those of a listing.
    std::vector<KeyItem> difference(const std::vector<KeyItem>& items, bool complete) const;
    void applyToKeys(const std::vector<KeyItem>& changes);

    StoreEra m_era;
    KeyVersion m_version;
    Duration m_provenAt { 0 };
    /// Since when another host has a newer version without the changes that lead to it; 0 if none has.
    Duration m_behindSince { 0 };
    /// Hash of the value of each key.
    std::map<std::string, std::uint64_t> m_keys;
    std::deque<Batch> m_batches;
    std::size_t m_keptChanges = 0;
};

} // namespace fuchsialb
