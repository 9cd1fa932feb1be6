#pragma once

#include "../Base/Clock.h"
#include "../Base/Ids.h"
#include "../Claims/ClaimLog.h"
#include "../Config/Configuration.h"
#include "../Member/Membership.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fuchsialb {

/// \brief Asks a peer for the encoded configuration from `offset` on.
struct ConfigPull {
    ConfigurationVersion version;
    std::uint64_t offset = 0;

    bool operator==(const ConfigPull&) const = default;
};

/// \brief A part of an encoded configuration.
struct ConfigChunk {
    ConfigurationVersion version;
    std::uint64_t offset = 0;
    std::uint64_t total = 0;
    /// Digest of the whole encoding.
    Bits128 digest;
    std::string bytes;

    bool operator==(const ConfigChunk&) const = default;
};

using ConfigMessage = std::variant<ConfigPull, ConfigChunk>;

struct ConfigSend {
    HostId to;
    ConfigMessage message;
};

/// \brief Long poll on a key: answered when its version passes `after`, or empty after `wait`.
struct StoreWatch {
    StoreOperationId operation;
    std::string key;
    KeyVersion after;
    Duration wait { 0 };
};

using ControlOperation = std::variant<StoreRead, StoreWatch>;

/// \brief State of the configuration on this daemon, for `status` and metrics.
struct SpreadStatus {
    ConfigurationVersion inForce;
    bool watching = false;
    /// Age of the latest answer of the store that this daemon knows of, its own or a peer's.
    Duration storeAge { 0 };
    /// The store shows a lower version than a peer holds.
    bool storeBehind = false;
};

struct SpreadOptions {
    std::uint32_t watchers = 2;
    Duration watchWait { std::chrono::seconds(10) };
    Duration takeOverAfter { std::chrono::seconds(3) };
    Bytes chunk { 64 * 1024 };
    Duration pullTimeout { std::chrono::milliseconds(500) };
};

/// \brief Brings the newest accepted configuration into force on this daemon and never goes back.
class ConfigurationSpread {
public:
    /// \param self Id of this host.
    static absl::StatusOr<std::unique_ptr<ConfigurationSpread>> create(
        HostId self, DataCentreId dataCentre, SpreadOptions options, const Clock& clock);

    virtual ~ConfigurationSpread() = default;

    /// \param members Current view; the configuration versions in it say who is ahead.
    virtual void onMembers(const std::vector<Member>& members) = 0;
    virtual void onMessage(const HostId& from, const ConfigMessage& message) = 0;
    virtual void onAnswer(const StoreAnswer& answer) = 0;
    virtual void tick() = 0;

    /// \return The configuration in force, or null before the first.
    virtual std::shared_ptr<const Configuration> inForce() const = 0;
    virtual SpreadStatus status() const = 0;
    virtual std::vector<ControlOperation> takeOperations() = 0;
    virtual std::vector<ConfigSend> takeSends() = 0;
};

} // namespace fuchsialb
