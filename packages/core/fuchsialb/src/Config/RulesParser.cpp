#include "RulesParser.h"

#include "UnitText.h"
#include "YamlNode.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <vector>

namespace fuchsialb {

namespace {

    using internal::YamlNode;

    constexpr std::string_view idRule = "1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or a digit";
    constexpr std::string_view durationRule = "a duration such as 90us, 720ms or 2s";

    /// \return What a node is, for an error.
    std::string read(const YamlNode& node)
    {
        if (node.isScalar())
            return node.scalar;
        if (node.isMap())
            return "a mapping";
        return node.kind == YamlNode::Kind::Sequence ? "a list" : "nothing";
    }

    /// Reads the document and collects every mistake.
    class Reader {
    public:
        explicit Reader(std::string_view file)
            : m_errors(std::string(file), Reason::InvalidRules)
        {
            m_rules.file = file;
            for (Rank rank : allRanks)
                m_rules.values.ranks[rank] = defaultRankRule(rank);
        }

        void document(const YamlNode& root)
        {
            Configuration& values = m_rules.values;
            Keys keys;
            keys["targets"] = [&](const YamlNode& node) {
                entries(node, EntryKind::Target, values.targets, [this](auto&... a) { target(a...); });
            };
            keys["accelerators"] = [&](const YamlNode& node) {
                entries(node, EntryKind::AcceleratorKind, values.acceleratorKinds,
                    [this](auto&... a) { accelerator(a...); });
            };
            keys["links"] = [&](const YamlNode& node) {
                entries(node, EntryKind::LinkClass, values.linkClasses, [this](auto&... a) { link(a...); });
            };
            keys["organisations"] = [&](const YamlNode& node) {
                entries(
                    node, EntryKind::Organisation, values.organisations, [this](auto&... a) { organisation(a...); });
            };
            keys["ranks"] = [this](const YamlNode& node) { ranks(node); };
            keys["default_rank"] = [&](const YamlNode& node) { rankValue(node, values.defaultRank); };
            keys["serve_unlisted_organisations"]
                = [&](const YamlNode& node) { boolean(node, values.serveUnlistedOrganisations); };
            keys["claim_retention"] = [&](const YamlNode& node) { retention(node, values.claimRetention); };
            mapping(root, EntryKind::General, "", keys, { "targets" });
        }

        void add(SourcePosition at, std::string_view what, std::string_view accepted, Reason reason)
        {
            m_errors.add(at, what, accepted, reason);
        }

        Parsed<Rules> finish()
        {
            if (m_errors.empty())
                return { std::move(m_rules), {} };
            return { std::nullopt, m_errors.take() };
        }

    private:
        using Keys = std::map<std::string, std::function<void(const YamlNode&)>>;

        void reject(const YamlNode& node, std::string_view accepted) { m_errors.add(node.at, read(node), accepted); }

        template <typename Function> static void forEachEntry(const YamlNode& map, Function function)
        {
            for (std::size_t i = 0; i + 1 < map.children.size(); i += 2)
                function(map.children[i], map.children[i + 1]);
        }

        static std::string names(const Keys& keys)
        {
            std::vector<std::string> list;
            for (const auto& [name, function] : keys)
                list.push_back(name);
            return fmt::format("one of {}", fmt::join(list, ", "));
        }

        /// Passes each key's value to its function; rejects unknown, repeated and missing keys.
        void mapping(const YamlNode& node, EntryKind kind, const std::string& id, const Keys& keys,
            const std::vector<std::string>& required)
        {
            if (!node.isMap()) {
                reject(node, "a mapping");
                return;
            }
            std::set<std::string> seen;
            forEachEntry(node, [&](const YamlNode& key, const YamlNode& value) {
                const auto function = keys.find(key.scalar);
                if (!key.isScalar() || function == keys.end())
                    return reject(key, names(keys));
                if (!seen.insert(key.scalar).second)
                    return reject(key, "a key once");
                m_rules.positions[{ kind, id, key.scalar }] = value.at;
                function->second(value);
            });
            for (const std::string& key : required) {
                if (!seen.contains(key))
                    m_errors.add(node.at, fmt::format("a mapping without {}", key), fmt::format("a key {}", key));
            }
        }

