#pragma once

#include "ConfigurationSpread.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace fuchsialb::internal {

/// \brief The rule of what comes into force: whole versions with a matching digest, and never a lower one.
///
/// A value type, so that tests can explore all its states. One encoding is assembled at a time, from chunks in order.
class VersionHolder {
public:
    /// \brief A whole encoding and what it is.
    struct Version {
        ConfigurationVersion number;
        Bits128 digest;
        std::string encoding;
        Configuration configuration;
    };

    enum class Offer : unsigned char {
        /// The chunk is not the one expected next, or not newer than the version in force.
        Ignored,
        Progress,
        Installed,
        /// The whole encoding was refused; the partial one is dropped.
        Refused,
    };

    /// \param decode Codec of a configuration.
    explicit VersionHolder(
        std::function<absl::StatusOr<Configuration>(std::string_view)> decode, SpreadFault fault = SpreadFault::None);

    /// Takes the next chunk of a pull. A chunk at offset 0 of another version starts that version.
    Offer offer(const ConfigChunk& chunk);
    /// Takes a whole encoding, as assembled from the store.
    Offer offerWhole(ConfigurationVersion version, const Bits128& digest, std::string encoding);
    /// \return Whether `version` may come into force after the present one.
    bool mayReplace(ConfigurationVersion version) const;
    /// Drops a partial encoding.
    void abandon() { m_partial.reset(); }
    /// \return What the next pull asks for, given that version `target` is wanted.
    ConfigPull next(ConfigurationVersion target) const;
    /// \return The answer to a pull of a peer, or nothing when this host has nothing that new.
    std::optional<ConfigChunk> answer(const ConfigPull& pull, std::size_t maxChunk) const;

    /// \return The version in force, or null.
    std::shared_ptr<const Version> inForce() const { return m_inForce; }
    /// \return The bytes of the encoding that is being assembled.
    std::string_view partialBytes() const { return m_partial ? m_partial->bytes : std::string_view(); }
    /// \return 0 before the first.
    ConfigurationVersion number() const;

private:
    struct Partial {
        ConfigurationVersion number;
        Bits128 digest;
        std::uint64_t total = 0;
        std::string bytes;
    };

    std::function<absl::StatusOr<Configuration>(std::string_view)> m_decode;
    SpreadFault m_fault;
    std::shared_ptr<const Version> m_inForce;
    std::optional<Partial> m_partial;
};

} // namespace fuchsialb::internal
