#pragma once

#include "fuchsialb/Base.h"
#include "fuchsialb/Claims.h"
#include "fuchsialb/Control.h"
#include "fuchsialb/Member.h"
#include "fuchsialb/src/Net/HttpClient.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fuchsialb {

using LeaseId = internal::StrongId<struct LeaseTag, std::uint64_t>;

/// \brief A key of the store and its version.
struct ListedKey {
    std::string key;
    KeyVersion version;

    bool operator==(const ListedKey&) const = default;
};

/// \brief Asynchronous client of the platform's key-value service and host list.
///
/// Every call is followed by exactly one callback, on the HTTP client's thread, or on the caller's when the exchange
/// can't be started. Calls may come from any thread. Nothing is retried here; a read or a write costs one call of the
/// service, a watch a few.
///
/// How a write is answered: `Ok` and `Conflict` when the service said so; `Failed` only when no byte was sent or the
/// service refused the request itself (400, 404, 405, 413, 414), so that it can't have taken effect; `Lost` otherwise.
/// A transport that sends a request again on another connection can turn the caller's own write into a `Conflict`;
/// whoever needs to know reads the value back.
class StoreClient {
public:
    struct Options {
        /// "http://IP:port", without a path.
        std::string url;
        /// Longest time for a call; a watch may take its waiting time in addition.
        Duration timeout { std::chrono::seconds(1) };
    };

    using OnAnswer = std::function<void(StoreAnswer)>;

    /// \param client Must outlive the calls that are started here.
    /// \return `InvalidFlag` when the URL is not "http://IP:port".
    static absl::StatusOr<std::unique_ptr<StoreClient>> create(Options options, HttpClient& client, const Clock& clock);

    virtual ~StoreClient() = default;

    /// Answered with `Ok`, `Missing` or `Failed`.
    virtual void read(StoreRead operation, OnAnswer onAnswer) = 0;
    /// \param lease The key is deleted when this lease ends; 0 for none.
    virtual void compareAndSwap(StoreCompareAndSwap operation, LeaseId lease, OnAnswer onAnswer) = 0;
    /// Answered with the value as soon as the key's version differs from `after`, with `Missing` when the key is gone
    /// or nothing has changed in `wait`, or with `Failed`.
    virtual void watch(StoreWatch operation, OnAnswer onAnswer) = 0;
    /// Deletes a key that is at `expected`. Answered like a write, with version 0.
    virtual void remove(StoreOperationId operation, std::string key, KeyVersion expected, OnAnswer onAnswer) = 0;

    virtual void list(std::string prefix, std::function<void(absl::StatusOr<std::vector<ListedKey>>)> onKeys) = 0;
    virtual void createLease(Duration ttl, std::function<void(absl::StatusOr<LeaseId>)> onLease) = 0;
    /// Fails with `StoreConflict` when the lease has ended.
    virtual void renewLease(LeaseId lease, std::function<void(absl::Status)> onRenewed) = 0;
    virtual void hosts(std::function<void(absl::StatusOr<std::vector<ListedHost>>)> onHosts) = 0;
};

} // namespace fuchsialb
