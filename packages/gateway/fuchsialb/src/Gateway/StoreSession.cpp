#include "StoreSession.h"

#include <set>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace fuchsialb {

namespace {

    using nlohmann::json;

    constexpr std::string_view hostsPrefix = "fuchsialb/hosts/";
    // A host that is gone leaves the list after this time; its duties pass to the next one.
    constexpr Duration hostLease = std::chrono::seconds(5);
    constexpr Duration renewPeriod = std::chrono::milliseconds(1500);
    constexpr Duration firstRetry = std::chrono::milliseconds(150);
    constexpr std::uint32_t mostDoublings = 3;
    // Where all hosts agree on a key for their messages.
    constexpr std::string_view sharedKey = "fuchsialb/hosts/.key";
    constexpr int sharedKeyWords = 4;
    // The leading host's watch of the configuration proves that keys are still valid, and it tells the others; so it
    // ends well inside the time that keys are trusted without proof.
    constexpr Duration provingWait = std::chrono::milliseconds(2000);
    constexpr Duration longWait = std::chrono::seconds(20);
    // Age of the proof at which a host that was told nothing newer asks the store itself.
    constexpr Duration proofWanted = std::chrono::milliseconds(3000);
    constexpr Duration proofRetry = std::chrono::milliseconds(1000);

} // namespace

PrefixFollower::PrefixFollower(GatewayContext& context, Options options, OnItems onItems)
    : m_context(context)
    , m_options(std::move(options))
    , m_onItems(std::move(onItems))
    , m_timer(context.loop)
{
}

void PrefixFollower::retryNow()
{
    if (m_backingOff)
        again(Duration(0), true);
}

void PrefixFollower::again(Duration delay, bool listing)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, listing](const asio::error_code& failure) {
        if (failure)
            return;
        m_backingOff = false;
        if (listing)
            list();
        else
            watch();
    });
}

void PrefixFollower::failed(const absl::Status& status)
{
    if (m_reachable || !m_everReachable) {
        LogLine line("store-lost");
        line.add("prefix", m_options.name).add("cause", reasonName(reasonOf(status)));
        line.add("as_of", static_cast<std::int64_t>(m_asOf.value()));
        m_context.log.log(line);
        m_everReachable = true;
    }
    m_reachable = false;
    m_context.metrics.count("store_failures", "prefix", m_options.name);
    // A listing is answered at once, so it shows sooner than a watch that the store is back.
    const Duration delay = firstRetry * (1U << std::min(m_failures, mostDoublings));
    ++m_failures;
    const auto jitter = m_context.random.below(static_cast<std::uint64_t>(delay.count()));
    again(delay + Duration(static_cast<Duration::rep>(jitter)), true);
    m_backingOff = true;
}

void PrefixFollower::answered()
{
    if (!m_reachable) {
        LogLine line("store-reached");
        line.add("prefix", m_options.name);
        m_context.log.log(line);
    }
    const bool back = m_everReachable && !m_reachable;
    m_reachable = true;
    m_everReachable = true;
    m_failures = 0;
    if (back && m_onReached)
        m_onReached();
}

void PrefixFollower::list()
{
    const Duration sentAt = bootTime();
    m_context.metrics.count("store_calls", "kind", "list");
    m_context.store.list(m_options.prefix, [this, sentAt](absl::StatusOr<KeyListing> listing) {
        if (!listing.ok()) {
            failed(listing.status());
            return;
        }
        answered();
        m_asOf = listing->asOf;
        m_onItems(*listing, true, sentAt);
        watch();
    });
}

void PrefixFollower::watch()
{
    const Duration sentAt = bootTime();
    const Duration wait = m_options.wait();
    m_context.metrics.count("store_calls", "kind", "watch");
    m_context.store.watch(m_options.prefix, m_asOf, wait, [this, sentAt, wait](absl::StatusOr<KeyListing> listing) {
        if (!listing.ok()) {
            failed(listing.status());
            return;
        }
        answered();
        const Duration elapsed = bootTime() - sentAt;
        // Without changes the service has waited for the whole time after the call arrived.
        const bool waited = listing->items.empty() && elapsed >= wait;
        m_asOf = std::max(m_asOf, listing->asOf);
        m_onItems(*listing, false, waited ? sentAt + wait : sentAt);
        again(std::max(Duration(0), m_options.spacing - elapsed), false);
    });
}

StoreSession::StoreSession(GatewayContext& context, OnKey onKey, OnRunnerLeaving onRunnerLeaving)
    : m_context(context)
    , m_onKey(std::move(onKey))
    , m_onRunnerLeaving(std::move(onRunnerLeaving))
    , m_configuration(context,
          { "configuration", context.translator.configurationKey(), [this] { return configurationWait(); },
              std::chrono::milliseconds(50) },
          [this](const KeyListing& listing, bool, Duration provenAt) { takeConfiguration(listing, provenAt); })
    , m_runners(context,
          { "runners", context.translator.runnersPrefix(), [] { return longWait; }, std::chrono::milliseconds(500) },
          [this](const KeyListing& listing, bool whole, Duration) { takeRunners(listing, whole); })
    , m_hosts(context, { "hosts", std::string(hostsPrefix), [] { return longWait; }, std::chrono::milliseconds(1500) },
          [this](const KeyListing& listing, bool whole, Duration) { takeHosts(listing, whole); })
    , m_timer(context.loop)
{
    const auto retryAll = [this] {
        for (PrefixFollower* follower : { &m_configuration, &m_runners, &m_hosts })
            follower->retryNow();
    };
    for (PrefixFollower* follower : { &m_configuration, &m_runners, &m_hosts })
        follower->setOnReached(retryAll);
}

