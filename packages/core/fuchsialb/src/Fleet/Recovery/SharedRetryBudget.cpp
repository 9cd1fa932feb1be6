#include "SharedRetryBudget.h"

#include <algorithm>
#include <cmath>

namespace fuchsialb {

namespace {

    // Figures of other hosts are out of date by the time that beats take, and a host learns of changes in the number of
    // hosts with a delay. The unused part keeps the total below the limit meanwhile.
    constexpr double usedFraction = 0.7;
    // Part of the hosts that is heard usually, while some start again.
    constexpr double mostHosts = 0.75;
    // Time in which all hosts learn of a retry by beats, over cells and data centres.
    constexpr Duration newsTime = std::chrono::milliseconds(2500);
    // The same for the hosts of one data centre.
    constexpr Duration nearbyNewsTime = std::chrono::milliseconds(800);
    // Part of what is free that all hosts may take at once.
    constexpr double immediateFraction = 0.85;
    // Part for requests that wait. Both halves of a data centre may take it while they don't know yet that they are cut
    // off from each other.
    constexpr double waitingFraction = 0.12;
    // Part of the allowance that a process has for a window after its start.
    constexpr double shareAtStart = 0.25;

    double usableFraction(SharedRetryBudget::Purpose purpose)
    {
        switch (purpose) {
        case SharedRetryBudget::Purpose::Resume:
            return 1;
        case SharedRetryBudget::Purpose::Repeat:
            return 0.9;
        case SharedRetryBudget::Purpose::Hedge:
            return 0.5;
        }
        return 0;
    }

