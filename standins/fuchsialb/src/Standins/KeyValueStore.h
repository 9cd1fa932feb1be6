#pragma once

#include "fuchsialb/Base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsialb::standins {

/// \brief State of the platform's key-value service: keys with versions, one revision for all changes, leases.
class KeyValueStore {
public:
    struct Entry {
        std::string value;
        std::uint64_t version = 0;
        /// Revision of the store at the last change.
        std::uint64_t revision = 0;
        /// 0 for none.
        std::uint64_t lease = 0;
    };

    struct Change {
        std::string key;
        std::uint64_t revision = 0;
        /// 0 when the key was deleted.
        std::uint64_t version = 0;
    };

    const Entry* find(const std::string& key) const;
    /// \param expect Version that the key must have; 0 when it must not exist; none to skip the check.
    /// \return The new version, or none when the expectation or the lease does not hold.
    std::optional<std::uint64_t> put(
        const std::string& key, std::string value, std::optional<std::uint64_t> expect, std::uint64_t lease);
    bool remove(const std::string& key, std::optional<std::uint64_t> expect);
    std::vector<std::pair<std::string, Entry>> list(const std::string& prefix) const;
    /// \return The latest change of each key with the prefix, of those after revision `after`.
    std::vector<Change> changes(const std::string& prefix, std::uint64_t after) const;
    std::uint64_t revision() const { return m_revision; }

    std::uint64_t grantLease(Duration ttl, TimePoint now);
    bool renewLease(std::uint64_t lease, TimePoint now);
    /// Deletes the keys of leases that have run out.
    /// \return Whether a key was deleted.
    bool expireLeases(TimePoint now);

private:
    struct Lease {
        Duration ttl { 0 };
        TimePoint end;
    };

    bool matches(const std::string& key, std::optional<std::uint64_t> expect) const;
    void changed(const std::string& key, std::uint64_t version);

    std::map<std::string, Entry> m_entries;
    /// Versions go on rising when a key is deleted and created again.
    std::map<std::string, std::uint64_t> m_lastVersions;
    std::map<std::string, Change> m_changes;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 0;
    std::uint64_t m_lastLease = 0;
};

} // namespace fuchsialb::standins
