#include "MemberTable.h"

#include <algorithm>
#include <utility>

namespace fuchsialb::internal {

namespace {

    /// Bounds the memory of dead members; above it the record that expires first is dropped.
    constexpr std::size_t maxTombstones = 1024;
    /// Lost summaries that a member of another data centre outlives.
    constexpr int remotePeriodsKept = 3;

    bool newer(const Member& update, const Member& known)
    {
        if (update.incarnation != known.incarnation)
            return update.incarnation > known.incarnation;
        return update.state > known.state;
    }

} // namespace

MemberTable::MemberTable(HostId self, DataCentreId dataCentre, const MembershipOptions& options)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_suspicion(options.suspicion)
    , m_rememberDead(options.rememberDead)
    , m_remoteLifetime(options.remotePeriod * remotePeriodsKept)
{
}

bool MemberTable::merge(const Member& update, TimePoint now)
{
    if (update.host == m_self)
        return false;
    const auto tombstone = m_dead.find(update.host);
    if (tombstone != m_dead.end() && update.incarnation <= tombstone->second.member.incarnation)
        return false;
    const auto known = m_entries.find(update.host);
    if (known == m_entries.end()) {
        // A suspicion about an unknown host says only that it may be dead.
        if (update.state == MemberState::Suspect)
            return false;
        apply(update, now);
        return true;
    }
    known->second.heard = now;
    if (newer(update, known->second.member)) {
        apply(update, now);
        return true;
    }
    if (update.incarnation == known->second.member.incarnation)
        raiseConfiguration(update.host, update.configuration);
    return false;
}

void MemberTable::apply(const Member& update, TimePoint now)
{
    ++m_revision;
    if (update.state == MemberState::Dead) {
        bury(update, now);
        return;
    }
    m_dead.erase(update.host);
    Entry& entry = m_entries[update.host];
    const ConfigurationVersion version = std::max(entry.member.configuration, update.configuration);
    const bool sameLife = entry.member.incarnation == update.incarnation;
    entry.member = update;
    entry.member.configuration = version;
    entry.heard = now;
    if (update.state == MemberState::Suspect)
        entry.deadAt = now + m_suspicion;
    else if (!sameLife)
        entry.deadAt.reset();
}

void MemberTable::bury(Member member, TimePoint now)
{
    member.state = MemberState::Dead;
    m_entries.erase(member.host);
    m_dead[member.host] = { member, now + m_rememberDead };
    if (m_dead.size() > maxTombstones) {
        const auto oldest = std::min_element(
            m_dead.begin(), m_dead.end(), [](const auto& a, const auto& b) { return a.second.until < b.second.until; });
        m_dead.erase(oldest);
    }
}

bool MemberTable::raiseConfiguration(const HostId& host, ConfigurationVersion version)
{
    const auto known = m_entries.find(host);
    if (known == m_entries.end() || known->second.member.configuration >= version)
        return false;
    known->second.member.configuration = version;
    ++m_revision;
    return true;
}

std::optional<Member> MemberTable::suspect(const HostId& host, TimePoint now)
{
    const auto known = m_entries.find(host);
    if (known == m_entries.end() || known->second.deadAt)
        return std::nullopt;
    known->second.deadAt = now + m_suspicion;
    if (known->second.member.state != MemberState::Alive)
        return std::nullopt;
    known->second.member.state = MemberState::Suspect;
    ++m_revision;
    return known->second.member;
}

void MemberTable::answered(const HostId& host)
{
    const auto known = m_entries.find(host);
    if (known != m_entries.end() && known->second.member.state != MemberState::Suspect)
        known->second.deadAt.reset();
}

std::vector<Member> MemberTable::expire(TimePoint now)
{
    std::vector<Member> died;
    std::vector<HostId> forgotten;
    for (const auto& [host, entry] : m_entries) {
        if (entry.deadAt && *entry.deadAt <= now)
            died.push_back(entry.member);
        else if (entry.member.dataCentre != m_dataCentre && entry.heard + m_remoteLifetime < now)
            forgotten.push_back(host);
    }
    for (Member& member : died) {
        member.state = MemberState::Dead;
        apply(member, now);
    }
    for (const HostId& host : forgotten) {
        m_entries.erase(host);
        ++m_revision;
    }
    std::erase_if(m_dead, [now](const auto& item) { return item.second.until <= now; });
    return died;
}

void MemberTable::postpone(Duration by)
{
    for (auto& [host, entry] : m_entries) {
        if (entry.deadAt)
            *entry.deadAt += by;
        entry.heard += by;
    }
}

const MemberTable::Entry* MemberTable::find(const HostId& host) const
{
    const auto known = m_entries.find(host);
    return known == m_entries.end() ? nullptr : &known->second;
}

const Member* MemberTable::dead(const HostId& host) const
{
    const auto known = m_dead.find(host);
    return known == m_dead.end() ? nullptr : &known->second.member;
}

std::vector<Member> MemberTable::deadMembers() const
{
    std::vector<Member> members;
    members.reserve(m_dead.size());
    for (const auto& [host, tombstone] : m_dead)
        members.push_back(tombstone.member);
    return members;
}

} // namespace fuchsialb::internal
