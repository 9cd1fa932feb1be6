#pragma once

#include "StoreProtocol.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace fuchsialb::internal {

/// \brief Watches single keys by their version; the service's own watches go by prefix and revision.
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher> {
public:
    using OnResponse = std::function<void(absl::StatusOr<HttpResponse>)>;
    /// Starts GET of a path with a timeout in addition to `wait`.
    using Fetch = std::function<void(std::string path, Duration wait, OnResponse)>;

    StoreWatcher(Fetch fetch, const Clock& clock);

    void watch(StoreWatch operation, StoreClient::OnAnswer onAnswer);

private:
    /// A version of a key, and a revision of the store since which it has not changed.
    struct Seen {
        std::uint64_t revision = 0;
        KeyVersion version;
    };

    struct Watching {
        StoreWatch operation;
        StoreClient::OnAnswer onAnswer;
        std::uint64_t revision = 0;
        TimePoint until;
        unsigned polls = 0;
    };

    void poll(Watching watching);
    void onPolled(Watching watching, const absl::StatusOr<HttpResponse>& response);
    void read(Watching watching, std::uint64_t revision);
    void remember(const std::string& key, Seen seen);

    Fetch m_fetch;
    const Clock& m_clock;
    std::mutex m_mutex;
    std::map<std::string, Seen> m_seen;
};

} // namespace fuchsialb::internal
