#pragma once

#include "Configuration.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb {

/// \brief The head record of the configuration in the platform's store.
struct ConfigurationHead {
    ConfigurationVersion version;
    Bits128 digest;
    /// Digests of the chunks, in order; the key of a chunk is "config/chunk/" and its digest in hexadecimal.
    std::vector<Bits128> chunks;
};

inline constexpr std::string_view configurationHeadKey = "config/head";

/// \return The canonical JSON encoding: equal configurations give equal bytes.
std::string encodeConfiguration(const Configuration& configuration);
/// \return `InvalidConfiguration` when the bytes are not a whole, consistent configuration.
absl::StatusOr<Configuration> decodeConfiguration(std::string_view bytes);

std::string encodeHead(const ConfigurationHead& head);
absl::StatusOr<ConfigurationHead> decodeHead(std::string_view bytes);

/// \return The key of a chunk in the platform's store.
std::string chunkKey(const Bits128& digest);

/// \brief Splits an encoding into chunks of at most `maxChunk` bytes, each named by its digest.
std::vector<std::string> splitChunks(std::string_view encoding, std::size_t maxChunk);

} // namespace fuchsialb
