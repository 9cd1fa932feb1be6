#include "RulesParser.h"

#include "UnitText.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <vector>

namespace fuchsialb {

namespace {

    constexpr std::string_view idRule = "1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or a digit";
    constexpr std::string_view durationRule = "a duration such as 90us, 720ms or 2s";

    SourcePosition positionOf(const YAML::Mark& mark)
    {
        if (mark.is_null())
            return {};
        return { static_cast<std::uint32_t>(mark.line) + 1, static_cast<std::uint32_t>(mark.column) + 1 };
    }

    /// \return What a node is, for an error.
    std::string read(const YAML::Node& node)
    {
        if (node.IsScalar())
            return node.Scalar();
        if (node.IsMap())
            return "a mapping";
        return node.IsSequence() ? "a list" : "nothing";
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

        void document(const YAML::Node& root)
        {
            Configuration& values = m_rules.values;
            Keys keys;
            keys["targets"] = [&](const YAML::Node& node) {
                entries(node, EntryKind::Target, values.targets, [this](auto&... a) { target(a...); });
            };
            keys["accelerators"] = [&](const YAML::Node& node) {
                entries(node, EntryKind::AcceleratorKind, values.acceleratorKinds,
                    [this](auto&... a) { accelerator(a...); });
            };
            keys["links"] = [&](const YAML::Node& node) {
                entries(node, EntryKind::LinkClass, values.linkClasses, [this](auto&... a) { link(a...); });
            };
            keys["organisations"] = [&](const YAML::Node& node) {
                entries(
                    node, EntryKind::Organisation, values.organisations, [this](auto&... a) { organisation(a...); });
            };
            keys["ranks"] = [this](const YAML::Node& node) { ranks(node); };
            keys["default_rank"] = [&](const YAML::Node& node) { rankValue(node, values.defaultRank); };
            keys["serve_unlisted_organisations"]
                = [&](const YAML::Node& node) { boolean(node, values.serveUnlistedOrganisations); };
            keys["claim_retention"] = [&](const YAML::Node& node) { retention(node, values.claimRetention); };
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
        using Keys = std::map<std::string, std::function<void(const YAML::Node&)>>;

        void reject(const YAML::Node& node, std::string_view accepted)
        {
            m_errors.add(positionOf(node.Mark()), read(node), accepted);
        }

        static std::string names(const Keys& keys)
        {
            std::vector<std::string> list;
            for (const auto& [name, function] : keys)
                list.push_back(name);
            return fmt::format("one of {}", fmt::join(list, ", "));
        }

        /// Passes each key's value to its function; rejects unknown, repeated and missing keys.
        void mapping(const YAML::Node& node, EntryKind kind, const std::string& id, const Keys& keys,
            const std::vector<std::string>& required)
        {
            if (!node.IsMap()) {
                reject(node, "a mapping");
                return;
            }
            std::set<std::string> seen;
            for (const auto& item : node) {
                const std::string key = item.first.IsScalar() ? item.first.Scalar() : std::string();
                const auto function = keys.find(key);
                if (function == keys.end()) {
                    reject(item.first, names(keys));
                    continue;
                }
                if (!seen.insert(key).second) {
                    reject(item.first, "a key once");
                    continue;
                }
                m_rules.positions[{ kind, id, key }] = positionOf(item.second.Mark());
                function->second(item.second);
            }
            for (const std::string& key : required) {
                if (!seen.contains(key))
                    m_errors.add(positionOf(node.Mark()), fmt::format("a mapping without {}", key),
                        fmt::format("a key {}", key));
            }
        }

        /// Reads a section whose keys are ids.
        template <typename Id, typename Entry, typename Function>
        void entries(const YAML::Node& section, EntryKind kind, std::map<Id, Entry>& known, Function function)
        {
            if (!section.IsMap()) {
                reject(section, "a mapping");
                return;
            }
            for (const auto& item : section) {
                const std::string id = item.first.IsScalar() ? item.first.Scalar() : std::string();
                if (!validId(id)) {
                    reject(item.first, idRule);
                    continue;
                }
                const auto [entry, added] = known.emplace(Id(id), Entry());
                if (!added) {
                    reject(item.first, "an id once");
                    continue;
                }
                m_rules.positions[{ kind, id, "" }] = positionOf(item.first.Mark());
                entry->second.id = Id(id);
                function(item.second, entry->second);
            }
        }

        void target(const YAML::Node& node, Target& target)
        {
            std::string kind;
            if (node.IsMap()) {
                for (const auto& item : node) {
                    if (item.first.IsScalar() && item.first.Scalar() == "kind" && item.second.IsScalar())
                        kind = item.second.Scalar();
                }
            }
            target.kind = kind == "service" ? TargetKind::Service : TargetKind::Model;
            Keys keys;
            keys["kind"] = [&](const YAML::Node& value) {
                if (kind != "model" && kind != "service")
                    reject(value, "model or service");
            };
            std::vector<std::string> required { "kind" };
            if (kind != "service") {
                keys["layers"] = [&](const YAML::Node& value) { count(value, limits::layers, target.layers); };
                keys["hidden_state_bytes"] = [&](const YAML::Node& value) { size(value, target.hiddenState); };
            }
            if (kind != "model") {
                keys["idempotent"] = [&](const YAML::Node& value) { boolean(value, target.idempotent); };
                keys["claim_shards"]
                    = [&](const YAML::Node& value) { count(value, limits::claimShards, target.claimShards); };
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

        void accelerator(const YAML::Node& node, AcceleratorKind& kind)
        {
            Keys keys;
            keys["layer_base"] = [&](const YAML::Node& value) { duration(value, kind.layerBase); };
            keys["layer_per_sequence"] = [&](const YAML::Node& value) { duration(value, kind.layerPerSequence); };
            keys["layer_per_prompt_token"]
                = [&](const YAML::Node& value) { duration(value, kind.layerPerPromptToken); };
            mapping(node, EntryKind::AcceleratorKind, kind.id.value(), keys,
                { "layer_base", "layer_per_sequence", "layer_per_prompt_token" });
        }

        void link(const YAML::Node& node, LinkClass& link)
        {
            Keys keys;
            keys["delay"] = [&](const YAML::Node& value) { duration(value, link.delay); };
            keys["bandwidth"] = [&](const YAML::Node& value) {
                const auto rate = value.IsScalar() ? rateFromText(value.Scalar()) : std::nullopt;
                if (!rate || rate->value() < limits::minBandwidth || rate->value() > limits::maxBandwidth)
                    reject(value, "a rate from 1kB/s to 10000GB/s, such as 1.5Gbit/s");
                link.bandwidth = rate.value_or(BytesPerSecond(0));
            };
            mapping(node, EntryKind::LinkClass, link.id.value(), keys, { "delay", "bandwidth" });
        }

        void organisation(const YAML::Node& node, Organisation& organisation)
        {
            Keys keys;
            keys["weight"] = [&](const YAML::Node& value) {
                number(value, limits::minWeight, limits::maxWeight, organisation.weight);
            };
            mapping(node, EntryKind::Organisation, organisation.id.value(), keys, { "weight" });
        }

        void ranks(const YAML::Node& node)
        {
            Keys keys;
            for (Rank rank : allRanks)
                keys[std::string(rankName(rank))]
                    = [this, rank](const YAML::Node& value) { rankRule(value, rank, m_rules.values.ranks[rank]); };
            mapping(node, EntryKind::Rank, "", keys, {});
        }

        void rankRule(const YAML::Node& node, Rank rank, RankRule& rule)
        {
            m_rules.positions[{ EntryKind::Rank, std::string(rankName(rank)), "" }] = positionOf(node.Mark());
            Keys keys;
            keys["share"] = [&](const YAML::Node& value) { number(value, 0, 1, rule.share); };
            keys["first_token"] = [&](const YAML::Node& value) { duration(value, rule.firstTokenTarget); };
            keys["between_tokens"] = [&](const YAML::Node& value) { duration(value, rule.betweenTokensTarget); };
            keys["max_queue_wait"] = [&](const YAML::Node& value) { duration(value, rule.maxQueueWait); };
            mapping(node, EntryKind::Rank, std::string(rankName(rank)), keys, {});
        }

        void rankValue(const YAML::Node& node, Rank& result)
        {
            const auto rank = node.IsScalar() ? rankFromName(node.Scalar()) : std::nullopt;
            if (!rank)
                reject(node, "urgent, recording or summary");
            result = rank.value_or(result);
        }

        void boolean(const YAML::Node& node, bool& result)
        {
            const std::string text = node.IsScalar() ? node.Scalar() : std::string();
            if (text != "yes" && text != "no" && text != "true" && text != "false")
                reject(node, "yes or no");
            result = text == "yes" || text == "true";
        }

        void count(const YAML::Node& node, std::uint32_t high, std::uint32_t& result)
        {
            std::uint32_t value = 0;
            const bool digits = node.IsScalar() && node.Scalar().find_first_not_of("0123456789") == std::string::npos;
            if (!digits || !absl::SimpleAtoi(node.Scalar(), &value) || value < 1 || value > high)
                reject(node, fmt::format("1 to {}", high));
            result = value;
        }

        void number(const YAML::Node& node, double low, double high, double& result)
        {
            double value = 0;
            const bool plain = node.IsScalar() && node.Scalar().find_first_not_of("0123456789.") == std::string::npos;
            if (!plain || !absl::SimpleAtod(node.Scalar(), &value) || !(value >= low && value <= high))
                reject(node, fmt::format("a number from {} to {}", low, high));
            result = value;
        }

        void size(const YAML::Node& node, Bytes& result)
        {
            const auto value = node.IsScalar() ? bytesFromText(node.Scalar()) : std::nullopt;
            if (!value || value->value() > limits::hiddenStateBytes)
                reject(node, "a size of at most 64MiB, such as 8192 or 8KiB");
            result = value.value_or(Bytes(0));
        }

        template <typename Unit> void duration(const YAML::Node& node, Unit& result)
        {
            constexpr bool microseconds = std::is_same_v<Unit, Duration>;
            const auto value = node.IsScalar() ? durationFromText(node.Scalar()) : std::nullopt;
            if (!value || *value > limits::duration || std::chrono::duration_cast<Unit>(*value) != *value)
                reject(node, fmt::format("{}, in whole {} up to 24h", durationRule, microseconds ? "us" : "ns"));
            result = std::chrono::duration_cast<Unit>(value.value_or(std::chrono::nanoseconds(0)));
        }

        void retention(const YAML::Node& node, std::chrono::hours& result)
        {
            using std::chrono::hours;
            const auto value = node.IsScalar() ? durationFromText(node.Scalar()) : std::nullopt;
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
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(std::string(text));
        if (documents.size() == 1)
            reader.document(documents.front());
        else
            reader.add({}, fmt::format("{} documents", documents.size()), "one YAML document", Reason::InvalidRules);
    } catch (const YAML::Exception& exception) {
        reader.add(positionOf(exception.mark), exception.msg, "YAML", Reason::InvalidRules);
    }
    return reader.finish();
}

} // namespace fuchsialb