        /// Reads a section whose keys are ids.
        template <typename Id, typename Entry, typename Function>
        void entries(const YamlNode& section, EntryKind kind, std::map<Id, Entry>& known, Function function)
        {
            if (!section.isMap()) {
                reject(section, "a mapping");
                return;
            }
            forEachEntry(section, [&](const YamlNode& key, const YamlNode& value) {
                if (!validId(key.scalar))
                    return reject(key, idRule);
                const auto [entry, added] = known.emplace(Id(key.scalar), Entry());
                if (!added)
                    return reject(key, "an id once");
                m_rules.positions[{ kind, key.scalar, "" }] = key.at;
                entry->second.id = Id(key.scalar);
                function(value, entry->second);
            });
        }

        void target(const YamlNode& node, Target& target)
        {
            std::string kind;
            if (node.isMap()) {
                forEachEntry(node, [&](const YamlNode& key, const YamlNode& value) {
                    if (key.scalar == "kind")
                        kind = value.scalar;
                });
            }
            target.kind = kind == "service" ? TargetKind::Service : TargetKind::Model;
            Keys keys;
            keys["kind"] = [&](const YamlNode& value) {
                if (kind != "model" && kind != "service")
                    reject(value, "model or service");
            };
            std::vector<std::string> required { "kind" };
            if (kind != "service") {
                keys["layers"] = [&](const YamlNode& value) { count(value, limits::layers, target.layers); };
                keys["hidden_state_bytes"] = [&](const YamlNode& value) { size(value, target.hiddenState); };
            }
            if (kind != "model") {
                keys["idempotent"] = [&](const YamlNode& value) { boolean(value, target.idempotent); };
                keys["claim_shards"]
                    = [&](const YamlNode& value) { count(value, limits::claimShards, target.claimShards); };
            }
            if (kind == "model")
                required.emplace_back("layers");
            if (kind == "service") {
                // Whether a call may be repeated is too important to be assumed.
                required.emplace_back("idempotent");
                target.hiddenState = Bytes(0);
            }
            mapping(node, EntryKind::Target, target.id.value(), keys, required);
        }

        void accelerator(const YamlNode& node, AcceleratorKind& kind)
        {
            Keys keys;
            keys["layer_base"] = [&](const YamlNode& value) { duration(value, kind.layerBase); };
            keys["layer_per_sequence"] = [&](const YamlNode& value) { duration(value, kind.layerPerSequence); };
            keys["layer_per_prompt_token"] = [&](const YamlNode& value) { duration(value, kind.layerPerPromptToken); };
            mapping(node, EntryKind::AcceleratorKind, kind.id.value(), keys,
                { "layer_base", "layer_per_sequence", "layer_per_prompt_token" });
        }

        void link(const YamlNode& node, LinkClass& link)
        {
            Keys keys;
            keys["delay"] = [&](const YamlNode& value) { duration(value, link.delay); };
            keys["bandwidth"] = [&](const YamlNode& value) {
                const auto rate = value.isScalar() ? rateFromText(value.scalar) : std::nullopt;
                if (!rate || rate->value() < limits::minBandwidth || rate->value() > limits::maxBandwidth)
                    reject(value, "a rate from 1kB/s to 10000GB/s, such as 1.5Gbit/s");
                link.bandwidth = rate.value_or(BytesPerSecond(0));
            };
            mapping(node, EntryKind::LinkClass, link.id.value(), keys, { "delay", "bandwidth" });
        }

        void organisation(const YamlNode& node, Organisation& organisation)
        {
            Keys keys;
            keys["weight"] = [&](const YamlNode& value) {
                number(value, limits::minWeight, limits::maxWeight, organisation.weight);
            };
            mapping(node, EntryKind::Organisation, organisation.id.value(), keys, { "weight" });
        }

        void ranks(const YamlNode& node)
        {
            Keys keys;
            for (Rank rank : allRanks)
                keys[std::string(rankName(rank))]
                    = [this, rank](const YamlNode& value) { rankRule(value, rank, m_rules.values.ranks[rank]); };
            mapping(node, EntryKind::Rank, "", keys, {});
        }

