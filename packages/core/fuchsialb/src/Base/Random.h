#pragma once

#include "Ids.h"

#include <cassert>
#include <cstdint>
#include <random>

namespace fuchsialb {

/// \brief Seeded generator; the same seed gives the same sequence on every platform.
///
/// The distributions of the standard library differ between implementations, so the bounded draws are spelled out here.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    std::uint64_t next() { return m_engine(); }

    /// \param bound Exclusive upper bound, greater than 0.
    std::uint64_t below(std::uint64_t bound)
    {
        assert(bound > 0);
        return static_cast<std::uint64_t>((static_cast<Wide>(m_engine()) * bound) >> 64);
    }

    /// \return A value in [0, 1).
    double unit() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }

    bool chance(double probability) { return unit() < probability; }

    Bits128 bits128()
    {
        const std::uint64_t high = next();
        return { high, next() };
    }

private:
    __extension__ using Wide = unsigned __int128;

    std::mt19937_64 m_engine;
};

} // namespace fuchsialb
