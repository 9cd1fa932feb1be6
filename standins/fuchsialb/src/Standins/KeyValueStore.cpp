#include "KeyValueStore.h"

#include <utility>

namespace fuchsialb::standins {

const KeyValueStore::Entry* KeyValueStore::find(const std::string& key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool KeyValueStore::matches(const std::string& key, std::optional<std::uint64_t> expect) const
{
    const Entry* entry = find(key);
    return !expect || *expect == (entry ? entry->version : 0);
}

std::optional<std::uint64_t> KeyValueStore::put(
    const std::string& key, std::string value, std::optional<std::uint64_t> expect, std::uint64_t lease)
{
    if (!matches(key, expect) || (lease != 0 && !m_leases.contains(lease)))
        return std::nullopt;
    const std::uint64_t version = ++m_lastVersions[key];
    changed(key, version);
    m_entries[key] = { std::move(value), version, m_revision, lease };
    return version;
}

bool KeyValueStore::remove(const std::string& key, std::optional<std::uint64_t> expect)
{
    if (!matches(key, expect) || m_entries.erase(key) == 0)
        return false;
    changed(key, 0);
    return true;
}

void KeyValueStore::changed(const std::string& key, std::uint64_t version)
{
    m_changes[key] = { key, ++m_revision, version };
}

std::vector<std::pair<std::string, KeyValueStore::Entry>> KeyValueStore::list(const std::string& prefix) const
{
    std::vector<std::pair<std::string, Entry>> found;
    for (auto entry = m_entries.lower_bound(prefix); entry != m_entries.end(); ++entry) {
        if (!entry->first.starts_with(prefix))
            break;
        found.emplace_back(*entry);
    }
    return found;
}

std::vector<KeyValueStore::Change> KeyValueStore::changes(const std::string& prefix, std::uint64_t after) const
{
    std::vector<Change> found;
    for (auto change = m_changes.lower_bound(prefix); change != m_changes.end(); ++change) {
        if (!change->first.starts_with(prefix))
            break;
        if (change->second.revision > after)
            found.push_back(change->second);
    }
    return found;
}

std::uint64_t KeyValueStore::grantLease(Duration ttl, TimePoint now)
{
    m_leases[++m_lastLease] = { ttl, now + ttl };
    return m_lastLease;
}

bool KeyValueStore::renewLease(std::uint64_t lease, TimePoint now)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end() || found->second.end <= now)
        return false;
    found->second.end = now + found->second.ttl;
    return true;
}

bool KeyValueStore::expireLeases(TimePoint now)
{
    std::erase_if(m_leases, [&](const auto& lease) { return lease.second.end <= now; });
    std::vector<std::string> orphans;
    for (const auto& [key, entry] : m_entries) {
        if (entry.lease != 0 && !m_leases.contains(entry.lease))
            orphans.push_back(key);
    }
    for (const std::string& key : orphans)
        remove(key, std::nullopt);
    return !orphans.empty();
}

} // namespace fuchsialb::standins
