#pragma once

#include "ConfigHistory.h"

#include "fuchsialb/Config.h"
#include "fuchsialb/Store.h"

#include <absl/status/statusor.h>

#include <functional>
#include <optional>

namespace fuchsialb {

/// \brief The head record and the version of its key.
struct StoredHead {
    ConfigurationHead head;
    KeyVersion keyVersion;
};

/// \brief Reads and replaces the configuration in the platform's store, waiting for each answer.
class ConfigStore {
public:
    /// Values of the store hold up to 1 MB.
    static constexpr std::size_t maxChunk = 900'000;

    enum class Published : unsigned char {
        /// In the store. It may already have been superseded by a later one.
        Accepted,
        /// The head was not at the expected version; nothing changed.
        Conflict,
        /// Nothing changed.
        Unavailable,
        /// May have been accepted.
        Unknown,
    };

    /// \param client Its callbacks run before its calls return (see `TransportClient`).
    /// \param sleep Waits between attempts.
    ConfigStore(StoreClient& client, std::function<void(Duration)> sleep);

    /// \return The head, empty when there is no configuration yet.
    absl::StatusOr<std::optional<StoredHead>> head();
    /// \return The configuration that a head names, with every digest checked.
    absl::StatusOr<Configuration> load(const ConfigurationHead& head);
    absl::StatusOr<ConfigHistory> history();
    /// Writes the chunks, lists the present head in the history, and replaces the head. Every step may be repeated, so
    /// lost answers are settled by trying again and reading back.
    /// \param present The head that the operator saw.
    Published publish(const Configuration& configuration, const std::optional<StoredHead>& present);

private:
    StoreAnswer read(const std::string& key);
    StoreAnswer write(const std::string& key, KeyVersion expected, const std::string& value);
    StoreAnswer readPatiently(const std::string& key);
    bool putChunk(const std::string& chunk);
    bool putChunks(const std::vector<std::string>& chunks);
    bool record(const ConfigurationHead& head, std::vector<ConfigurationHead>& dropped);
    Published replaceHead(const ConfigurationHead& head, KeyVersion expected);
    /// \return Whether the head is, or was, the one in the store; empty when that can't be read.
    std::optional<bool> isStored(const ConfigurationHead& head, KeyVersion expected, bool& unchanged);
    void deleteUnused(const std::vector<ConfigurationHead>& dropped, const ConfigurationHead& present);
    void deleteChunk(const Bits128& digest);

    StoreClient& m_client;
    std::function<void(Duration)> m_sleep;
};

} // namespace fuchsialb
