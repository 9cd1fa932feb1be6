#pragma once

#include "../../Base/Clock.h"
#include "../../Base/Ids.h"
#include "../../Base/Units.h"

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
    /// Hash of the value as it was written, if `value` is only the part of it that is read.
    std::optional<std::uint64_t> writtenHash {};

    /// \return Hash of the value as it was written.
    std::uint64_t valueHash() const;
    /// Keeps of the value only what is read of it.
    void reduceTo(std::string readPart);
    /// \return The memory that the item takes.
    Bytes cost() const;

    bool operator==(const KeyItem&) const = default;
};

/// \brief What a host tells another one about its view of a prefix of the store.
struct DirectoryUpdate {
    StoreEra era;
    /// Version of the store that the sender's view reflects.
    KeyVersion version;
    /// Digest of what the store held at that version.
    ContentDigest digest;
    /// Time since the view is known to have been the newest.
    Duration age { 0 };
    /// The changes after this version, up to `version`, are in `changes`; none are sent if both versions are equal.
    KeyVersion from;
    std::vector<KeyItem> changes;
    /// The changes continue a view at `from` only, and not one at a version between `from` and `version`: a key may
    /// have changed and changed back.
    bool isDifference = false;

    bool operator==(const DirectoryUpdate&) const = default;
};

/// \brief Position of this host's view of a prefix of the store, and the last changes that led to it.
///
/// A few hosts of each data centre watch the store and pass the changes on with their beats, so that calls of the store
/// don't grow with the number of hosts. A host reads the store by itself while its view is older than a limit.
///
/// A view holds exactly what the store held at its version, which its digest confirms between hosts. Whether a key that
/// the store lacks is to be taken as gone is another question: while the store was away, keys may have lapsed that are
/// written again soon after its return, see `isSettled`.
///
/// When the store comes back from an older copy, its era rises and versions are given out again. Versions of different
/// eras can't be compared, so a view of an older era must be read anew.
class DirectoryView {
public:
    StoreEra era() const { return m_era; }
    KeyVersion version() const { return m_version; }
    ContentDigest digest() const { return m_version == KeyVersion() ? ContentDigest() : m_digest; }
    /// \return Boot time at which the view was last known to be the newest.
    Duration provenAt() const { return m_provenAt; }
    /// \return Whether the view was the newest within `limit` before `bootNow`, and this host doesn't wait in vain for
    ///     changes that others have.
    bool isRecent(Duration bootNow, Duration limit) const;
    /// \return Whether the prefix has to be listed: it wasn't yet, or the view differs from that of another host.
    bool needsListing(Duration bootNow) const;
    /// \return Whether keys that the store lacks are gone for good: the store has been back for a while.
    bool isSettled(Duration bootNow) const { return m_awayAt == Duration(0) && bootNow >= m_settledAt; }

    /// \brief Records that the whole prefix was read. What has changed since the former version is kept like changes.
    /// \return Whether the items aren't older than the view and have to be applied.
    bool recordSnapshot(StoreEra era, KeyVersion asOf, Duration provenAt, const std::vector<KeyItem>& items);
    /// \brief Records all changes from a version up to the current one or earlier to `asOf`.
    /// \return Whether the changes are newer than the view and have to be applied.
    bool recordChanges(StoreEra era, std::vector<KeyItem> changes, KeyVersion asOf, Duration provenAt);
    /// \brief Records that a call of the store has failed.
    ///
    /// The store counts as away, and not just cut off from this host, if no other host has proven the view for some
    /// time.
    void recordStoreFailure(Duration bootNow);
    /// Forgets a view of an era before `era`, so that it is read anew.
    void reset(StoreEra era, Duration bootNow);

    /// \return The memory of the changes that are kept for hosts that are behind.
    Bytes keptBytes() const { return Bytes(m_keptBytes); }

    /// \brief Takes the update of another host if it continues this view.
    /// \param echoedAt Boot time of this host after which the update was sent.
    /// \return Whether the changes of the update have to be applied.
    bool accept(const DirectoryUpdate& update, Duration echoedAt);
    /// \param known Version of the receiver, in the same era.
    /// \param sendsChanges Whether the receiver relies on this host for changes.
    DirectoryUpdate updateFor(StoreEra era, KeyVersion known, bool sendsChanges, Duration bootNow) const;

private:
    /// Other than 0, so that a view without keys tells a digest as well.
    static constexpr std::uint64_t emptyDigest = 1;

    struct Batch {
        KeyVersion from;
        KeyVersion to;
        std::vector<KeyItem> changes;
        /// As in `DirectoryUpdate`.
        bool isDifference = false;

        std::int64_t cost() const;
    };

    /// Changes from the keys that this view knows to those of a listing.
    std::vector<KeyItem> difference(const std::vector<KeyItem>& items) const;
    void applyToKeys(const std::vector<KeyItem>& changes);
    void removeKey(const std::string& key);
    void recordBatch(Batch batch, Duration provenAt);
    void keep(Batch batch);
    void recordProof(Duration provenAt);
    /// Compares the view with that of another host at the same version.
    void compareDigest(ContentDigest digest, Duration bootNow);

    StoreEra m_era;
    KeyVersion m_version;
    Duration m_provenAt { 0 };
    /// Since when another host has a newer version without the changes that lead to it; 0 if none has.
    Duration m_behindSince { 0 };
    /// Since when another host holds other content at the same version; 0 if none does.
    Duration m_differsSince { 0 };
    /// When the prefix was last listed.
    Duration m_listedAt { 0 };
    /// Last failed call while nobody proved the view; 0 if the view was proven since.
    Duration m_awayAt { 0 };
    /// When all keys that lapsed while the store was away and still exist are written again.
    Duration m_settledAt { 0 };
    ContentDigest m_digest { emptyDigest };
    /// Hash of the value of each key.
    std::map<std::string, std::uint64_t> m_keys;
    std::deque<Batch> m_batches;
    std::int64_t m_keptBytes = 0;
};

} // namespace fuchsialb
