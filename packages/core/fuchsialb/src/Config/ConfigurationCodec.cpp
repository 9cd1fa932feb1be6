#include "ConfigurationCodec.h"

#include "../Base/Hash.h"
#include "ConfigurationCheck.h"
#include "ConfigurationDocument.h"
#include "JsonObject.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <limits>

namespace fuchsialb {

namespace {

    using internal::JsonObject;
    using nlohmann::json;

    constexpr std::int64_t configurationFormat = 1;
    constexpr std::int64_t headFormat = 1;
    constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t maxCount = std::numeric_limits<std::uint32_t>::max();
    constexpr std::string_view targetKindNames[] = { "model", "service" };
    constexpr std::string_view stateNames[] = { "active", "leaving" };

    json encodeEntry(const Target& target)
    {
        return { { "kind", targetKindNames[static_cast<std::size_t>(target.kind)] }, { "layers", target.layers },
            { "idempotent", target.idempotent }, { "hidden_state_bytes", target.hiddenState.value() },
            { "claim_shards", target.claimShards } };
    }

    json encodeEntry(const Endpoint& endpoint)
    {
        return { { "data_centre", endpoint.dataCentre.value() }, { "group", endpoint.group.value() },
            { "target", endpoint.target.value() }, { "address", endpoint.address },
            { "state", stateNames[static_cast<std::size_t>(endpoint.state)] }, { "first_layer", endpoint.layers.first },
            { "end_layer", endpoint.layers.end }, { "accelerator", endpoint.acceleratorKind.value() },
            { "accelerators", endpoint.accelerators }, { "link", endpoint.link.value() },
            { "max_concurrency", endpoint.maxConcurrency }, { "fencing", endpoint.checksFencing },
            { "deduplicates", endpoint.deduplicates } };
    }

    json encodeEntry(const Organisation& organisation) { return { { "weight", organisation.weight } }; }

    json encodeEntry(const AcceleratorKind& kind)
    {
        return { { "layer_base_us", kind.layerBase.count() },
            { "layer_per_sequence_us", kind.layerPerSequence.count() },
            { "layer_per_prompt_token_ns", kind.layerPerPromptToken.count() } };
    }

    json encodeEntry(const LinkClass& link)
    {
        return { { "delay_us", link.delay.count() }, { "bytes_per_second", link.bandwidth.value() } };
    }

    json encodeEntry(const RankRule& rule)
    {
        return { { "share", rule.share }, { "first_token_us", rule.firstTokenTarget.count() },
            { "between_tokens_us", rule.betweenTokensTarget.count() },
            { "max_queue_wait_us", rule.maxQueueWait.count() } };
    }

    template <typename Id, typename Entry> json encodeEntries(const std::map<Id, Entry>& entries)
    {
        json result = json::object();
        for (const auto& [id, entry] : entries)
            result[id.value()] = encodeEntry(entry);
        return result;
    }

    std::uint32_t count(JsonObject& object, std::string_view key)
    {
        return static_cast<std::uint32_t>(object.integer(key, 0, maxCount));
    }

    Duration microseconds(JsonObject& object, std::string_view key)
    {
        return Duration(object.integer(key, 0, limits::duration.count()));
    }

    /// \return The index of the member's value in `names`.
    template <std::size_t size>
    std::size_t choice(JsonObject& object, std::string_view key, const std::string_view (&names)[size])
    {
        const std::string value = object.text(key);
        for (std::size_t i = 0; i < size; ++i) {
            if (names[i] == value)
                return i;
        }
        object.fail(key, fmt::format("one of {}", fmt::join(names, ", ")));
        return 0;
    }

    void decodeEntry(JsonObject& object, Target& target)
    {
        target.kind = static_cast<TargetKind>(choice(object, "kind", targetKindNames));
        target.layers = count(object, "layers");
        target.idempotent = object.boolean("idempotent");
        target.hiddenState = Bytes(object.integer("hidden_state_bytes", 0, maxInteger));
        target.claimShards = count(object, "claim_shards");
    }

