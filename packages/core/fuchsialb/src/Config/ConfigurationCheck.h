#pragma once

#include "Configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb {

/// \brief Kinds of entries of a configuration.
enum class EntryKind : unsigned char {
    Target,
    Endpoint,
    Organisation,
    AcceleratorKind,
    LinkClass,
    Rank,
    /// Values that belong to the configuration as a whole.
    General,
};

/// \return "target", "endpoint", "organisation", "accelerator", "link", "rank" or "general".
std::string_view entryKindName(EntryKind kind);

/// \brief An inconsistency between or within entries of a configuration.
struct ConfigurationProblem {
    EntryKind kind = EntryKind::General;
    /// Id of the entry.
    std::string id;
    /// Name of the field, as the inventory's column or the rules' key has it.
    std::string field;
    std::string read;
    std::string accepted;
};

/// Ranges of the values of a configuration. The parsers and the codec accept the same ones.
namespace limits {
    inline constexpr std::size_t idLength = 64;
    inline constexpr std::uint32_t layers = 4096;
    inline constexpr std::uint32_t claimShards = 1024;
    inline constexpr std::uint32_t accelerators = 1024;
    inline constexpr std::uint32_t concurrency = 1'000'000;
    /// Route planning is proportional to the products of neighbouring stage replicas within a group.
    inline constexpr std::size_t runnersInGroup = 16;
    inline constexpr double maxWeight = 1e6;
    inline constexpr double minWeight = 1e-3;
    inline constexpr double minBandwidth = 1e3;
    inline constexpr double maxBandwidth = 1e13;
    inline constexpr std::int64_t hiddenStateBytes = std::int64_t { 64 } * 1024 * 1024;
    inline constexpr Duration duration { std::chrono::hours(24) };
    inline constexpr std::chrono::hours claimRetention { 24 * 31 };
} // namespace limits

/// \return Whether `id` is 1 to 64 letters, digits, '.', '_' or '-', the first one a letter or a digit. Ids appear in
/// store keys and URLs.
bool validId(std::string_view id);

/// \return Whether `address` is "IPv4:port" or "[IPv6]:port" with a port of 1 to 65535.
bool validAddress(std::string_view address);

/// \return Every inconsistency, in the order of the configuration's entries; empty for a consistent configuration.
std::vector<ConfigurationProblem> checkConfiguration(const Configuration& configuration);

} // namespace fuchsialb
