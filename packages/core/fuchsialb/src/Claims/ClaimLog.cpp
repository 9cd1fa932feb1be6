#include "ClaimLogImpl.h"

#include "../Base/Hash.h"
#include "ByteCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace fuchsialb {

namespace internal {

    namespace {

        // Keeps a slash in a target's name from making the keys of two targets meet.
        std::string keyPart(std::string_view name)
        {
            std::string part;
            for (const char c : name) {
                const auto byte = static_cast<unsigned char>(c);
                if (std::isalnum(byte) || c == '-' || c == '_' || c == '.')
                    part += c;
                else
                    part += fmt::format("%{:02x}", byte);
            }
            return part;
        }

    } // namespace

    ClaimLogImpl::ClaimLogImpl(
        const TargetId& target, std::uint32_t shards, ClaimOptions options, const Clock& clock, ClaimFault fault)
        : m_options(std::move(options))
    {
        for (std::uint32_t i = 0; i < shards; ++i) {
            m_shards.push_back(std::make_unique<ClaimShard>(
                fmt::format("claims/{}/{}/", keyPart(target.value()), i), i, shards, m_options, clock, fault, m_out));
        }
    }

    ClaimShard& ClaimLogImpl::shardOf(const ClaimKey& key)
    {
        return *m_shards[claimShard(key, static_cast<std::uint32_t>(m_shards.size()))];
    }

    void ClaimLogImpl::claim(RequestId request, AttemptId attempt, ClaimKey key, std::uint64_t bodyDigest)
    {
        shardOf(key).claim(request, attempt, key, bodyDigest);
    }

    void ClaimLogImpl::settle(AttemptId attempt, ClaimKey key, Outcome outcome, std::uint32_t httpStatus)
    {
        // HTTP statuses have three digits; the record holds 16 bits.
        const auto status = static_cast<std::uint16_t>(std::min<std::uint32_t>(httpStatus, UINT16_MAX));
        shardOf(key).settle(attempt, key, outcome, status);
    }

    void ClaimLogImpl::onAnswer(const StoreAnswer& answer)
    {
        m_shards[answer.operation.value() % m_shards.size()]->onAnswer(answer);
    }

    void ClaimLogImpl::tick()
    {
        for (const auto& shard : m_shards)
            shard->tick();
    }

    std::vector<StoreOperation> ClaimLogImpl::takeOperations() { return std::exchange(m_out.operations, {}); }

    std::vector<ClaimAnswered> ClaimLogImpl::takeAnswered() { return std::exchange(m_out.answered, {}); }

    bool ClaimLogImpl::idle() const
    {
        return std::all_of(m_shards.begin(), m_shards.end(), [](const auto& shard) { return shard->idle(); });
    }

} // namespace internal

ClaimKey claimKey(const OrganisationId& organisation, const TargetId& target, std::string_view idempotencyKey)
{
    std::string bytes;
    for (const std::string_view part :
        { std::string_view(organisation.value()), std::string_view(target.value()), idempotencyKey }) {
        internal::ByteWriter length;
        length.put(static_cast<std::uint64_t>(part.size()));
        bytes += length.bytes();
        bytes += part;
    }
    return ClaimKey(hash128(bytes));
}

absl::StatusOr<std::unique_ptr<ClaimLog>> ClaimLog::create(
    TargetId target, std::uint32_t shards, ClaimOptions options, const Clock& clock)
{
    const TargetId name = std::move(target);
    if (name.value().empty() || shards == 0)
        return error(Reason::InvalidInput, "a claim log needs a target and at least one shard");
    if (!options.unixSeconds)
        return error(Reason::InvalidInput, "ClaimOptions::unixSeconds is not set");
    if (options.minBatchInterval <= Duration(0) || options.maxBatchInterval < options.minBatchInterval
        || options.claimTimeout <= Duration(0) || options.retention <= Duration(0)
        || options.maxClockError < Duration(0) || options.maxSegmentAge <= Duration(0))
        return error(Reason::InvalidInput, "a duration of the claim options is out of range");
    if (internal::ClaimSegment::capacity(options.maxSegment) == 0 || options.maxSegment > Bytes(1'000'000))
        return error(Reason::InvalidInput, "maxSegment must hold a record and be at most 1 MB");
    return std::make_unique<internal::ClaimLogImpl>(name, shards, std::move(options), clock);
}

} // namespace fuchsialb