    void decodeEntry(JsonObject& object, Endpoint& endpoint)
    {
        endpoint.dataCentre = DataCentreId(object.text("data_centre"));
        endpoint.group = GroupId(object.text("group"));
        endpoint.target = TargetId(object.text("target"));
        endpoint.address = object.text("address");
        endpoint.state = static_cast<EndpointState>(choice(object, "state", stateNames));
        endpoint.layers = { count(object, "first_layer"), count(object, "end_layer") };
        endpoint.acceleratorKind = AcceleratorKindId(object.text("accelerator"));
        endpoint.accelerators = count(object, "accelerators");
        endpoint.link = LinkClassId(object.text("link"));
        endpoint.maxConcurrency = count(object, "max_concurrency");
        endpoint.checksFencing = object.boolean("fencing");
        endpoint.deduplicates = object.boolean("deduplicates");
    }

    void decodeEntry(JsonObject& object, Organisation& organisation) { organisation.weight = object.number("weight"); }

    void decodeEntry(JsonObject& object, AcceleratorKind& kind)
    {
        kind.layerBase = microseconds(object, "layer_base_us");
        kind.layerPerSequence = microseconds(object, "layer_per_sequence_us");
        kind.layerPerPromptToken = std::chrono::nanoseconds(
            object.integer("layer_per_prompt_token_ns", 0, std::chrono::nanoseconds(limits::duration).count()));
    }

    void decodeEntry(JsonObject& object, LinkClass& link)
    {
        link.delay = microseconds(object, "delay_us");
        link.bandwidth = BytesPerSecond(object.number("bytes_per_second"));
    }

    void decodeEntry(JsonObject& object, RankRule& rule)
    {
        rule.share = object.number("share");
        rule.firstTokenTarget = microseconds(object, "first_token_us");
        rule.betweenTokensTarget = microseconds(object, "between_tokens_us");
        rule.maxQueueWait = microseconds(object, "max_queue_wait_us");
    }

    template <typename Id, typename Entry>
    void decodeEntries(JsonObject& parent, std::string_view key, std::map<Id, Entry>& entries, absl::Status& status)
    {
        for (const auto& [id, value] : parent.object(key).items()) {
            JsonObject object(value, fmt::format("{}/{}/{}", parent.path(), key, id), status);
            Entry entry;
            entry.id = Id(id);
            decodeEntry(object, entry);
            object.finish();
            entries.emplace_hint(entries.end(), Id(id), std::move(entry));
        }
    }

    void decodeRanks(JsonObject& parent, Configuration& configuration, absl::Status& status)
    {
        JsonObject ranks(parent.object("ranks"), parent.path() + "/ranks", status);
        for (Rank rank : allRanks) {
            const json* value = ranks.member(rankName(rank));
            if (!value)
                continue;
            JsonObject object(*value, fmt::format("{}/{}", ranks.path(), rankName(rank)), status);
            decodeEntry(object, configuration.ranks[rank]);
            object.finish();
        }
        ranks.finish();
        const std::optional<Rank> rank = rankFromName(parent.text("default_rank"));
        if (!rank)
            parent.fail("default_rank", "urgent, recording or summary");
        configuration.defaultRank = rank.value_or(Rank::Recording);
    }

    json parse(std::string_view bytes, absl::Status& status)
    {
        json document = json::parse(bytes, nullptr, false);
        if (document.is_discarded())
            status = error(Reason::InvalidConfiguration, "not JSON");
        return document;
    }

    std::optional<Bits128> bitsFromHex(std::string_view hex)
    {
        constexpr std::size_t wordDigits = 16;
        Bits128 bits;
        if (hex.size() != 2 * wordDigits || hex.find_first_not_of("0123456789abcdef") != std::string_view::npos)
            return std::nullopt;
        static_cast<void>(absl::SimpleHexAtoi(absl::string_view(hex.data(), wordDigits), &bits.high));
        static_cast<void>(absl::SimpleHexAtoi(absl::string_view(hex.data() + wordDigits, wordDigits), &bits.low));
        return bits;
    }

