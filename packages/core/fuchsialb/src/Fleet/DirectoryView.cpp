#include "DirectoryView.h"

#include "../Base/Hash.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace fuchsialb {

namespace {

    // Changes kept for hosts that are behind. A host that is further behind reads the store.
    constexpr std::size_t maxKeptChanges = 1024;
    // A host whose version is older than that of another one gets the changes within a few beats, or has to read them.
    constexpr Duration maxBehind = std::chrono::milliseconds(900);

} // namespace

bool DirectoryView::isRecent(Duration bootNow, Duration limit) const
{
    const bool behind = m_behindSince != Duration(0) && bootNow - m_behindSince >= maxBehind;
    return m_version != KeyVersion() && !behind && bootNow - m_provenAt < limit;
}

std::vector<KeyItem> DirectoryView::difference(const std::vector<KeyItem>& items, bool complete) const
{
    std::vector<KeyItem> changes;
    std::set<std::string_view> listed;
    for (const KeyItem& item : items) {
        listed.insert(item.key);
        const auto known = m_keys.find(item.key);
        if (known == m_keys.end() || known->second != hash64(item.value))
            changes.push_back(item);
    }
    for (const auto& [key, hash] : m_keys) {
        if (complete && !listed.contains(key))
            changes.push_back({ key, {}, true });
    }
    return changes;
}

void DirectoryView::applyToKeys(const std::vector<KeyItem>& changes)
{
    for (const KeyItem& change : changes) {
        if (change.removed)
            m_keys.erase(change.key);
        else
            m_keys[change.key] = hash64(change.value);
    }
}

void DirectoryView::recordSnapshot(
    StoreEra era, KeyVersion asOf, Duration provenAt, const std::vector<KeyItem>& items, bool complete)
{
    if (era == m_era && m_version != KeyVersion()) {
        recordChanges(difference(items, complete), asOf, provenAt);
        return;
    }
    reset(era);
    m_era = era;
    m_version = asOf;
    m_provenAt = provenAt;
    applyToKeys(items);
}

void DirectoryView::recordChanges(std::vector<KeyItem> changes, KeyVersion asOf, Duration provenAt)
{
    m_provenAt = std::max(m_provenAt, provenAt);
    m_behindSince = Duration(0);
    if (asOf < m_version || (asOf == m_version && changes.empty()))
        return;
    applyToKeys(changes);
    m_keptChanges += changes.size();
    // A batch without changes records that there were none between its versions.
    if (changes.empty() && !m_batches.empty() && m_batches.back().changes.empty())
        m_batches.back().to = asOf;
    else
        m_batches.push_back({ m_version, asOf, std::move(changes) });
    m_version = asOf;
    while (m_keptChanges > maxKeptChanges) {
        m_keptChanges -= m_batches.front().changes.size();
        m_batches.pop_front();
    }
}

void DirectoryView::reset(StoreEra era)
{
    if (era <= m_era)
        return;
    *this = DirectoryView();
    m_era = era;
}

bool DirectoryView::accept(const DirectoryUpdate& update, Duration echoedAt)
{
    reset(update.era);
    if (update.era != m_era || m_version == KeyVersion() || update.version == KeyVersion())
        return false;
    const Duration provenAt = echoedAt - update.age;
    if (update.version <= m_version) {
        m_provenAt = std::max(m_provenAt, provenAt);
        return false;
    }
    if (update.from == KeyVersion() || update.from > m_version) {
        if (m_behindSince == Duration(0))
            m_behindSince = echoedAt;
        return false;
    }
    recordChanges(update.changes, update.version, provenAt);
    return !update.changes.empty();
}

DirectoryUpdate DirectoryView::updateFor(StoreEra era, KeyVersion known, bool sendsChanges, Duration bootNow) const
{
    DirectoryUpdate update { m_era, m_version, std::max(Duration(0), bootNow - m_provenAt), {}, {} };
    if (era != m_era || !sendsChanges || known == KeyVersion() || known >= m_version)
        return update;
    const auto first = std::find_if(m_batches.begin(), m_batches.end(),
        [&](const Batch& batch) { return batch.from <= known && known < batch.to; });
    if (first == m_batches.end())
        return update;
    update.from = known;
    for (auto batch = first; batch != m_batches.end(); ++batch)
        update.changes.insert(update.changes.end(), batch->changes.begin(), batch->changes.end());
    return update;
}

} // namespace fuchsialb
