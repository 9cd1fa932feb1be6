#include "StoreSession.h"

#include <set>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace fuchsialb {

namespace {

    using nlohmann::json;

    constexpr std::string_view hostsPrefix = "fuchsialb/hosts/";
    // The registration of a failed host expires after this time, and the next host takes over its tasks.
    constexpr Duration hostLeaseTtl = std::chrono::seconds(5);
    constexpr Duration leaseRenewalPeriod = std::chrono::milliseconds(1500);
    constexpr Duration initialRetryDelay = std::chrono::milliseconds(150);
    constexpr std::uint32_t maxRetryDoublings = 3;
    // Store key of the secret that authenticates messages between hosts; the first host to write it sets it for all.
    constexpr std::string_view sharedKeyPath = "fuchsialb/hosts/.key";
    constexpr int sharedKeyWordCount = 4;
    // The watch of the leading host proves that the configuration is still the newest, which that host tells the
    // others. Its timeout and the time of the proof through the leaders of cells must add up to less than
    // proofRefreshAge, or all hosts read the configuration by themselves.
    constexpr Duration leaderWatchTimeout = std::chrono::milliseconds(1500);
    constexpr Duration defaultWatchTimeout = std::chrono::seconds(20);
    // Age of the last proof at which a host that got no newer one from its peers reads the store itself.
    constexpr Duration proofRefreshAge = std::chrono::milliseconds(3000);
    constexpr Duration proofRetryDelay = std::chrono::milliseconds(1000);

} // namespace

PrefixWatcher::PrefixWatcher(GatewayContext& context, Options options, OnItems onItems)
    : m_context(context)
    , m_options(std::move(options))
    , m_onItems(std::move(onItems))
    , m_timer(context.loop)
{
}

void PrefixWatcher::retryNow()
{
    if (m_retryPending)
        schedule(Duration(0), true);
}

void PrefixWatcher::schedule(Duration delay, bool listing)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, listing](const asio::error_code& failure) {
        if (failure)
            return;
        m_retryPending = false;
        if (listing)
            list();
        else
            watch();
    });
}

void PrefixWatcher::reportOutdatedWatch()
{
    LogLine line("watch-outdated");
    line.add("prefix", m_options.name).add("as_of", static_cast<std::int64_t>(m_asOf.value()));
    m_context.log.log(line);
    m_context.metrics.count("outdated_watches", "prefix", m_options.name);
}

void PrefixWatcher::reportUnreachable(const absl::Status& status)
{
    if (m_reachable || !m_reachabilityKnown) {
        LogLine line("store-lost");
        line.add("prefix", m_options.name).add("cause", reasonName(reasonOf(status)));
        line.add("as_of", static_cast<std::int64_t>(m_asOf.value()));
        m_context.log.log(line);
        m_reachabilityKnown = true;
    }
    m_reachable = false;
    m_context.metrics.count("store_failures", "prefix", m_options.name);
}

void PrefixWatcher::onFailure(const absl::Status& status)
{
    // A store that no longer keeps the changes since a version has answered, so it is reachable.
    if (reasonOf(status) == Reason::StoreBehind)
        reportOutdatedWatch();
    else
        reportUnreachable(status);
    // Retries with a listing: it is answered at once, so it detects recovery of the store sooner than a watch.
    const Duration delay = initialRetryDelay * (1U << std::min(m_consecutiveFailures, maxRetryDoublings));
    ++m_consecutiveFailures;
    const auto jitter = m_context.random.below(static_cast<std::uint64_t>(delay.count()));
    schedule(delay + Duration(static_cast<Duration::rep>(jitter)), true);
    m_retryPending = true;
}

void PrefixWatcher::onSuccess()
{
    if (!m_reachable) {
        LogLine line("store-reached");
        line.add("prefix", m_options.name);
        m_context.log.log(line);
    }
    const bool recovered = m_reachabilityKnown && !m_reachable;
    m_reachable = true;
    m_reachabilityKnown = true;
    m_consecutiveFailures = 0;
    if (recovered && m_onRecovered)
        m_onRecovered();
}

void PrefixWatcher::list()
{
    const Duration sentAt = bootTime();
    m_context.metrics.count("store_calls", "kind", "list");
    m_context.store.list(m_options.prefix, [this, sentAt](absl::StatusOr<KeyListing> listing) {
        if (!listing.ok()) {
            onFailure(listing.status());
            return;
        }
        onSuccess();
        m_asOf = listing->asOf;
        m_onItems(*listing, true, sentAt);
        watch();
    });
}

void PrefixWatcher::watch()
{
    const Duration sentAt = bootTime();
    const Duration timeout = m_options.watchTimeout();
    m_context.metrics.count("store_calls", "kind", "watch");
    m_context.store.watch(
        m_options.prefix, m_asOf, timeout, [this, sentAt, timeout](absl::StatusOr<KeyListing> listing) {
            if (!listing.ok()) {
                onFailure(listing.status());
                return;
            }
            onSuccess();
            const Duration elapsed = bootTime() - sentAt;
            // Without changes, the service has held the call for the whole timeout after it arrived.
            const bool timedOut = listing->items.empty() && elapsed >= timeout;
            m_asOf = std::max(m_asOf, listing->asOf);
            m_onItems(*listing, false, timedOut ? sentAt + timeout : sentAt);
            schedule(std::max(Duration(0), m_options.minWatchInterval - elapsed), false);
        });
}