    Configuration readConfiguration(JsonObject& root, absl::Status& status)
    {
        Configuration configuration;
        root.integer("format", configurationFormat, configurationFormat);
        configuration.version
            = ConfigurationVersion(static_cast<std::uint64_t>(root.integer("version", 0, maxInteger)));
        decodeEntries(root, "targets", configuration.targets, status);
        decodeEntries(root, "endpoints", configuration.endpoints, status);
        decodeEntries(root, "organisations", configuration.organisations, status);
        decodeEntries(root, "accelerators", configuration.acceleratorKinds, status);
        decodeEntries(root, "links", configuration.linkClasses, status);
        decodeRanks(root, configuration, status);
        configuration.serveUnlistedOrganisations = root.boolean("serve_unlisted_organisations");
        configuration.claimRetention
            = std::chrono::hours(root.integer("claim_retention_hours", 1, limits::claimRetention.count()));
        root.finish();
        return configuration;
    }

} // namespace

nlohmann::json internal::configurationDocument(const Configuration& configuration)
{
    json ranks = json::object();
    for (Rank rank : allRanks)
        ranks[std::string(rankName(rank))] = encodeEntry(configuration.ranks[rank]);
    return { { "format", configurationFormat }, { "version", configuration.version.value() },
        { "targets", encodeEntries(configuration.targets) }, { "endpoints", encodeEntries(configuration.endpoints) },
        { "organisations", encodeEntries(configuration.organisations) },
        { "accelerators", encodeEntries(configuration.acceleratorKinds) },
        { "links", encodeEntries(configuration.linkClasses) }, { "ranks", std::move(ranks) },
        { "default_rank", rankName(configuration.defaultRank) },
        { "serve_unlisted_organisations", configuration.serveUnlistedOrganisations },
        { "claim_retention_hours", configuration.claimRetention.count() } };
}

std::string encodeConfiguration(const Configuration& configuration)
{
    return internal::configurationDocument(configuration).dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<Configuration> decodeConfiguration(std::string_view bytes)
{
    absl::Status status;
    const json document = parse(bytes, status);
    if (!status.ok())
        return status;
    JsonObject root(document, "", status);
    Configuration configuration = readConfiguration(root, status);
    if (!status.ok())
        return status;
    const std::vector<ConfigurationProblem> problems = checkConfiguration(configuration);
    if (!problems.empty()) {
        const ConfigurationProblem& problem = problems.front();
        return error(Reason::InvalidConfiguration,
            fmt::format("{} {} {}: read is {}, accepted is {}", entryKindName(problem.kind), problem.id, problem.field,
                problem.read, problem.accepted));
    }
    // Catches what the members alone don't show, such as a key that is present twice.
    if (encodeConfiguration(configuration) != bytes)
        return error(Reason::InvalidConfiguration, "not in the canonical form");
    return configuration;
}

std::string encodeHead(const ConfigurationHead& head)
{
    json chunks = json::array();
    for (const Bits128& digest : head.chunks)
        chunks.push_back(toHex(digest));
    return json {
        { "format", headFormat }, { "version", head.version.value() }, { "digest", toHex(head.digest) },
        { "chunks", std::move(chunks) }
    }.dump();
}

absl::StatusOr<ConfigurationHead> decodeHead(std::string_view bytes)
{
    absl::Status status;
    const json document = parse(bytes, status);
    if (!status.ok())
        return status;
    JsonObject root(document, "", status);
    ConfigurationHead head;
    root.integer("format", headFormat, headFormat);
    head.version = ConfigurationVersion(static_cast<std::uint64_t>(root.integer("version", 1, maxInteger)));
    const std::optional<Bits128> digest = bitsFromHex(root.text("digest"));
    if (!digest)
        root.fail("digest", "32 lower-case hexadecimal digits");
    head.digest = digest.value_or(Bits128 {});
    const json* chunks = root.member("chunks");
    if (!chunks || !chunks->is_array() || chunks->empty())
        root.fail("chunks", "a list of at least one digest");
    for (std::size_t i = 0; status.ok() && i < chunks->size(); ++i) {
        const json& chunk = (*chunks)[i];
        const std::optional<Bits128> bits = chunk.is_string() ? bitsFromHex(chunk.get<std::string>()) : std::nullopt;
        if (!bits)
            root.fail("chunks", "a list of digests of 32 lower-case hexadecimal digits");
        head.chunks.push_back(bits.value_or(Bits128 {}));
    }
    root.finish();
    if (!status.ok())
        return status;
    return head;
}

std::string chunkKey(const Bits128& digest) { return fmt::format("config/chunk/{}", toHex(digest)); }

std::vector<std::string> splitChunks(std::string_view encoding, std::size_t maxChunk)
{
    assert(maxChunk > 0);
    std::vector<std::string> chunks;
    for (std::size_t offset = 0; offset < encoding.size(); offset += maxChunk)
        chunks.emplace_back(encoding.substr(offset, maxChunk));
    return chunks;
}

} // namespace fuchsialb
