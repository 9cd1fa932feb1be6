#pragma once

#include "../Base/Clock.h"
#include "../Base/Ids.h"
#include "../Claims/ClaimLog.h"
#include "../Config/Configuration.h"
#include "../Config/ConfigurationCodec.h"
#include "../Member/Membership.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
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
    /// Age of the latest answer of the store that this daemon knows of, its own or a peer's; `Duration::max()` when
    /// none is known.
    Duration storeAge = Duration::max();
    /// The store shows a lower version than a peer holds.
    bool storeBehind = false;
    /// Answers that the store gave this daemon, for `Membership::setStoreAnswers`.
    std::uint64_t storeAnswers = 0;
    /// Encodings that were refused: wrong digest, or not a whole configuration of the version that was announced.
    std::uint64_t refused = 0;
};

/// \brief Deliberate faults by which tests prove that their checkers work.
enum class SpreadFault : unsigned char {
    None,
    /// Installs a version lower than the one in force.
    InstallLower,
    /// Installs an encoding whose digest doesn't match.
    IgnoreDigest,
    /// Never takes over from silent watchers.
    NeverTakeOver,
};

struct SpreadOptions {
    std::uint32_t watchers = 2;
    /// Members beyond the regular watchers that may take over at once; bounds the load on a store that returns.
    std::uint32_t extraWatchers = 8;
    /// An answer each second keeps the news that members have of a working watch under 3 s old. With 2 watchers in each
    /// of 11 data centres this is 22 answers/s of the store's 2,000 reads/s.
    Duration watchWait { std::chrono::seconds(1) };
    /// Time beyond the wait after which a store operation is given up.
    Duration operationTimeout { std::chrono::milliseconds(500) };
    /// A watch doesn't fire while a store that was restored to older data is below the last version seen, so the head
    /// is also read at this interval.
    Duration readPeriod { std::chrono::seconds(2) };
    Duration takeOverAfter { std::chrono::seconds(3) };
    Bytes chunk { 65'536 };
    Duration pullTimeout { std::chrono::milliseconds(500) };
    /// Codec: `decodeConfiguration`, `decodeHead` and `chunkKey`. All three must be set.
    std::function<absl::StatusOr<Configuration>(std::string_view)> decode;
    std::function<absl::StatusOr<ConfigurationHead>(std::string_view)> decodeHead;
    std::function<std::string(const Bits128&)> chunkKey;
    /// For tests only.
    SpreadFault fault = SpreadFault::None;
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
    /// \param news What `Membership::storeNews` returns. Called before each `tick`.
    virtual void onStoreNews(const std::vector<StoreNews>& news) = 0;
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
