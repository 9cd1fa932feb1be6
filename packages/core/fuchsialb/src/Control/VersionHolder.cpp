#include "VersionHolder.h"

#include "../Base/Hash.h"

#include <algorithm>
#include <utility>

namespace fuchsialb::internal {

namespace {

    /// Bounds the memory that a peer can make this host use; 5,000 endpoints encode to about 1 MB.
    constexpr std::uint64_t maxEncoding = 64ULL << 20;

} // namespace

VersionHolder::VersionHolder(std::function<absl::StatusOr<Configuration>(std::string_view)> decode, SpreadFault fault)
    : m_decode(std::move(decode))
    , m_fault(fault)
{
}

ConfigurationVersion VersionHolder::number() const { return m_inForce ? m_inForce->number : ConfigurationVersion(); }

bool VersionHolder::mayReplace(ConfigurationVersion version) const
{
    if (m_fault == SpreadFault::InstallLower)
        return version != number();
    return version > number();
}

VersionHolder::Offer VersionHolder::offer(const ConfigChunk& chunk)
{
    if (!mayReplace(chunk.version) || chunk.total > maxEncoding)
        return Offer::Ignored;
    const bool continues = m_partial && m_partial->number == chunk.version && m_partial->digest == chunk.digest
        && m_partial->total == chunk.total && m_partial->bytes.size() == chunk.offset;
    if (!continues) {
        const bool starts = chunk.offset == 0 && (!m_partial || m_partial->number != chunk.version);
        if (!starts)
            return Offer::Ignored;
        m_partial = { chunk.version, chunk.digest, chunk.total, {} };
    }
    if (chunk.bytes.empty() && chunk.total > 0)
        return Offer::Ignored;
    m_partial->bytes += chunk.bytes;
    if (m_partial->bytes.size() < m_partial->total)
        return Offer::Progress;
    Partial whole = std::move(*m_partial);
    m_partial.reset();
    return offerWhole(whole.number, whole.digest, std::move(whole.bytes));
}

VersionHolder::Offer VersionHolder::offerWhole(
    ConfigurationVersion version, const Bits128& digest, std::string encoding)
{
    if (!mayReplace(version))
        return Offer::Ignored;
    if (hash128(encoding) != digest && m_fault != SpreadFault::IgnoreDigest)
        return Offer::Refused;
    auto configuration = m_decode(encoding);
    if (!configuration.ok() || configuration->version != version)
        return Offer::Refused;
    m_inForce
        = std::make_shared<const Version>(Version { version, digest, std::move(encoding), *std::move(configuration) });
    if (m_partial && !mayReplace(m_partial->number))
        m_partial.reset();
    return Offer::Installed;
}

ConfigPull VersionHolder::next(ConfigurationVersion target) const
{
    if (m_partial && m_partial->number == target)
        return { target, m_partial->bytes.size() };
    return { target, 0 };
}

std::optional<ConfigChunk> VersionHolder::answer(const ConfigPull& pull, std::size_t maxChunk) const
{
    if (!m_inForce || m_inForce->number < pull.version)
        return std::nullopt;
    // A newer version than the one asked for starts from its beginning.
    const std::uint64_t offset = m_inForce->number == pull.version ? pull.offset : 0;
    if (offset > m_inForce->encoding.size())
        return std::nullopt;
    return ConfigChunk { m_inForce->number, offset, m_inForce->encoding.size(), m_inForce->digest,
        m_inForce->encoding.substr(offset, maxChunk) };
}

} // namespace fuchsialb::internal
