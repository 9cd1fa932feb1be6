#include "DirectoryWorld.h"

#include <algorithm>

namespace fuchsialb::test {

namespace {

    constexpr Duration stepTime = std::chrono::milliseconds(20);

} // namespace

DirectoryWorld::DirectoryWorld(std::size_t hosts)
    : m_hosts(hosts)
{
    m_history[{ m_era, m_version }] = m_content;
}

void DirectoryWorld::append(KeyItem item)
{
    m_version = KeyVersion(m_version.value() + 1);
    apply(m_content, { item });
    m_history[{ m_era, m_version }] = m_content;
    m_events.push_back({ m_version, std::move(item) });
}

void DirectoryWorld::write(const std::string& key, const std::string& value) { append({ key, value, false }); }

void DirectoryWorld::remove(const std::string& key)
{
    if (m_content.contains(key))
        append({ key, {}, true });
}

void DirectoryWorld::saveCopy()
{
    m_copy = m_content;
    m_copyVersion = m_version;
}

void DirectoryWorld::restoreCopy()
{
    m_era = StoreEra(m_era.value() + 1);
    m_content = m_copy;
    m_version = m_copyVersion;
    std::erase_if(m_events, [&](const Event& event) { return event.version > m_version; });
    m_history[{ m_era, m_version }] = m_content;
}

void DirectoryWorld::list(std::size_t host)
{
    if (std::exchange(m_hosts[host].isCalling, true))
        return;
    Message answer { host, {}, {}, true, m_era, m_version, {} };
    for (const auto& [key, value] : m_content)
        answer.items.push_back({ key, value, false });
    m_pending.push_back(std::move(answer));
}

void DirectoryWorld::call(std::size_t host)
{
    const KeyVersion after = m_hosts[host].view.version();
    if (after == KeyVersion() || after > m_version) {
        list(host);
        return;
    }
    if (std::exchange(m_hosts[host].isCalling, true))
        return;
    Message answer { host, {}, {}, false, m_era, m_version, {} };
    for (const Event& event : m_events) {
        if (event.version > after)
            answer.items.push_back(event.item);
    }
    m_pending.push_back(std::move(answer));
}

void DirectoryWorld::beat(std::size_t from, std::size_t to)
{
    const Known peer = m_hosts[from].peers[to];
    DirectoryUpdate update = m_hosts[from].view.updateFor(peer.era, peer.version, true, m_now);
    if (m_encoding)
        update = m_encoding(std::move(update));
    m_pending.push_back({ to, from, std::move(update), false, {}, {}, {} });
}

void DirectoryWorld::deliver(std::size_t choice)
{
    m_now += stepTime;
    const auto chosen = m_pending.begin() + static_cast<std::ptrdiff_t>(choice % m_pending.size());
    const Message message = std::move(*chosen);
    m_pending.erase(chosen);
    HostState& host = m_hosts[message.host];
    if (!message.from) {
        deliverAnswer(host, message);
        return;
    }
    host.peers[*message.from] = { message.update.era, message.update.version };
    if (host.view.accept(message.update, m_now - stepTime))
        apply(host.applied, message.update.changes);
}

void DirectoryWorld::deliverAnswer(HostState& host, const Message& message)
{
    host.isCalling = false;
    const bool entersEra = message.era > std::exchange(host.answeredEra, std::max(host.answeredEra, message.era));
    if (message.isListing) {
        if (host.view.recordSnapshot(message.era, message.asOf, m_now, message.items)) {
            host.applied.clear();
            apply(host.applied, message.items);
        }
        return;
    }
    // Changes that span two eras may lack some of both, so the prefix is listed again.
    if (entersEra)
        host.view.reset(message.era, m_now);
    else if (host.view.recordChanges(message.era, message.items, message.asOf, m_now))
        apply(host.applied, message.items);
}

void DirectoryWorld::apply(Content& content, const std::vector<KeyItem>& items)
{
    for (const KeyItem& item : items) {
        if (item.removed)
            content.erase(item.key);
        else
            content[item.key] = item.value;
    }
}

bool DirectoryWorld::viewsAreExact() const
{
    return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const HostState& host) {
        const auto held = m_history.find({ host.view.era(), host.view.version() });
        return host.view.version() == KeyVersion() || (held != m_history.end() && held->second == host.applied);
    });
}

void DirectoryWorld::settle()
{
    constexpr int rounds = 4;
    for (int round = 0; round < rounds; ++round) {
        while (hasPending())
            deliver(0);
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
            call(host);
    }
    while (hasPending())
        deliver(0);
}

bool DirectoryWorld::allCurrent() const
{
    return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const HostState& host) {
        return host.view.era() == m_era && host.view.version() == m_version && host.applied == m_content;
    });
}

} // namespace fuchsialb::test
