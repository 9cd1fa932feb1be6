#include "Hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace fuchsialb {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

Bits128 hash128(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return { hash.high64, hash.low64 };
}

} // namespace fuchsialb
