#pragma once

#include "../Base/Ids.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string_view>
#include <vector>

namespace fuchsialb {

/// \brief Remembers which runner is likely to hold which prompt prefixes in its cache.
///
/// A prefix is named by `hash64` of its text. Prefixes end at multiples of `blockBytes`, and the whole prompt counts
/// too. Entries are a hint: events come late and with gaps.
class PrefixIndex {
public:
    /// Text bytes of a block, about 64 tokens.
    static constexpr std::size_t blockBytes = 256;

    /// \brief One prefix of a prompt.
    struct Prefix {
        std::uint64_t hash = 0;
        std::size_t bytes = 0;
    };

    /// \return The prefixes of a prompt, shortest first; at most 32 blocks and the whole prompt.
    static std::vector<Prefix> prefixes(std::string_view prompt);

    void onEvent(const EndpointId& endpoint, std::uint64_t hash, bool held);
    /// Records that a runner was given a prompt with these prefixes.
    void onDispatched(const EndpointId& endpoint, const std::vector<Prefix>& prefixes);
    /// Forgets a runner, for example after it failed.
    void forget(const EndpointId& endpoint) { m_caches.erase(endpoint); }
    /// Forgets all runners for which `known` is false.
    template <typename Known> void keepOnly(Known known)
    {
        std::erase_if(m_caches, [&known](const auto& each) { return !known(each.first); });
    }

    /// \return Bytes of the longest prefix that the runner is likely to hold.
    std::size_t heldBytes(const EndpointId& endpoint, const std::vector<Prefix>& prefixes) const;

private:
    /// Least recently used entries go first.
    struct Cache {
        std::list<std::uint64_t> order;
        absl::flat_hash_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
    };

    std::map<EndpointId, Cache> m_caches;
};

} // namespace fuchsialb
