#include "PrefixIndex.h"

#include "../Base/Hash.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    /// Bounds the hashing of long prompts, which costs the sum of the prefix lengths.
    constexpr std::size_t mostBlocks = 32;
    constexpr std::size_t entriesPerRunner = 4096;

} // namespace

std::vector<PrefixIndex::Prefix> PrefixIndex::prefixes(std::string_view prompt)
{
    std::vector<Prefix> result;
    for (std::size_t block = 1; block <= mostBlocks && block * blockBytes < prompt.size(); ++block)
        result.push_back({ hash64(prompt.substr(0, block * blockBytes)), block * blockBytes });
    if (!prompt.empty())
        result.push_back({ hash64(prompt), prompt.size() });
    return result;
}

void PrefixIndex::onEvent(const EndpointId& endpoint, std::uint64_t hash, bool held)
{
    Cache& cache = m_caches[endpoint];
    if (const auto found = cache.places.find(hash); found != cache.places.end()) {
        cache.order.erase(found->second);
        cache.places.erase(found);
    }
    if (!held)
        return;
    cache.places[hash] = cache.order.insert(cache.order.end(), hash);
    if (cache.order.size() <= entriesPerRunner)
        return;
    cache.places.erase(cache.order.front());
    cache.order.pop_front();
}

void PrefixIndex::onDispatched(const EndpointId& endpoint, const std::vector<Prefix>& prefixes)
{
    for (const Prefix& prefix : prefixes)
        onEvent(endpoint, prefix.hash, true);
}

std::size_t PrefixIndex::heldBytes(const EndpointId& endpoint, const std::vector<Prefix>& prefixes) const
{
    const auto cache = m_caches.find(endpoint);
    if (cache == m_caches.end())
        return 0;
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
        if (cache->second.places.contains(prefix->hash))
            return prefix->bytes;
    }
    return 0;
}

} // namespace fuchsialb
