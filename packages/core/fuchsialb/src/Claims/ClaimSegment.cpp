#include "ClaimSegment.h"

#include "../Base/Hash.h"
#include "ByteCodec.h"

#include <fmt/format.h>

#include <cassert>

namespace fuchsialb::internal {

namespace {

    constexpr std::uint8_t formatVersion = 1;

    void write(ByteWriter& out, const Bits128& bits)
    {
        out.put(bits.high);
        out.put(bits.low);
    }

    Bits128 readBits(ByteReader& in)
    {
        const auto high = in.read<std::uint64_t>();
        return { high, in.read<std::uint64_t>() };
    }

    absl::Status malformed(std::string_view detail)
    {
        return error(Reason::MalformedMessage, fmt::format("claim segment: {}", detail));
    }

    absl::StatusOr<ClaimRecord> readRecord(ByteReader& in)
    {
        ClaimRecord record;
        record.key = ClaimKey(readBits(in));
        record.bodyDigest = in.read<std::uint64_t>();
        record.attempt = AttemptId(readBits(in));
        const auto state = in.read<std::uint8_t>();
        record.httpStatus = in.read<std::uint16_t>();
        if (state > static_cast<std::uint8_t>(ClaimState::Released))
            return malformed(fmt::format("unknown state {}", state));
        record.state = static_cast<ClaimState>(state);
        return record;
    }

} // namespace

absl::StatusOr<ClaimSegment> ClaimSegment::decode(std::string_view bytes)
{
    if (bytes.size() < headerBytes + checksumBytes)
        return malformed("too short");
    const std::string_view content = bytes.substr(0, bytes.size() - checksumBytes);
    if (ByteReader(bytes.substr(content.size())).read<std::uint64_t>() != hash64(content))
        return malformed("checksum does not match");
    ByteReader in(content);
    if (const auto version = in.read<std::uint8_t>(); version != formatVersion)
        return malformed(fmt::format("format version {}, accepted is {}", version, formatVersion));
    const auto sealed = in.read<std::uint8_t>();
    if (sealed > 1)
        return malformed("sealed is neither 0 nor 1");
    ClaimSegment segment;
    segment.m_sealed = sealed == 1;
    segment.m_createdAt = in.read<std::int64_t>();
    segment.m_sealedAt = in.read<std::int64_t>();
    const auto count = in.read<std::uint32_t>();
    if (in.left() != std::size_t { count } * recordBytes)
        return malformed("number of records does not match the size");
    segment.m_records.reserve(count);
    for (std::uint32_t i = 0; i < count; ++i) {
        const absl::StatusOr<ClaimRecord> record = readRecord(in);
        if (!record.ok())
            return record.status();
        if (segment.find(record->key))
            return malformed("two records of one key");
        segment.m_index.emplace(record->key, segment.m_records.size());
        segment.m_records.push_back(*record);
    }
    return segment;
}

std::string ClaimSegment::encode() const
{
    ByteWriter out(headerBytes + m_records.size() * recordBytes + checksumBytes);
    out.put(formatVersion);
    out.put(static_cast<std::uint8_t>(m_sealed ? 1 : 0));
    out.put(m_createdAt);
    out.put(m_sealedAt);
    out.put(static_cast<std::uint32_t>(m_records.size()));
    for (const ClaimRecord& record : m_records) {
        write(out, record.key.value());
        out.put(record.bodyDigest);
        write(out, record.attempt.value());
        out.put(static_cast<std::uint8_t>(record.state));
        out.put(record.httpStatus);
    }
    out.put(hash64(out.bytes()));
    return out.take();
}

const ClaimRecord* ClaimSegment::find(const ClaimKey& key) const
{
    const auto found = m_index.find(key);
    return found == m_index.end() ? nullptr : &m_records[found->second];
}

void ClaimSegment::put(const ClaimRecord& record)
{
    assert(!m_sealed);
    const auto [entry, isNew] = m_index.emplace(record.key, m_records.size());
    if (isNew)
        m_records.push_back(record);
    else
        m_records[entry->second] = record;
}

void ClaimSegment::seal(std::int64_t unixSeconds)
{
    m_sealed = true;
    m_sealedAt = unixSeconds;
}

std::size_t ClaimSegment::capacity(Bytes limit)
{
    const auto bytes = static_cast<std::size_t>(limit.value());
    constexpr std::size_t fixed = headerBytes + checksumBytes;
    return bytes < fixed ? 0 : (bytes - fixed) / recordBytes;
}

} // namespace fuchsialb::internal