Duration StoreSession::configurationWait() const
{
    return m_context.hosts.isLeader(m_context.now()) ? provingWait : longWait;
}

void StoreSession::tick()
{
    const Duration now = bootTime();
    if (m_proofAsked || m_context.settings.keyTrust == Duration::zero() || !m_context.configuration.known()
        || now - m_context.configuration.provenAt() < proofWanted || now < m_nextProof)
        return;
    m_proofAsked = true;
    m_context.metrics.count("store_calls", "kind", "proof");
    m_context.store.list(m_context.translator.configurationKey(), [this, now](absl::StatusOr<KeyListing> listing) {
        m_proofAsked = false;
        m_nextProof = bootTime() + proofRetry;
        if (listing.ok())
            takeConfiguration(*listing, now);
        LogLine line("configuration-proof");
        line.add("status", reasonName(reasonOf(listing.status())));
        line.add("version", static_cast<std::int64_t>(m_context.configuration.version().value()));
        m_context.log.log(line);
    });
}

void StoreSession::makeSharedKey()
{
    std::string key;
    for (int i = 0; i < sharedKeyWords; ++i)
        key += fmt::format("{:016x}", m_context.random.next());
    m_context.store.putIfAbsent(std::string(sharedKey), key, [this](const absl::Status& status) {
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

void StoreSession::takeConfiguration(const KeyListing& listing, Duration provenAt)
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
        const bool taken
            = m_context.configuration.accept(std::make_shared<const RoutingTable>(*std::move(table)), provenAt);
        LogLine line(taken ? "configuration-in-force" : "configuration-passed-over");
        line.add("version", static_cast<std::int64_t>(version.value()));
        line.add("as_of", static_cast<std::int64_t>(listing.asOf.value()));
        m_context.log.log(line);
    }
    m_context.configuration.confirm(m_context.configuration.version(), provenAt);
    m_context.metrics.set("configuration_version", static_cast<double>(m_context.configuration.version().value()));
}

void StoreSession::takeRunners(const KeyListing& listing, bool whole)
{
    std::set<EndpointId> served;
    for (const auto& [id, runner] : m_context.runners.runners()) {
        if (!runner.entry.draining)
            served.insert(id);
    }
    std::vector<RunnerEntry> entries;
    for (const KeyItem& item : listing.items) {
        if (item.removed) {
            m_context.runners.remove(m_context.translator.runnerId(item.key));
        } else if (auto entry = m_context.translator.runnerEntry(item.key, item.value); entry.ok()) {
            logChange(*entry, listing.asOf);
            if (whole)
                entries.push_back(*std::move(entry));
            else
                m_context.runners.put(*std::move(entry));
        } else {
            // An entry that can't be used names no runner; what it replaced is no longer true.
            m_context.runners.remove(m_context.translator.runnerId(item.key));
            LogLine line("runner-unreadable");
            line.add("key", item.key).add("cause", std::string(entry.status().message()));
            m_context.log.log(line);
        }
    }
    if (whole)
        m_context.runners.replaceAll(entries);
    m_context.registryVersion = std::max(m_context.registryVersion, listing.asOf);
    m_context.registryReadAt = m_context.now();
    for (const EndpointId& id : served) {
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

void StoreSession::logChange(const RunnerEntry& entry, KeyVersion asOf)
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

void StoreSession::takeHosts(const KeyListing& listing, bool whole)
{
    const TimePoint now = m_context.now();
    std::vector<RegisteredHost> hosts;
    bool keyed = false;
    for (const KeyItem& item : listing.items) {
        if (item.key == sharedKey) {
            keyed = !item.removed;
            if (keyed)
                m_onKey(item.value);
            continue;
        }
        const HostId id(item.key.substr(std::min(item.key.size(), hostsPrefix.size())));
        if (item.removed) {
            m_context.hosts.unregister(id);
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
        if (whole)
            hosts.push_back(host);
        else
            m_context.hosts.put(host, now);
    }
    if (whole)
        m_context.hosts.replaceAll(hosts, now);
    if (whole && !keyed)
        makeSharedKey();
}

void StoreSession::registerHost()
{
    if (m_leaving)
        return;
    m_context.store.createLease(hostLease, [this](absl::StatusOr<LeaseId> lease) {
        if (!lease.ok()) {
            m_context.log.log(LogLine("host-lease-refused").add("cause", reasonName(reasonOf(lease.status()))));
            m_lease = LeaseId();
            renewLater();
            return;
        }
        m_lease = *lease;
        const json value = { { "data_centre", m_context.settings.dataCentre.value() },
            { "address", m_context.settings.peers.text() } };
        m_context.store.put(hostKey(), value.dump(), m_lease, [this](const absl::Status& status) {
            LogLine line("host-registered");
            line.add("status", reasonName(reasonOf(status)));
            m_context.log.log(line);
            if (!status.ok())
                m_lease = LeaseId();
            renewLater();
        });
    });
}

void StoreSession::renewLater()
{
    m_timer.expires_after(renewPeriod);
    m_timer.async_wait([this](const asio::error_code& failure) {
        if (!failure)
            renew();
    });
}

void StoreSession::renew()
{
    if (m_leaving)
        return;
    if (m_lease == LeaseId()) {
        registerHost();
        return;
    }
    m_context.store.renewLease(m_lease, [this](const absl::Status& status) {
        if (reasonOf(status) == Reason::StoreConflict)
            m_lease = LeaseId();
        renewLater();
    });
}

void StoreSession::leave()
{
    m_leaving = true;
    if (m_lease == LeaseId())
        return;
    m_context.store.endLease(m_lease, [this](const absl::Status& status) {
        LogLine line("registration-ended");
        line.add("status", reasonName(reasonOf(status)));
        m_context.log.log(line);
    });
}

} // namespace fuchsialb
