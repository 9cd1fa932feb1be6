#include "StoreSession.h"

#include "DirectoryLog.h"

#include "fuchsialb/Json.h"

#include <algorithm>
#include <set>

namespace fuchsialb {

namespace {

    using nlohmann::json;

    constexpr std::string_view hostsPrefix = "fuchsialb/hosts/";
    // Beats show within a second whether a host lives. The registration only tells new hosts where the others are, so
    // it may outlive a failed host by this time.
    constexpr Duration hostLeaseTtl = std::chrono::seconds(15);
    constexpr Duration leaseRenewalPeriod = std::chrono::seconds(5);
    constexpr Duration registrationRetryDelay = std::chrono::milliseconds(1500);
    // Store key of the secret that authenticates messages between hosts; the first host to write it sets it for all.
    constexpr std::string_view sharedKeyPath = "fuchsialb/hosts/.key";
    constexpr int sharedKeyWordCount = 4;
    // The second host that watches the configuration takes over from the first one; its proofs aren't needed.
    constexpr Duration secondWatchTimeout = std::chrono::seconds(5);
    constexpr Duration hostsWatchTimeout = std::chrono::seconds(8);
    constexpr Duration maxHostsAge = std::chrono::seconds(11);
    // Runners may end without notice, so the registry isn't left to get older than this, whatever its bound allows.
    constexpr Duration maxRunnersWatchTimeout = std::chrono::milliseconds(1000);
    constexpr Duration maxRunnersAge = std::chrono::milliseconds(1700);
    // Proofs take this much longer through the leaders of cells.
    constexpr Duration cellRelayTime = std::chrono::milliseconds(500);
    // When the store comes back from an older copy, what the operator has written is there again after this time.
    constexpr Duration rewriteTime = std::chrono::milliseconds(2200);
    // Entries of hosts are far smaller.
    constexpr std::size_t maxHostEntryBytes = 4096;

    /// \return The registration of a host, or nothing if the value is none.
    std::optional<RegisteredHost> parseHost(const HostId& id, const std::string& value)
    {
        const json object = parseJson(value);
        if (!object.is_object())
            return std::nullopt;
        const auto text = [&](const char* name) {
            const auto field = object.find(name);
            return field != object.end() && field->is_string() ? field->get<std::string>() : std::string();
        };
        if (text("data_centre").empty() || text("address").empty())
            return std::nullopt;
        return RegisteredHost { id, DataCentreId(text("data_centre")), text("address") };
    }

    void keepHostEntry(KeyItem& item)
    {
        if (item.value.size() > maxHostEntryBytes)
            item.reduceTo({});
    }

    KeyRange runnersRange(const Translator& translator)
    {
        return { translator.runnersPrefix(), [&translator](KeyItem& item) { translator.reduceRunnerEntry(item); } };
    }