    /// \return Whether this host is among most hosts of its data centre, which hear each other, and not alone.
    bool hearsDataCentre(const SharedRetryBudget::Fleet& fleet)
    {
        const RetryUse& nearby = fleet.ledger.nearbyRetries();
        return nearby.hosts + fleet.ledger.remoteRetries().hosts > 0
            && 1 + nearby.hosts >= mostHosts * static_cast<double>(fleet.nearbyHosts);
    }

} // namespace

double SharedRetryBudget::Account::count(TimePoint from, bool hasWaited) const
{
    return static_cast<double>(std::count_if(retries.begin(), retries.end(),
        [&](const Retry& retry) { return retry.at > from && retry.hasWaited == hasWaited; }));
}

double SharedRetryBudget::Account::countWaiting(TimePoint end) const
{
    return static_cast<double>(std::distance(waiting.begin(), waiting.upper_bound(end)));
}

void SharedRetryBudget::expire(TimePoint now)
{
    for (auto& [service, account] : m_accounts) {
        while (!account.requests.empty() && now - account.requests.front() >= m_limits.window)
            account.requests.pop_front();
        while (!account.retries.empty() && now - account.retries.front().at >= m_limits.window)
            account.retries.pop_front();
    }
    for (auto& [service, lost] : m_lost)
        std::erase_if(lost, [&](const LostRetries& item) { return now - item.at >= m_limits.window; });
    std::erase_if(m_lost, [](const auto& item) { return item.second.empty(); });
    std::erase_if(m_accounts, [](const auto& item) {
        return item.second.requests.empty() && item.second.retries.empty() && item.second.waiting.empty();
    });
}

double SharedRetryBudget::share(TimePoint now) const { return now - m_startedAt < m_limits.window ? shareAtStart : 1; }

double SharedRetryBudget::ownAllowed(const Account& account, const Fleet& fleet, TimePoint now) const
{
    const double allowance = m_limits.allowance * share(now) / static_cast<double>(fleet.hosts);
    return usedFraction * (m_limits.ratio * static_cast<double>(account.requests.size()) + allowance);
}

double SharedRetryBudget::othersRetries(const TargetId& service, const Fleet& fleet) const
{
    double retries
        = fleet.ledger.nearbyRetries().of(service).retries + fleet.ledger.remoteRetries().of(service).retries;
    if (const auto lost = m_lost.find(service); lost != m_lost.end()) {
        for (const LostRetries& item : lost->second)
            retries += item.count;
    }
    return retries;
}

void SharedRetryBudget::observe(const LoadLedger& ledger, TimePoint now)
{
    const double hosts = ledger.nearbyRetries().hosts + ledger.remoteRetries().hosts;
    std::map<TargetId, double> seen;
    for (const RetryUse* use : { &ledger.nearbyRetries(), &ledger.remoteRetries() }) {
        for (const auto& [service, retries] : use->services)
            seen[service] += retries.retries;
    }
    for (const auto& [service, before] : m_seen) {
        const double change = seen[service] - before;
        if (hosts < m_seenHosts && change < 0)
            m_lost[service].push_back({ now, -change });
        if (hosts <= m_seenHosts || !m_lost.contains(service))
            continue;
        std::deque<LostRetries>& lost = m_lost[service];
        // Those that are heard again bring their retries with them.
        for (double back = change; back > 0 && !lost.empty(); lost.pop_back()) {
            if (lost.back().count > back) {
                lost.back().count -= back;
                break;
            }
            back -= lost.back().count;
        }
    }
    m_seen = std::move(seen);
    m_seenHosts = hosts;
}

double SharedRetryBudget::allowed(
    const Account& account, const TargetId& service, const Fleet& fleet, TimePoint now) const
{
    if (!hearsDataCentre(fleet))
        return ownAllowed(account, fleet, now);
    const RetryUse& nearby = fleet.ledger.nearbyRetries();
    const RetryUse& remote = fleet.ledger.remoteRetries();
    const double heard = 1 + nearby.hosts + remote.hosts;
    const double hosts = std::max(static_cast<double>(fleet.hosts), heard);
    const double shares = share(now) + nearby.shares + remote.shares;
    const double requests
        = static_cast<double>(account.requests.size()) + nearby.of(service).requests + remote.of(service).requests;
    return usedFraction * (m_limits.ratio * requests + m_limits.allowance * shares / hosts);
}

double SharedRetryBudget::wholeShare(double share, TimePoint now) const
{
    const auto period = static_cast<double>(now.time_since_epoch() / newsTime);
    // Multiples of the golden ratio are spread evenly.
    constexpr double goldenRatio = 0.618'033'988'75;
    double whole = 0;
    const double phase = std::modf(m_phase + goldenRatio * period, &whole);
    return std::floor(share + phase);
}

void SharedRetryBudget::recordRequest(const TargetId& service, TimePoint now)
{
    expire(now);
    m_accounts[service].requests.push_back(now);
}

bool SharedRetryBudget::tryTake(const Request& request, const Fleet& fleet, TimePoint now)
{
    expire(now);
    Account& account = m_accounts[request.service];
    if (hearsDataCentre(fleet)) {
        if (!tryTakeShared(account, request, fleet, now))
            return false;
    } else {
        // What the others are known to have used before is no longer there for any host.
        const double others = othersRetries(request.service, fleet);
        const double left = account.allowedBefore > 0 ? std::max(0.0, 1 - others / account.allowedBefore) : 1;
        const double usable = usableFraction(request.purpose) * left * ownAllowed(account, fleet, now);
        if (static_cast<double>(account.retries.size()) + 1 > usable)
            return false;
        account.retries.push_back({ now, false });
    }
    m_lastTaken = request.service;
    return true;
}

bool SharedRetryBudget::tryTakeShared(Account& account, const Request& request, const Fleet& fleet, TimePoint now) const
{
    const ServiceRetries nearby = fleet.ledger.nearbyRetries().of(request.service);
    const double nearbyHosts = 1 + fleet.ledger.nearbyRetries().hosts;
    const double heard = nearbyHosts + fleet.ledger.remoteRetries().hosts;
    const double immediate = account.count(now - newsTime, false);
    const double waited = account.count(now - newsTime, true);
    const double known
        = othersRetries(request.service, fleet) + static_cast<double>(account.retries.size()) - immediate - waited;
    account.allowedBefore = allowed(account, request.service, fleet, now);
    const double free = usableFraction(request.purpose) * account.allowedBefore - known;
    if (immediate + 1 <= wholeShare(immediateFraction * free / heard, now)) {
        account.retries.push_back({ now, false });
        return true;
    }
    if (!request.waitingSince || now - *request.waitingSince < nearbyNewsTime)
        return false;
    // The others know of those that have waited for long enough.
    const double own = account.countWaiting(now - nearbyNewsTime) + waited;
    const double all = std::max(own + nearby.waiting, 1.0);
    const double dataCentre = waitingFraction * free * nearbyHosts / heard;
    if (waited + 1 > dataCentre * own / all)
        return false;
    account.retries.push_back({ now, true });
    return true;
}

void SharedRetryBudget::addWaiting(const TargetId& service, TimePoint since)
{
    m_accounts[service].waiting.insert(since);
}

void SharedRetryBudget::removeWaiting(const TargetId& service, TimePoint since)
{
    auto& waiting = m_accounts[service].waiting;
    if (const auto found = waiting.find(since); found != waiting.end())
        waiting.erase(found);
}

void SharedRetryBudget::giveBack()
{
    if (const auto account = m_lastTaken ? m_accounts.find(*m_lastTaken) : m_accounts.end();
        account != m_accounts.end() && !account->second.retries.empty())
        account->second.retries.pop_back();
    m_lastTaken.reset();
}

RetryUse SharedRetryBudget::use(TimePoint now)
{
    expire(now);
    RetryUse use { 1, share(now), {} };
    for (const auto& [service, account] : m_accounts) {
        use.services[service]
            = { static_cast<double>(account.requests.size()), static_cast<double>(account.retries.size()),
                  static_cast<double>(account.waiting.size()) + account.count(now - newsTime, true) };
    }
    return use;
}

SharedRetryBudget::Usage SharedRetryBudget::usage(const TargetId& service, const Fleet& fleet, TimePoint now)
{
    expire(now);
    const Account& account = m_accounts[service];
    const auto own = static_cast<double>(account.retries.size());
    return { own, own + othersRetries(service, fleet), allowed(account, service, fleet, now) };
}

} // namespace fuchsialb
