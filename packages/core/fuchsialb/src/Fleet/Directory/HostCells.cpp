#include "HostCells.h"

#include "../../Base/Hash.h"

namespace fuchsialb {

namespace {

    // So few hosts exchange beats with all others for less than what the leaders of cells would add.
    constexpr std::size_t maxUndividedHosts = 8;

} // namespace

std::uint32_t cellCount(std::size_t hosts)
{
    if (hosts <= maxUndividedHosts)
        return 1;
    std::uint32_t cells = 1;
    while (static_cast<std::size_t>(cells) * cells < hosts)
        cells *= 2;
    return cells;
}

std::uint32_t cellOf(const HostId& host, std::uint32_t cells)
{
    return static_cast<std::uint32_t>(hash64(host.value()) % cells);
}

} // namespace fuchsialb
