#pragma once

#include "StoreClient.h"

#include "fuchsialb/Fleet.h"

#include <functional>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief Items of a listing, or changes in their order.
struct KeyListing {
    std::vector<KeyItem> items;
    /// Version of the store that the listing reflects; the next watch starts from it.
    KeyVersion asOf;
    /// Era of the store that answered; versions of different eras can't be compared.
    StoreEra era {};
};

/// \brief The keys that begin with a prefix, and what is kept of their values.
struct KeyRange {
    std::string prefix;
    /// Reduces an item to what is read of it, as soon as it has arrived; empty if all of it is.
    std::function<void(KeyItem& item)> reduce {};
};

/// \brief How current the answer to a listing has to be.
enum class ReadFreshness : unsigned char {
    Newest,
    /// The answer may be seconds old, at a fraction of the cost.
    MayBeStale,
};

/// \brief A key-value service with listings and watches of prefixes, leases and unconditional writes.
///
/// Each call is followed by exactly one callback on the event loop. Failures are `StoreUnavailable`, or `BodyTooLarge`
/// for a response that is longer than any sound one; nothing is retried here.
class KeyValueService {
public:
    using OnListing = std::function<void(absl::StatusOr<KeyListing>)>;

    virtual ~KeyValueService() = default;

    /// Lists all keys of a range, page by page.
    virtual void list(KeyRange range, ReadFreshness freshness, OnListing onListing) = 0;
    /// Answered with changes after `after` as soon as there are any, or with none after `wait`. Fails with
    /// `StoreBehind` when the changes since `after` are no longer kept, or too large for one answer.
    virtual void watch(KeyRange range, KeyVersion after, Duration wait, OnListing onListing) = 0;
    /// Writes a key that lives as long as the lease. Fails with `StoreConflict` when the lease has ended.
    virtual void put(std::string key, std::string value, LeaseId lease, std::function<void(absl::Status)> onPut) = 0;
    /// Writes a key without a lease unless it exists. Fails with `StoreConflict` when it does.
    virtual void putIfAbsent(std::string key, std::string value, std::function<void(absl::Status)> onPut) = 0;
    virtual void createLease(Duration ttl, std::function<void(absl::StatusOr<LeaseId>)> onLease) = 0;
    /// Fails with `StoreConflict` when the lease has ended.
    virtual void renewLease(LeaseId lease, std::function<void(absl::Status)> onRenewed) = 0;
    virtual void endLease(LeaseId lease, std::function<void(absl::Status)> onEnded) = 0;
};

} // namespace fuchsialb
