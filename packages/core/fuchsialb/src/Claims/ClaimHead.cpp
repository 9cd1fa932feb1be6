#include "ClaimHead.h"

#include "../Base/Hash.h"
#include "ByteCodec.h"

namespace fuchsialb::internal {

namespace {
    constexpr std::uint8_t formatVersion = 1;
}

std::string encodeClaimHead(std::uint64_t oldest)
{
    ByteWriter out;
    out.put(formatVersion);
    out.put(oldest);
    out.put(hash64(out.bytes()));
    return out.take();
}

std::optional<std::uint64_t> decodeClaimHead(std::string_view bytes)
{
    ByteReader in(bytes);
    const auto format = in.read<std::uint8_t>();
    const auto oldest = in.read<std::uint64_t>();
    const auto checksum = in.read<std::uint64_t>();
    if (!in.ok() || in.left() > 0 || format != formatVersion || oldest == 0)
        return std::nullopt;
    if (checksum != hash64(bytes.substr(0, bytes.size() - sizeof(checksum))))
        return std::nullopt;
    return oldest;
}

} // namespace fuchsialb::internal
