#include "PrefixWatcher.h"

#include "DirectoryLog.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    constexpr Duration initialRetryDelay = std::chrono::milliseconds(150);
    constexpr std::uint32_t maxRetryDoublings = 3;
    // When the store comes back from an older copy, what was written since is there again after this time.
    constexpr Duration rewriteTime = std::chrono::milliseconds(2200);
    constexpr Duration minWatchTimeout = std::chrono::milliseconds(50);

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

void PrefixWatcher::tick()
{
    if (m_idle && (isNeeded() || relistDue()))
        proceed();
}

void PrefixWatcher::proceed()
{
    m_idle = !isNeeded() && !relistDue();
    if (m_idle)
        return;
    const DirectoryView* view = m_options.view;
    if (view ? view->needsListing(bootTime()) : m_asOf == KeyVersion() || relistDue())
        list(ReadFreshness::Newest);
    else
        watch();
}

void PrefixWatcher::expectRewrites()
{
    // A view tells by itself when entries that the store lacks are gone for good.
    if (!m_options.view)
        m_relistAt = bootTime() + rewriteTime;
}

bool PrefixWatcher::relistDue() const { return m_relistAt != Duration(0) && bootTime() >= m_relistAt; }

KeyVersion PrefixWatcher::version() const { return m_options.view ? m_options.view->version() : m_asOf; }

void PrefixWatcher::schedule(Duration delay, bool listing)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, listing](const asio::error_code& failure) {
        if (failure)
            return;
        m_retryPending = false;
        // While the store turns away this host only, others pass on the changes.
        if (listing && (isNeeded() || version() == KeyVersion()))
            list(ReadFreshness::Newest);
        else
            proceed();
    });
}

void PrefixWatcher::reportOutdatedWatch()
{
    LogLine line("watch-outdated");
    line.add("prefix", m_options.name).add("as_of", static_cast<std::int64_t>(version().value()));
    m_context.log.log(line);
    m_context.metrics.count("outdated_watches", "prefix", m_options.name);
}

void PrefixWatcher::reportUnreachable(const absl::Status& status)
{
    if (m_reachable || !m_reachabilityKnown) {
        LogLine line("store-lost");
        line.add("prefix", m_options.name).add("cause", reasonName(reasonOf(status)));
        line.add("as_of", static_cast<std::int64_t>(version().value()));
        m_context.log.log(line);
        m_reachabilityKnown = true;
    }
    m_reachable = false;
    m_context.metrics.count("store_failures", "prefix", m_options.name);
}

void PrefixWatcher::onFailure(const absl::Status& status)
{
    if (m_options.view && reasonOf(status) != Reason::StoreBehind)
        m_options.view->recordStoreFailure(bootTime());
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
    if (recovered)
        expectRewrites();
    m_reachable = true;
    m_reachabilityKnown = true;
    m_consecutiveFailures = 0;
    if (recovered && m_onRecovered)
        m_onRecovered();
}

bool PrefixWatcher::entersNewEra(const KeyListing& listing)
{
    if (listing.era <= m_era)
        return false;
    const StoreEra before = std::exchange(m_era, listing.era);
    if (before == StoreEra() && version() == KeyVersion())
        return false;
    LogLine line("store-era");
    line.add("prefix", m_options.name).add("era", static_cast<std::int64_t>(listing.era.value()));
    line.add("as_of", static_cast<std::int64_t>(listing.asOf.value()));
    m_context.log.log(line);
    expectRewrites();
    return true;
}

bool PrefixWatcher::recordListing(const KeyListing& listing, bool snapshot, Duration provenAt)
{
    DirectoryView* view = m_options.view;
    if (!view) {
        m_asOf = listing.asOf;
        return true;
    }
    const KeyVersion known = view->version();
    const bool isNewer = snapshot ? view->recordSnapshot(listing.era, listing.asOf, provenAt, listing.items)
                                  : view->recordChanges(listing.era, listing.items, listing.asOf, provenAt);
    if (isNewer && (snapshot || !listing.items.empty()))
        logDirectoryUpdate(m_context.log, { m_options.name, snapshot ? "listing" : "watch" }, listing.era, known,
            listing.asOf, listing.items);
    return isNewer;
}

void PrefixWatcher::list(ReadFreshness freshness)
{
    const Duration sentAt = bootTime();
    m_context.metrics.count("store_calls", "kind", "list-" + m_options.name);
    m_context.store.list(m_options.range, freshness,
        [this, sentAt](absl::StatusOr<KeyListing> listing) { handleListing(std::move(listing), sentAt); });
}

void PrefixWatcher::handleListing(absl::StatusOr<KeyListing> listing, Duration sentAt)
{
    if (m_onCall)
        m_onCall(listing.status());
    if (!listing.ok()) {
        onFailure(listing.status());
        return;
    }
    onSuccess();
    entersNewEra(*listing);
    if (relistDue())
        m_relistAt = Duration(0);
    if (recordListing(*listing, true, sentAt))
        m_onItems(*listing, true, sentAt);
    proceed();
}

void PrefixWatcher::watch()
{
    const Duration sentAt = bootTime();
    Duration timeout = m_options.watchTimeout();
    if (m_relistAt != Duration(0))
        timeout = std::clamp(m_relistAt - sentAt, minWatchTimeout, timeout);
    m_context.metrics.count("store_calls", "kind", "watch-" + m_options.name);
    m_context.store.watch(
        m_options.range, version(), timeout, [this, sentAt, timeout](absl::StatusOr<KeyListing> listing) {
            handleChanges(std::move(listing), sentAt, timeout);
        });
}

void PrefixWatcher::handleChanges(absl::StatusOr<KeyListing> listing, Duration sentAt, Duration timeout)
{
    if (m_onCall)
        m_onCall(listing.status());
    if (!listing.ok()) {
        onFailure(listing.status());
        return;
    }
    onSuccess();
    if (entersNewEra(*listing)) {
        // The version that was watched from may have another content now, so changes may be missing.
        if (m_options.view)
            m_options.view->reset(listing->era, bootTime());
        list(ReadFreshness::Newest);
        return;
    }
    const Duration elapsed = bootTime() - sentAt;
    // Without changes, the service has held the call for the whole timeout after it arrived.
    const bool timedOut = listing->items.empty() && elapsed >= timeout;
    const Duration provenAt = timedOut ? sentAt + timeout : sentAt;
    if (recordListing(*listing, false, provenAt))
        m_onItems(*listing, false, provenAt);
    schedule(std::max(Duration(0), m_options.minWatchInterval - elapsed), false);
}

} // namespace fuchsialb
