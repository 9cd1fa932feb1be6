#include "SwimMembership.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace fuchsialb::internal {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// Ticks come every 50 ms; a longer gap means that this process was paused and its timeouts prove nothing.
    constexpr Duration pauseGap = milliseconds(300);
    /// Repeats of an announcement: 8 rounds end within the 3 s that a leaving host has.
    constexpr std::uint32_t announceRounds = 8;
    constexpr Duration announceInterval = milliseconds(300);
    /// Period of contact with listed or dead hosts that are not members, which heals a partition.
    constexpr Duration candidatePeriod = seconds(2);
    /// Walking through all members and loads at each tick would take most of the daemon's processor time.
    constexpr Duration expiryPeriod = milliseconds(200);
    constexpr Duration joinPeriod = milliseconds(500);
    /// Period of a full exchange with a random member, in case an update was lost to all; 0.15 KB/s at 155 members.
    constexpr Duration synchronisePeriod = std::chrono::minutes(5);

} // namespace

void SwimMembership::tick()
{
    const TimePoint now = m_clock.now();
    notePause(now);
    expire(now);
    checkOutstanding(now);
    startProbe(now);
    continueAnnouncement(now);
    contactCandidate(now);
    synchronise(now);
    refreshGrid();
    advertise(now);
    advertiseNews(now);
    flushRelay(now);
    exchangeWithBridges(now);
    spreadRemote(now);
}

void SwimMembership::expire(TimePoint now)
{
    if (now < m_nextExpiry)
        return;
    m_nextExpiry = now + expiryPeriod;
    for (Member& died : m_table.expire(now)) {
        if (died.dataCentre == m_self.dataCentre)
            spread(died);
    }
    m_loads.expire(now);
    std::erase_if(m_onBehalf, [now](const auto& item) { return item.second.until <= now; });
}

void SwimMembership::notePause(TimePoint now)
{
    const Duration gap = now - std::exchange(m_lastTick, now);
    if (gap <= pauseGap)
        return;
    m_outstanding.reset();
    m_table.postpone(gap);
}

void SwimMembership::checkOutstanding(TimePoint now)
{
    if (!m_outstanding)
        return;
    if (!m_outstanding->indirect && now >= m_outstanding->indirectAt) {
        m_outstanding->indirect = true;
        probeIndirectly(*m_outstanding);
    }
    if (now < m_outstanding->failsAt)
        return;
    if (const auto update = m_table.suspect(m_outstanding->subject, now))
        spread(*update);
    m_outstanding.reset();
}

void SwimMembership::probeIndirectly(const Outstanding& probe)
{
    std::vector<HostId> helpers;
    for (const auto& [host, entry] : m_table.entries()) {
        if (host != probe.subject && entry.member.dataCentre == m_self.dataCentre && !entry.deadAt)
            helpers.push_back(host);
    }
    for (std::uint32_t i = 0; i < m_options.indirectProbes && !helpers.empty(); ++i) {
        const std::size_t chosen = m_random.below(helpers.size());
        Probe request = newProbe(probe.subject);
        request.sequence = probe.sequence;
        send(helpers[chosen], std::move(request));
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

void SwimMembership::startProbe(TimePoint now)
{
    if (now < m_nextProbe)
        return;
    m_nextProbe = std::max(m_nextProbe + m_options.probePeriod, now);
    // The probe of the last period fails at the start of this one.
    if (m_outstanding) {
        m_outstanding->failsAt = now;
        checkOutstanding(now);
    }
    const auto subject = nextSubject();
    if (!subject)
        return;
    Probe probe = newProbe(*subject);
    m_outstanding = { probe.sequence, *subject, now + m_options.probeTimeout, now + m_options.probePeriod, false };
    send(*subject, std::move(probe));
}

std::optional<HostId> SwimMembership::nextSubject()
{
    // Two rounds: the rest of the old order, then a new one.
    for (int round = 0; round < 2; ++round) {
        while (!m_order.empty()) {
            HostId subject = std::move(m_order.back());
            m_order.pop_back();
            if (m_table.find(subject))
                return subject;
        }
        for (const auto& [host, entry] : m_table.entries()) {
            if (entry.member.dataCentre == m_self.dataCentre)
                m_order.push_back(host);
        }
        for (std::size_t i = m_order.size(); i > 1; --i)
            std::swap(m_order[i - 1], m_order[m_random.below(i)]);
    }
    return std::nullopt;
}

void SwimMembership::contactCandidate(TimePoint now)
{
    if (now < m_nextCandidate)
        return;
    m_nextCandidate = now + (m_joinReplies > 0 ? joinPeriod : candidatePeriod);
    std::set<HostId> candidates;
    for (const auto& [host, listed] : m_listed) {
        const bool joining = m_joinReplies > 0;
        if (listed.dataCentre == m_self.dataCentre && host != m_self.host && (joining || !m_table.find(host)))
            candidates.insert(host);
    }
    for (const Member& dead : m_table.deadMembers()) {
        if (dead.dataCentre == m_self.dataCentre)
            candidates.insert(dead.host);
    }
    if (candidates.empty())
        return;
    auto next = candidates.upper_bound(m_lastCandidate);
    if (next == candidates.end())
        next = candidates.begin();
    m_lastCandidate = *next;
    Probe probe = newProbe(m_lastCandidate);
    probe.fullState = m_joinReplies > 0;
    send(m_lastCandidate, std::move(probe));
}

void SwimMembership::synchronise(TimePoint now)
{
    if (now < m_nextSynchronisation)
        return;
    m_nextSynchronisation = now + synchronisePeriod;
    std::vector<HostId> others = localMembers();
    std::erase(others, m_self.host);
    if (others.empty())
        return;
    const HostId& partner = others[m_random.below(others.size())];
    Probe probe = newProbe(partner);
    probe.fullState = true;
    probe.members = fullState();
    send(partner, std::move(probe));
}

void SwimMembership::announce()
{
    Announcement announcement;
    announcement.sequence = ++m_sequence;
    announcement.next = m_clock.now();
    announcement.rounds = announceRounds;
    for (const auto& [host, listed] : m_listed) {
        if (listed.dataCentre == m_self.dataCentre && host != m_self.host && !m_table.dead(host))
            announcement.waiting[host] = listed.address;
    }
    // Other data centres know only the bridges of this one; they ignore a leaving host that they don't know.
    const bool toRemote = m_self.state == MemberState::Leaving || isBridge();
    for (const auto& [host, entry] : m_table.entries()) {
        if (toRemote || entry.member.dataCentre == m_self.dataCentre)
            announcement.waiting[host] = entry.member.address;
    }
    m_announcement = std::move(announcement);
    continueAnnouncement(m_clock.now());
}

void SwimMembership::continueAnnouncement(TimePoint now)
{
    if (!m_announcement || now < m_announcement->next)
        return;
    for (const auto& [host, address] : m_announcement->waiting) {
        Probe probe;
        probe.sequence = m_announcement->sequence;
        probe.subject = host;
        probe.configuration = m_self.configuration;
        probe.members = { m_self };
        sendTo(host, address, std::move(probe));
    }
    m_announcement->next = now + announceInterval;
    if (--m_announcement->rounds == 0 || m_announcement->waiting.empty())
        m_announcement.reset();
}

} // namespace fuchsialb::internal