StoreSession::StoreSession(GatewayContext& context, OnSharedKey onSharedKey, OnRunnerLeaving onRunnerLeaving)
    : m_context(context)
    , m_onSharedKey(std::move(onSharedKey))
    , m_onRunnerLeaving(std::move(onRunnerLeaving))
    , m_configuration(context,
          { "configuration", context.translator.configurationKey(), [this] { return configurationWatchTimeout(); },
              std::chrono::milliseconds(50) },
          [this](const KeyListing& listing, bool, Duration provenAt) { applyConfiguration(listing, provenAt); })
    , m_runners(context,
          { "runners", context.translator.runnersPrefix(), [] { return defaultWatchTimeout; },
              std::chrono::milliseconds(500) },
          [this](const KeyListing& listing, bool snapshot, Duration) { applyRunners(listing, snapshot); })
    , m_hosts(context,
          { "hosts", std::string(hostsPrefix), [] { return defaultWatchTimeout; }, std::chrono::milliseconds(1500) },
          [this](const KeyListing& listing, bool snapshot, Duration) { applyHosts(listing, snapshot); })
    , m_renewalTimer(context.loop)
{
    const auto retryAll = [this] {
        for (PrefixWatcher* watcher : { &m_configuration, &m_runners, &m_hosts })
            watcher->retryNow();
    };
    for (PrefixWatcher* watcher : { &m_configuration, &m_runners, &m_hosts })
        watcher->setOnRecovered(retryAll);
}

Duration StoreSession::configurationWatchTimeout() const
{
    return m_context.hosts.isLeader(m_context.now()) ? leaderWatchTimeout : defaultWatchTimeout;
}

void StoreSession::tick()
{
    const Duration now = bootTime();
    if (m_proofRequested || m_context.settings.keyTrust == Duration::zero() || !m_context.configuration.known()
        || now - m_context.configuration.provenAt() < proofRefreshAge || now < m_nextProofAt)
        return;
    m_proofRequested = true;
    m_context.metrics.count("store_calls", "kind", "proof");
    m_context.store.list(m_context.translator.configurationKey(), [this, now](absl::StatusOr<KeyListing> listing) {
        m_proofRequested = false;
        m_nextProofAt = bootTime() + proofRetryDelay;
        if (listing.ok())
            applyConfiguration(*listing, now);
        LogLine line("configuration-proof");
        line.add("status", reasonName(reasonOf(listing.status())));
        line.add("version", static_cast<std::int64_t>(m_context.configuration.version().value()));
        m_context.log.log(line);
    });
}

void StoreSession::offerSharedKey()
{
    std::string key;
    for (int i = 0; i < sharedKeyWordCount; ++i)
        key += fmt::format("{:016x}", m_context.random.next());
    m_context.store.putIfAbsent(std::string(sharedKeyPath), key, [this](const absl::Status& status) {
        LogLine line("shared-key-offered");
        line.add("status", reasonName(reasonOf(status)));
        m_context.log.log(line);
    });
}

void StoreSession::start()
{
    m_configuration.start();
    m_runners.start();
    registerHost();
    m_hosts.start();
}

std::string StoreSession::hostKey() const { return std::string(hostsPrefix) + m_context.settings.host.value(); }

void StoreSession::applyConfiguration(const KeyListing& listing, Duration provenAt)
{
    for (const KeyItem& item : listing.items) {
        if (item.key != m_context.translator.configurationKey() || item.removed)
            continue;
        auto table = m_context.translator.routingTable(item.value);
        if (!table.ok()) {
            LogLine line("configuration-unreadable");
            line.add("cause", std::string(table.status().message()));
            m_context.log.log(line);
            return;
        }
        const ConfigurationVersion version = table->version;
        if (version > m_context.configuration.version())
            m_context.configurationText = item.value;
        const bool accepted
            = m_context.configuration.accept(std::make_shared<const RoutingTable>(*std::move(table)), provenAt);
        LogLine line(accepted ? "configuration-in-force" : "configuration-passed-over");
        line.add("version", static_cast<std::int64_t>(version.value()));
        line.add("as_of", static_cast<std::int64_t>(listing.asOf.value()));
        m_context.log.log(line);
    }
    m_context.configuration.confirm(m_context.configuration.version(), provenAt);
    m_context.metrics.set("configuration_version", static_cast<double>(m_context.configuration.version().value()));
}

