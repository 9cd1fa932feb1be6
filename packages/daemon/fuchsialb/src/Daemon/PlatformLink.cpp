#include "PlatformLink.h"

#include <utility>

namespace fuchsialb {

absl::StatusOr<std::unique_ptr<PlatformLink>> PlatformLink::create(
    const std::string& url, Duration hostListPeriod, const Clock& clock, Sink sink)
{
    std::unique_ptr<PlatformLink> link(new PlatformLink(hostListPeriod, std::move(sink)));
    auto http = HttpClient::create({});
    if (!http.ok())
        return http.status();
    link->m_http = std::move(*http);
    StoreClient::Options options;
    options.url = url;
    auto store = StoreClient::create(options, *link->m_http, clock);
    if (!store.ok())
        return store.status();
    link->m_store = std::move(*store);
    return link;
}

PlatformLink::PlatformLink(Duration hostListPeriod, Sink sink)
    : m_hostListPeriod(hostListPeriod)
    , m_sink(std::move(sink))
{
}

PlatformLink::~PlatformLink()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stop = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
    // The client's callbacks use the store client, so the thread behind them ends first.
    m_http.reset();
}

void PlatformLink::start()
{
    m_thread = std::thread([this] { readHosts(); });
}

void PlatformLink::readHosts()
{
    std::unique_lock lock(m_mutex);
    while (!m_stop) {
        lock.unlock();
        m_store->hosts([this](absl::StatusOr<std::vector<ListedHost>> hosts) {
            if (hosts.ok())
                m_sink(HostsListed { std::move(*hosts) });
        });
        lock.lock();
        m_wake.wait_for(lock, m_hostListPeriod, [this] { return m_stop; });
    }
}

void PlatformLink::read(const StoreRead& operation)
{
    m_store->read(operation, [this](StoreAnswer answer) { m_sink(std::move(answer)); });
}

void PlatformLink::compareAndSwap(const StoreCompareAndSwap& operation)
{
    m_store->compareAndSwap(operation, LeaseId(0), [this](StoreAnswer answer) { m_sink(std::move(answer)); });
}

void PlatformLink::watch(const StoreWatch& operation)
{
    m_store->watch(operation, [this](StoreAnswer answer) { m_sink(std::move(answer)); });
}

} // namespace fuchsialb
