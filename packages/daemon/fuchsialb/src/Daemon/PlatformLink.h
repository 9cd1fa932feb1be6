#pragma once

#include "fuchsialb/Net.h"
#include "fuchsialb/Router.h"
#include "fuchsialb/Store.h"

#include <absl/status/statusor.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace fuchsialb {

/// \brief The daemon's connection to the platform: store operations and the host list, on an HTTP client of its own.
class PlatformLink {
public:
    using Sink = std::function<void(Event event)>;

    static absl::StatusOr<std::unique_ptr<PlatformLink>> create(
        const std::string& url, Duration hostListPeriod, const Clock& clock, Sink sink);

    ~PlatformLink();
    PlatformLink(const PlatformLink&) = delete;
    PlatformLink& operator=(const PlatformLink&) = delete;

    /// Starts reading the host list.
    void start();

    void read(const StoreRead& operation);
    void compareAndSwap(const StoreCompareAndSwap& operation);
    void watch(const StoreWatch& operation);

private:
    PlatformLink(Duration hostListPeriod, Sink sink);

    void readHosts();

    Duration m_hostListPeriod;
    Sink m_sink;
    std::unique_ptr<HttpClient> m_http;
    std::unique_ptr<StoreClient> m_store;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stop = false;
    std::thread m_thread;
};

} // namespace fuchsialb
