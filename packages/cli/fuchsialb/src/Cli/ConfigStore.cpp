#include "ConfigStore.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace fuchsialb {

namespace {

    using Kind = StoreAnswer::Kind;

    constexpr int maxAttempts = 5;
    constexpr Duration pause = std::chrono::milliseconds(200);

    absl::Status unavailable(const std::string& key)
    {
        return error(Reason::StoreUnavailable, fmt::format("{} can't be read from the store", key));
    }

    bool sameHead(const ConfigurationHead& a, const ConfigurationHead& b)
    {
        return a.version == b.version && a.digest == b.digest;
    }

} // namespace

ConfigStore::ConfigStore(StoreClient& client, std::function<void(Duration)> sleep)
    : m_client(client)
    , m_sleep(std::move(sleep))
{
}

StoreAnswer ConfigStore::read(const std::string& key)
{
    StoreAnswer result;
    m_client.read({ StoreOperationId(), key }, [&](StoreAnswer answer) { result = std::move(answer); });
    return result;
}

StoreAnswer ConfigStore::write(const std::string& key, KeyVersion expected, const std::string& value)
{
    StoreAnswer result;
    m_client.compareAndSwap({ StoreOperationId(), key, expected, value }, LeaseId(),
        [&](StoreAnswer answer) { result = std::move(answer); });
    return result;
}

StoreAnswer ConfigStore::readPatiently(const std::string& key)
{
    StoreAnswer answer = read(key);
    for (int attempt = 1; attempt < maxAttempts && answer.kind == Kind::Failed; ++attempt) {
        m_sleep(pause);
        answer = read(key);
    }
    return answer;
}

absl::StatusOr<std::optional<StoredHead>> ConfigStore::head()
{
    const std::string key(configurationHeadKey);
    const StoreAnswer answer = readPatiently(key);
    if (answer.kind == Kind::Missing)
        return std::optional<StoredHead>();
    if (answer.kind != Kind::Ok)
        return unavailable(key);
    auto head = decodeHead(answer.value);
    if (!head.ok())
        return head.status();
    return std::optional<StoredHead>({ *std::move(head), answer.version });
}

absl::StatusOr<Configuration> ConfigStore::load(const ConfigurationHead& head)
{
    std::string encoding;
    for (const Bits128& digest : head.chunks) {
        const std::string key = chunkKey(digest);
        const StoreAnswer answer = readPatiently(key);
        if (answer.kind == Kind::Failed)
            return unavailable(key);
        if (answer.kind != Kind::Ok || hash128(answer.value) != digest)
            return error(Reason::InvalidConfiguration, fmt::format("{} is missing or damaged", key));
        encoding += answer.value;
    }
    if (hash128(encoding) != head.digest)
        return error(Reason::InvalidConfiguration, "the chunks don't have the digest of the head");
    auto configuration = decodeConfiguration(encoding);
    if (configuration.ok() && configuration->version != head.version)
        return error(Reason::InvalidConfiguration, "the chunks don't have the version of the head");
    return configuration;
}

absl::StatusOr<ConfigHistory> ConfigStore::history()
{
    const std::string key(configurationHistoryKey);
    const StoreAnswer answer = readPatiently(key);
    if (answer.kind == Kind::Missing)
        return ConfigHistory();
    if (answer.kind != Kind::Ok)
        return unavailable(key);
    return decodeHistory(answer.value);
}

ConfigStore::Published ConfigStore::publish(
    const Configuration& configuration, const std::optional<StoredHead>& present)
{
    const std::string encoding = encodeConfiguration(configuration);
    const std::vector<std::string> chunks = splitChunks(encoding, maxChunk);
    ConfigurationHead head { configuration.version, hash128(encoding), {} };
    for (const std::string& chunk : chunks)
        head.chunks.push_back(hash128(chunk));

    std::vector<ConfigurationHead> dropped;
    if (!putChunks(chunks) || (present && !record(present->head, dropped)))
        return Published::Unavailable;
    const Published published = replaceHead(head, present ? present->keyVersion : KeyVersion());
    if (published != Published::Accepted)
        return published;
    // Another client may have deleted a chunk as unused just before the head named it.
    putChunks(chunks);
    deleteUnused(dropped, head);
    return published;
}

