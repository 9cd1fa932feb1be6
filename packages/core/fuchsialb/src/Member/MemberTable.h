#pragma once

#include "Membership.h"

#include <map>
#include <optional>
#include <vector>

namespace fuchsialb::internal {

/// \brief Other members and the rules by which updates about them replace each other.
///
/// An update wins by its incarnation, then by its state (alive < suspect < leaving < dead). A leaving member that
/// fails its probes stays `Leaving` until it is declared dead, so that it never seems to accept work again.
class MemberTable {
public:
    struct Entry {
        Member member;
        /// When a suspect is declared dead.
        std::optional<TimePoint> deadAt;
        /// Last time that a member of another data centre was heard of.
        TimePoint heard;
    };

    MemberTable(HostId self, DataCentreId dataCentre, const MembershipOptions& options);

    /// \return Whether the update was new and should be passed on.
    bool merge(const Member& update, TimePoint now);
    /// Raises the configuration version of a member. \return Whether it rose.
    bool raiseConfiguration(const HostId& host, ConfigurationVersion version);
    /// Marks a member that failed its probes. \return The update to spread, if any.
    std::optional<Member> suspect(const HostId& host, TimePoint now);
    /// Ends a suspicion that was not spread, after an answer of the member itself.
    void answered(const HostId& host);
    /// \return Updates about the suspects whose time is up, which are dead now.
    std::vector<Member> expire(TimePoint now);
    /// Moves all pending deaths into the future, after a pause of this process.
    void postpone(Duration by);

    const Entry* find(const HostId& host) const;
    /// \return The record of a dead host, or null.
    const Member* dead(const HostId& host) const;
    const std::map<HostId, Entry>& entries() const { return m_entries; }
    std::vector<Member> deadMembers() const;
    /// \return A number that rises with each change.
    std::uint64_t revision() const { return m_revision; }

private:
    struct Tombstone {
        Member member;
        TimePoint until;
    };

    void apply(const Member& update, TimePoint now);
    void bury(Member member, TimePoint now);

    HostId m_self;
    DataCentreId m_dataCentre;
    Duration m_suspicion;
    Duration m_rememberDead;
    Duration m_remoteLifetime;
    std::map<HostId, Entry> m_entries;
    std::map<HostId, Tombstone> m_dead;
    std::uint64_t m_revision = 1;
};

} // namespace fuchsialb::internal
