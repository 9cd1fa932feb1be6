#include "ClaimSegment.h"

#include "../Base/Hash.h"
#include "ByteCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <cassert>
#include <cstring>

namespace fuchsialb::internal {

namespace {

    constexpr std::uint8_t formatVersion = 1;

    // Writes little-endian numbers to memory of the right size.
    class Cursor {
    public:
        explicit Cursor(char* at)
            : m_at(at)
        {
        }

        template <typename Number> void put(Number value)
        {
            if constexpr (std::endian::native == std::endian::little) {
                std::memcpy(m_at, &value, sizeof(value));
            } else {
                for (std::size_t i = 0; i < sizeof(value); ++i)
                    m_at[i] = static_cast<char>((static_cast<std::uint64_t>(value) >> (8 * i)) & 0xff);
            }
            m_at += sizeof(value);
        }

        void put(const ClaimRecord& record)
        {
            put(record.key.value().high);
            put(record.key.value().low);
            put(record.bodyDigest);
            put(record.attempt.value().high);
            put(record.attempt.value().low);
            put(static_cast<std::uint8_t>(record.state));
            put(record.httpStatus);
        }

    private:
        char* m_at;
    };

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
    segment.m_header.sealed = sealed == 1;
    segment.m_header.createdAt = in.read<std::int64_t>();
    segment.m_header.sealedAt = in.read<std::int64_t>();
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

std::string ClaimSegment::encode(const Header& header, const std::vector<ClaimRecord>& changes) const
{
    const auto added = static_cast<std::size_t>(std::count_if(
        changes.begin(), changes.end(), [this](const ClaimRecord& record) { return !m_index.contains(record.key); }));
    const std::size_t count = m_records.size() + added;
    std::string bytes(headerBytes + count * recordBytes + checksumBytes, '\0');
    Cursor out(bytes.data());
    out.put(formatVersion);
    out.put(static_cast<std::uint8_t>(header.sealed ? 1 : 0));
    out.put(header.createdAt);
    out.put(header.sealedAt);
    out.put(static_cast<std::uint32_t>(count));
    for (const ClaimRecord& record : m_records)
        out.put(record);
    for (const ClaimRecord& record : changes) {
        const auto found = m_index.find(record.key);
        if (found == m_index.end())
            out.put(record);
        else
            Cursor(bytes.data() + headerBytes + found->second * recordBytes).put(record);
    }
    out.put(hash64(std::string_view(bytes).substr(0, bytes.size() - checksumBytes)));
    return bytes;
}

const ClaimRecord* ClaimSegment::find(const ClaimKey& key) const
{
    const auto found = m_index.find(key);
    return found == m_index.end() ? nullptr : &m_records[found->second];
}

void ClaimSegment::put(const ClaimRecord& record)
{
    assert(!sealed());
    const auto [entry, isNew] = m_index.emplace(record.key, m_records.size());
    if (isNew)
        m_records.push_back(record);
    else
        m_records[entry->second] = record;
}

void ClaimSegment::seal(std::int64_t unixSeconds)
{
    m_header.sealed = true;
    m_header.sealedAt = unixSeconds;
}

std::size_t ClaimSegment::capacity(Bytes limit)
{
    const auto bytes = static_cast<std::size_t>(limit.value());
    constexpr std::size_t fixed = headerBytes + checksumBytes;
    return bytes < fixed ? 0 : (bytes - fixed) / recordBytes;
}

} // namespace fuchsialb::internal