        void rankRule(const YamlNode& node, Rank rank, RankRule& rule)
        {
            m_rules.positions[{ EntryKind::Rank, std::string(rankName(rank)), "" }] = node.at;
            Keys keys;
            keys["share"] = [&](const YamlNode& value) { number(value, 0, 1, rule.share); };
            keys["first_token"] = [&](const YamlNode& value) { duration(value, rule.firstTokenTarget); };
            keys["between_tokens"] = [&](const YamlNode& value) { duration(value, rule.betweenTokensTarget); };
            keys["max_queue_wait"] = [&](const YamlNode& value) { duration(value, rule.maxQueueWait); };
            mapping(node, EntryKind::Rank, std::string(rankName(rank)), keys, {});
        }

        void rankValue(const YamlNode& node, Rank& result)
        {
            const auto rank = node.isScalar() ? rankFromName(node.scalar) : std::nullopt;
            if (!rank)
                reject(node, "urgent, recording or summary");
            result = rank.value_or(result);
        }

        void boolean(const YamlNode& node, bool& result)
        {
            const std::string text = node.isScalar() ? node.scalar : std::string();
            if (text != "yes" && text != "no" && text != "true" && text != "false")
                reject(node, "yes or no");
            result = text == "yes" || text == "true";
        }

        void count(const YamlNode& node, std::uint32_t high, std::uint32_t& result)
        {
            std::uint32_t value = 0;
            const bool digits = node.isScalar() && node.scalar.find_first_not_of("0123456789") == std::string::npos;
            if (!digits || !absl::SimpleAtoi(node.scalar, &value) || value < 1 || value > high)
                reject(node, fmt::format("1 to {}", high));
            result = value;
        }

        void number(const YamlNode& node, double low, double high, double& result)
        {
            double value = 0;
            const bool plain = node.isScalar() && node.scalar.find_first_not_of("0123456789.") == std::string::npos;
            if (!plain || !absl::SimpleAtod(node.scalar, &value) || !(value >= low && value <= high))
                reject(node, fmt::format("a number from {} to {}", low, high));
            result = value;
        }

        void size(const YamlNode& node, Bytes& result)
        {
            const auto value = node.isScalar() ? bytesFromText(node.scalar) : std::nullopt;
            if (!value || value->value() > limits::hiddenStateBytes)
                reject(node, "a size of at most 64MiB, such as 8192 or 8KiB");
            result = value.value_or(Bytes(0));
        }

        template <typename Unit> void duration(const YamlNode& node, Unit& result)
        {
            constexpr bool microseconds = std::is_same_v<Unit, Duration>;
            const auto value = node.isScalar() ? durationFromText(node.scalar) : std::nullopt;
            if (!value || *value > limits::duration || std::chrono::duration_cast<Unit>(*value) != *value)
                reject(node, fmt::format("{}, in whole {} up to 24h", durationRule, microseconds ? "us" : "ns"));
            result = std::chrono::duration_cast<Unit>(value.value_or(std::chrono::nanoseconds(0)));
        }

        void retention(const YamlNode& node, std::chrono::hours& result)
        {
            using std::chrono::hours;
            const auto value = node.isScalar() ? durationFromText(node.scalar) : std::nullopt;
            if (!value || *value < hours(1) || *value > limits::claimRetention
                || std::chrono::duration_cast<hours>(*value) != *value)
                reject(node, fmt::format("whole hours from 1h to {}h", limits::claimRetention.count()));
            result = std::chrono::duration_cast<hours>(value.value_or(hours(1)));
        }

        InputErrors m_errors;
        Rules m_rules;
    };

} // namespace

Parsed<Rules> RulesParser::parse(std::string_view text, std::string_view file, Limits limits)
{
    Reader reader(file);
    if (text.size() > limits.maxFile) {
        reader.add({}, fmt::format("{} bytes", text.size()), fmt::format("at most {} bytes", limits.maxFile),
            Reason::BodyTooLarge);
        return reader.finish();
    }
    const std::variant<YamlNode, internal::YamlFault> parsed = internal::parseYaml(text);
    if (const auto* root = std::get_if<YamlNode>(&parsed)) {
        reader.document(*root);
    } else {
        const auto& fault = std::get<internal::YamlFault>(parsed);
        reader.add(fault.at, fault.read, fault.accepted, Reason::InvalidRules);
    }
    return reader.finish();
}

} // namespace fuchsialb