void StoreSession::applyRunners(const KeyListing& listing, bool snapshot)
{
    std::set<EndpointId> activeBefore;
    for (const auto& [id, runner] : m_context.runners.runners()) {
        if (!runner.entry.draining)
            activeBefore.insert(id);
    }
    std::vector<RunnerEntry> entries;
    for (const KeyItem& item : listing.items) {
        if (item.removed) {
            m_context.runners.remove(m_context.translator.runnerId(item.key));
        } else if (auto entry = m_context.translator.runnerEntry(item.key, item.value); entry.ok()) {
            logRunnerChange(*entry, listing.asOf);
            if (snapshot)
                entries.push_back(*std::move(entry));
            else
                m_context.runners.put(*std::move(entry));
        } else {
            // An invalid entry describes no runner, and the entry that it replaced is out of date.
            m_context.runners.remove(m_context.translator.runnerId(item.key));
            LogLine line("runner-unreadable");
            line.add("key", item.key).add("cause", std::string(entry.status().message()));
            m_context.log.log(line);
        }
    }
    if (snapshot)
        m_context.runners.replaceAll(entries);
    m_context.registryVersion = std::max(m_context.registryVersion, listing.asOf);
    m_context.registryReadAt = m_context.now();
    for (const EndpointId& id : activeBefore) {
        const RunnerDirectory::Runner* runner = m_context.runners.find(id);
        if (runner && !runner->entry.draining)
            continue;
        if (!runner) {
            LogLine line("runner-gone");
            line.add("runner", id.value()).add("as_of", static_cast<std::int64_t>(listing.asOf.value()));
            m_context.log.log(line);
        }
        m_onRunnerLeaving(id);
    }
}

void StoreSession::logRunnerChange(const RunnerEntry& entry, KeyVersion asOf)
{
    const RunnerDirectory::Runner* known = m_context.runners.find(entry.id);
    if (known && known->entry.layers == entry.layers && known->entry.draining == entry.draining)
        return;
    LogLine line("runner-changed");
    line.add("runner", entry.id.value()).add("draining", entry.draining ? 1 : 0);
    line.add("first", entry.layers.first).add("end", entry.layers.end);
    line.add("as_of", static_cast<std::int64_t>(asOf.value()));
    m_context.log.log(line);
}

void StoreSession::applyHosts(const KeyListing& listing, bool snapshot)
{
    const TimePoint now = m_context.now();
    std::vector<RegisteredHost> hosts;
    bool hasSharedKey = false;
    for (const KeyItem& item : listing.items) {
        if (item.key == sharedKeyPath) {
            hasSharedKey = !item.removed;
            if (hasSharedKey)
                m_onSharedKey(item.value);
            continue;
        }
        const HostId id(item.key.substr(std::min(item.key.size(), hostsPrefix.size())));
        if (item.removed) {
            m_context.hosts.unregister(id, now);
            LogLine line("host-unregistered");
            line.add("host", id.value()).add("as_of", static_cast<std::int64_t>(listing.asOf.value()));
            m_context.log.log(line);
            continue;
        }
        const json object = json::parse(item.value, nullptr, false);
        if (!object.is_object()) {
            m_context.log.log(LogLine("host-unreadable").add("host", id.value()));
            continue;
        }
        const RegisteredHost host { id, DataCentreId(object.value("data_centre", "")), object.value("address", "") };
        if (snapshot)
            hosts.push_back(host);
        else
            m_context.hosts.put(host, now);
    }
    if (snapshot)
        m_context.hosts.replaceAll(hosts, now);
    if (snapshot && !hasSharedKey)
        offerSharedKey();
}

void StoreSession::registerHost()
{
    if (m_unregistered)
        return;
    m_context.store.createLease(hostLeaseTtl, [this](absl::StatusOr<LeaseId> lease) {
        if (!lease.ok()) {
            m_context.log.log(LogLine("host-lease-refused").add("cause", reasonName(reasonOf(lease.status()))));
            m_lease = LeaseId();
            scheduleRenewal();
            return;
        }
        m_lease = *lease;
        const json value = { { "data_centre", m_context.settings.dataCentre.value() },
            { "address", m_context.settings.peerAddress.text() } };
        m_context.store.put(hostKey(), value.dump(), m_lease, [this](const absl::Status& status) {
            LogLine line("host-registered");
            line.add("status", reasonName(reasonOf(status)));
            m_context.log.log(line);
            if (!status.ok())
                m_lease = LeaseId();
            scheduleRenewal();
        });
    });
}

void StoreSession::scheduleRenewal()
{
    m_renewalTimer.expires_after(leaseRenewalPeriod);
    m_renewalTimer.async_wait([this](const asio::error_code& failure) {
        if (!failure)
            renewRegistration();
    });
}

void StoreSession::renewRegistration()
{
    if (m_unregistered)
        return;
    if (m_lease == LeaseId()) {
        registerHost();
        return;
    }
    m_context.store.renewLease(m_lease, [this](const absl::Status& status) {
        if (reasonOf(status) == Reason::StoreConflict)
            m_lease = LeaseId();
        scheduleRenewal();
    });
}

void StoreSession::unregisterHost()
{
    m_unregistered = true;
    if (m_lease == LeaseId())
        return;
    m_context.store.endLease(m_lease, [this](const absl::Status& status) {
        LogLine line("registration-ended");
        line.add("status", reasonName(reasonOf(status)));
        m_context.log.log(line);
    });
}

} // namespace fuchsialb