bool ConfigStore::putChunks(const std::vector<std::string>& chunks)
{
    return std::all_of(chunks.begin(), chunks.end(), [this](const std::string& chunk) { return putChunk(chunk); });
}

bool ConfigStore::putChunk(const std::string& chunk)
{
    const std::string key = chunkKey(hash128(chunk));
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        if (attempt > 0)
            m_sleep(pause);
        const StoreAnswer present = read(key);
        if (present.kind == Kind::Ok && present.value == chunk)
            return true;
        if (present.kind == Kind::Failed)
            continue;
        // A present value that differs is damaged, since the key is its digest.
        if (write(key, present.version, chunk).kind == Kind::Ok)
            return true;
    }
    return false;
}

bool ConfigStore::record(const ConfigurationHead& head, std::vector<ConfigurationHead>& dropped)
{
    const std::string key(configurationHistoryKey);
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        if (attempt > 0)
            m_sleep(pause);
        const StoreAnswer present = read(key);
        if (present.kind == Kind::Failed)
            continue;
        // A history that can't be read is begun anew: it must not block a change of the configuration.
        ConfigHistory history = decodeHistory(present.value).value_or(ConfigHistory());
        dropped.clear();
        if (history.find(head.version))
            return true;
        dropped = history.append(head);
        if (write(key, present.version, encodeHistory(history)).kind == Kind::Ok)
            return true;
    }
    return false;
}

ConfigStore::Published ConfigStore::replaceHead(const ConfigurationHead& head, KeyVersion expected)
{
    const std::string key(configurationHeadKey);
    bool lost = false;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        if (attempt > 0)
            m_sleep(pause);
        const StoreAnswer answer = write(key, expected, encodeHead(head));
        if (answer.kind == Kind::Ok)
            return Published::Accepted;
        if (answer.kind == Kind::Failed)
            continue;
        // After a lost answer, or one that the transport sent twice, a conflict may be with this very write.
        lost |= answer.kind == Kind::Lost;
        bool unchanged = false;
        const std::optional<bool> stored = isStored(head, expected, unchanged);
        if (stored == true)
            return Published::Accepted;
        if (stored == false && !unchanged)
            return Published::Conflict;
        // A lost write may still arrive: writing again at the same expected version settles which one counts.
        lost |= !stored.has_value();
    }
    return lost ? Published::Unknown : Published::Unavailable;
}

std::optional<bool> ConfigStore::isStored(const ConfigurationHead& head, KeyVersion expected, bool& unchanged)
{
    const auto present = this->head();
    if (!present.ok())
        return std::nullopt;
    unchanged = (*present ? (*present)->keyVersion : KeyVersion()) == expected;
    if (*present && sameHead((*present)->head, head))
        return true;
    if (unchanged)
        return false;
    // It may have been accepted and replaced since; whoever replaced it has listed it in the history.
    const auto known = history();
    if (!known.ok())
        return std::nullopt;
    const ConfigurationHead* listed = known->find(head.version);
    return listed && sameHead(*listed, head);
}

void ConfigStore::deleteUnused(const std::vector<ConfigurationHead>& dropped, const ConfigurationHead& present)
{
    const auto known = history();
    if (dropped.empty() || !known.ok())
        return;
    std::set<Bits128> used(present.chunks.begin(), present.chunks.end());
    for (const ConfigurationHead& head : known->heads)
        used.insert(head.chunks.begin(), head.chunks.end());
    for (const ConfigurationHead& head : dropped) {
        for (const Bits128& digest : head.chunks) {
            if (used.insert(digest).second)
                deleteChunk(digest);
        }
    }
}

void ConfigStore::deleteChunk(const Bits128& digest)
{
    const StoreAnswer present = read(chunkKey(digest));
    if (present.kind != Kind::Ok)
        return;
    m_client.remove(StoreOperationId(), chunkKey(digest), present.version, [](const StoreAnswer&) {});
    // The head that another client has accepted in the meantime may name the chunk: then it is put back. That client
    // checks its chunks after its head is accepted, so that one of the two always sees it.
    const auto now = head();
    const bool named = !now.ok()
        || (*now
            && std::find((*now)->head.chunks.begin(), (*now)->head.chunks.end(), digest) != (*now)->head.chunks.end());
    if (named)
        putChunk(present.value);
}

} // namespace fuchsialb
