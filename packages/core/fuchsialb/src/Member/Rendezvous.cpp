#include "../Base/Hash.h"
#include "Membership.h"

#include <algorithm>

namespace fuchsialb {

std::vector<HostId> rendezvous(std::string_view key, const std::vector<HostId>& hosts, std::size_t count)
{
    struct Weighted {
        std::uint64_t weight;
        const HostId* host;
    };
    const std::uint64_t seed = hash64(key);
    std::vector<Weighted> weighted;
    weighted.reserve(hosts.size());
    for (const HostId& host : hosts)
        weighted.push_back({ hash64(host.value(), seed), &host });
    const std::size_t wanted = std::min(count, weighted.size());
    const auto heavier = [](const Weighted& a, const Weighted& b) {
        return a.weight != b.weight ? a.weight > b.weight : *a.host < *b.host;
    };
    std::partial_sort(
        weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(wanted), weighted.end(), heavier);
    std::vector<HostId> best;
    best.reserve(wanted);
    for (std::size_t i = 0; i < wanted; ++i)
        best.push_back(*weighted[i].host);
    return best;
}

} // namespace fuchsialb