    /// Other keys may begin with that of the configuration.
    KeyRange configurationRange(const Translator& translator)
    {
        return { translator.configurationKey(), [key = translator.configurationKey()](KeyItem& item) {
                    if (item.key != key)
                        item.reduceTo({});
                } };
    }

} // namespace

StoreSession::StoreSession(GatewayContext& context, OnSharedKey onSharedKey)
    : m_context(context)
    , m_onSharedKey(std::move(onSharedKey))
    , m_configuration(context,
          { "configuration", configurationRange(context.translator),
              [this] {
                  return m_context.hosts.readsStoreFirst(m_context.now()) ? configurationSchedule().watchTimeout
                                                                          : secondWatchTimeout;
              },
              std::chrono::milliseconds(50), [this] { return readsStore() || !m_context.configuration.known(); } },
          [this](const KeyListing& listing, bool snapshot, Duration provenAt) {
              applyConfiguration(listing, snapshot, provenAt);
          })
    , m_runners(context,
          { "runners", runnersRange(context.translator), [this] { return registrySchedule().watchTimeout; },
              std::chrono::milliseconds(500),
              [this] { return needsWatch(m_context.runnersView, registrySchedule().maxAge); }, &context.runnersView,
              ReadFreshness::MayBeStale },
          [this](const KeyListing& listing, bool snapshot, Duration) { applyRunners(listing, snapshot); })
    , m_hosts(context,
          { "hosts", { std::string(hostsPrefix), keepHostEntry }, [] { return hostsWatchTimeout; },
              std::chrono::milliseconds(1500),
              [this] { return needsWatch(m_context.hostsView, maxHostsAge + relayTimeOfCells()); },
              &context.hostsView },
          [this](const KeyListing& listing, bool snapshot, Duration) { applyHosts(listing, snapshot); })
    , m_renewalTimer(context.loop)
{
    const auto retryAll = [this] {
        for (PrefixWatcher* watcher : { &m_configuration, &m_runners, &m_hosts })
            watcher->retryNow();
    };
    for (PrefixWatcher* watcher : { &m_configuration, &m_runners, &m_hosts }) {
        watcher->setOnRecovered(retryAll);
        watcher->setOnCall([this](const absl::Status& status) { recordStoreCall(status); });
    }
}

bool StoreSession::readsStore() const { return m_context.hosts.readsStore(m_context.now()); }

Duration StoreSession::relayTimeOfCells() const { return m_context.hosts.cells() > 1 ? cellRelayTime : Duration(0); }

ReadSchedule StoreSession::configurationSchedule() const
{
    return ReadSchedule::forBound(m_context.settings.configurationBound, m_context.hosts.cells());
}

ReadSchedule StoreSession::registrySchedule() const
{
    const ReadSchedule schedule = ReadSchedule::forBound(m_context.settings.registryBound, m_context.hosts.cells());
    return { std::min<Duration>(schedule.watchTimeout, maxRunnersWatchTimeout),
        std::min<Duration>(schedule.maxAge, maxRunnersAge + relayTimeOfCells()) };
}

bool StoreSession::needsWatch(const DirectoryView& view, Duration maxAge) const
{
    return readsStore() || !view.isRecent(bootTime(), maxAge);
}

void StoreSession::tick(ConfigurationVersion heard)
{
    for (PrefixWatcher* watcher : { &m_configuration, &m_runners, &m_hosts })
        watcher->tick();
    removeMissingRunners();
    offerSharedKey();
    const Bytes kept = m_context.runnersView.keptBytes() + m_context.hostsView.keptBytes();
    m_context.metrics.set("kept_change_bytes", static_cast<double>(kept.value()));
    const ConfigurationRead read
        = m_refresh.next(m_context.configuration, heard, configurationSchedule().maxAge, bootTime());
    if (read != ConfigurationRead::None)
        readConfiguration(read);
}

void StoreSession::readConfiguration(ConfigurationRead read)
{
    m_context.metrics.count("store_calls", "kind", "read-configuration");
    const bool isNewest = read == ConfigurationRead::Newest;
    m_context.store.list(configurationRange(m_context.translator),
        isNewest ? ReadFreshness::Newest : ReadFreshness::MayBeStale,
        [this, read, isNewest, sentAt = bootTime()](const absl::StatusOr<KeyListing>& listing) {
            const Duration now = bootTime();
            m_refresh.recordEnd(read, now);
            LogLine line("configuration-read");
            line.add("status", reasonName(reasonOf(listing.status())));
            line.add("newest", isNewest ? 1 : 0);
            const Duration proofAge = now - m_context.configuration.provenAt();
            line.add("proof_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(proofAge).count());
            // A copy that may be outdated proves nothing.
            if (listing.ok())
                applyConfiguration(*listing, true, isNewest ? std::optional(sentAt) : std::nullopt);
            recordStoreCall(listing.status());
            line.add("version", static_cast<std::int64_t>(m_context.configuration.version().value()));
            m_context.log.log(line);
        });
}

void StoreSession::recordStoreCall(const absl::Status& status)
{
    const Duration now = bootTime();
    const bool wasLost = m_context.storeReach.isLost(now);
    // A store that no longer keeps the requested changes has answered.
    if (status.ok() || reasonOf(status) == Reason::StoreBehind)
        m_context.storeReach.recordSuccess();
    else
        m_context.storeReach.recordFailure(now);
    if (wasLost != m_context.storeReach.isLost(now))
        m_context.log.log(LogLine(wasLost ? "store-answers" : "store-turns-away")
                              .add("reads", readsStore() ? 1 : 0)
                              .add("status", reasonName(reasonOf(status))));
}

void StoreSession::receiveRunners(const HostId& from, const DirectoryUpdate& update)
{
    logDirectoryUpdate(
        m_context.log, { "runners", from.value() }, update.era, update.from, update.version, update.changes);
    applyRunners({ update.changes, update.version, update.era }, false);
}

void StoreSession::receiveHosts(const HostId& from, const DirectoryUpdate& update)
{
    logDirectoryUpdate(
        m_context.log, { "hosts", from.value() }, update.era, update.from, update.version, update.changes);
    applyHosts({ update.changes, update.version, update.era }, false);
}

void StoreSession::offerSharedKey()
{
    if (!m_sharedKeyMissing || !m_context.hostsView.isSettled(bootTime()))
        return;
    m_sharedKeyMissing = false;
    // A store that came back from an older copy may lack the key that the hosts use.
    std::string key = m_sharedKey;
    for (int i = 0; m_sharedKey.empty() && i < sharedKeyWordCount; ++i)
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

bool StoreSession::provesNewest(const KeyListing& listing, Duration provenAt)
{
    if (listing.era > m_era) {
        // The first era that a host sees may have begun long ago.
        if (m_context.configuration.known())
            m_eraSeenAt = bootTime();
        m_era = listing.era;
    }
    return listing.era == m_era && (m_eraSeenAt == Duration(0) || provenAt - m_eraSeenAt >= rewriteTime);
}

void StoreSession::applyConfiguration(const KeyListing& listing, bool snapshot, std::optional<Duration> provenAt)
{
    if (provenAt && !provesNewest(listing, *provenAt))
        provenAt.reset();
    // A store that came back from an older copy may hold an older version than the one in force.
    bool isInForce = !snapshot;
    for (const KeyItem& item : listing.items) {
        if (item.key != m_context.translator.configurationKey())
            continue;
        if (item.removed) {
            isInForce = false;
            continue;
        }
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
        const bool accepted = m_context.configuration.accept(
            std::make_shared<const RoutingTable>(*std::move(table)), provenAt.value_or(Duration(0)));
        isInForce = version == m_context.configuration.version();
        LogLine line(accepted ? "configuration-in-force" : "configuration-passed-over");
        line.add("version", static_cast<std::int64_t>(version.value()));
        line.add("as_of", static_cast<std::int64_t>(listing.asOf.value()));
        m_context.log.log(line);
    }
    if (provenAt && isInForce)
        m_context.configuration.confirm(m_context.configuration.version(), *provenAt);
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
            m_context.runners.recordMissing(m_context.translator.runnerId(item.key));
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
        m_context.runners.recordListing(entries);
    m_context.registryVersion = listing.asOf;
    m_context.registryReadAt = m_context.now();
    for (const EndpointId& id : activeBefore) {
        const RunnerDirectory::Runner* runner = m_context.runners.find(id);
        if (!runner || runner->entry.draining)
            m_context.onRunnerLeaving(id);
    }
    removeMissingRunners();
}

void StoreSession::removeMissingRunners()
{
    if (!m_context.runnersView.isSettled(bootTime()))
        return;
    for (const RunnerEntry& entry : m_context.runners.removeMissing()) {
        LogLine line("runner-gone");
        line.add("runner", entry.id.value());
        line.add("as_of", static_cast<std::int64_t>(m_context.registryVersion.value()));
        m_context.log.log(line);
        if (!entry.draining)
            m_context.onRunnerLeaving(entry.id);
    }
}

void StoreSession::logRunnerChange(const RunnerEntry& entry, KeyVersion asOf)
{
    const RunnerDirectory::Runner* known = m_context.runners.find(entry.id);
    if (known && known->entry.layers == entry.layers && known->drainingInRegistry == entry.draining)
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
            if (hasSharedKey) {
                m_sharedKey = item.value;
                m_onSharedKey(item.value);
            }
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
        const auto registered = parseHost(id, item.value);
        if (!registered) {
            m_context.log.log(LogLine("host-unreadable").add("host", id.value()));
            continue;
        }
        const RegisteredHost& host = *registered;
        if (snapshot)
            hosts.push_back(host);
        else
            m_context.hosts.put(host, now);
    }
    if (snapshot)
        m_context.hosts.replaceAll(hosts, now);
    if (hasSharedKey)
        m_sharedKeyMissing = false;
    else if (snapshot)
        m_sharedKeyMissing = true;
    offerSharedKey();
}

void StoreSession::registerHost()
{
    if (m_unregistered)
        return;
    m_context.metrics.count("store_calls", "kind", "lease");
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
    m_renewalTimer.expires_after(m_lease == LeaseId() ? registrationRetryDelay : leaseRenewalPeriod);
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
    m_context.metrics.count("store_calls", "kind", "renewal");
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
