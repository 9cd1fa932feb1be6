#include "ConfigurationCheck.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cmath>
#include <map>
#include <set>

namespace fuchsialb {

namespace {

    using Problems = std::vector<ConfigurationProblem>;

    constexpr std::string_view idRule = "1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or a digit";

    bool isAlphanumeric(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'); }

    bool validIp(std::string_view ip, int family)
    {
        std::array<unsigned char, sizeof(in6_addr)> buffer {};
        return inet_pton(family, std::string(ip).c_str(), buffer.data()) == 1;
    }

    /// Collects the problems of one entry.
    class Checker {
    public:
        Checker(Problems& problems, EntryKind kind, std::string id)
            : m_problems(problems)
            , m_kind(kind)
            , m_id(std::move(id))
        {
        }

        void id() { require(validId(m_id), "id", m_id, idRule); }

        void require(bool valid, std::string_view field, std::string_view read, std::string_view accepted)
        {
            if (!valid)
                m_problems.push_back({ m_kind, m_id, std::string(field), std::string(read), std::string(accepted) });
        }

        template <typename T> void range(T value, T low, T high, std::string_view field)
        {
            require(value >= low && value <= high, field, fmt::format("{}", value), fmt::format("{} to {}", low, high));
        }

        void duration(Duration value, std::string_view field)
        {
            require(value >= Duration(0) && value <= limits::duration, field, fmt::format("{}us", value.count()),
                "0us to 24h");
        }

    private:
        Problems& m_problems;
        EntryKind m_kind;
        std::string m_id;
    };

    void checkTarget(const Target& target, Problems& problems)
    {
        Checker check(problems, EntryKind::Target, target.id.value());
        check.id();
        if (target.kind == TargetKind::Model)
            check.range(target.layers, 1U, limits::layers, "layers");
        else
            check.require(target.layers == 0, "layers", fmt::format("{}", target.layers), "no layers for a service");
        check.range(target.hiddenState.value(), std::int64_t { 0 }, limits::hiddenStateBytes, "hidden_state_bytes");
        check.range(target.claimShards, 1U, limits::claimShards, "claim_shards");
    }

    void checkAccelerator(const AcceleratorKind& kind, Problems& problems)
    {
        Checker check(problems, EntryKind::AcceleratorKind, kind.id.value());
        check.id();
        check.duration(kind.layerBase, "layer_base");
        check.duration(kind.layerPerSequence, "layer_per_sequence");
        check.require(kind.layerPerPromptToken.count() >= 0 && kind.layerPerPromptToken <= limits::duration,
            "layer_per_prompt_token", fmt::format("{}ns", kind.layerPerPromptToken.count()), "0ns to 24h");
    }

    void checkLink(const LinkClass& link, Problems& problems)
    {
        Checker check(problems, EntryKind::LinkClass, link.id.value());
        check.id();
        check.duration(link.delay, "delay");
        check.range(link.bandwidth.value(), limits::minBandwidth, limits::maxBandwidth, "bandwidth");
    }

    void checkRanks(const Configuration& configuration, Problems& problems)
    {
        // Shares such as 0.5, 0.3 and 0.2 may sum to a little more than 1 in binary.
        constexpr double rounding = 1e-9;
        double sum = 0;
        for (Rank rank : allRanks) {
            const RankRule& rule = configuration.ranks[rank];
            Checker check(problems, EntryKind::Rank, std::string(rankName(rank)));
            check.range(rule.share, 0.0, 1.0, "share");
            check.duration(rule.firstTokenTarget, "first_token");
            check.duration(rule.betweenTokensTarget, "between_tokens");
            check.duration(rule.maxQueueWait, "max_queue_wait");
            const bool fitted = sum <= 1 + rounding;
            sum += rule.share;
            check.require(!fitted || !(sum > 1 + rounding) || rule.share > 1, "share",
                fmt::format("{} (the shares sum to {})", rule.share, sum), "shares that sum to at most 1");
        }
    }

    void checkRunner(const Endpoint& endpoint, const Target& target, const Configuration& all, Checker& check)
    {
        const LayerRange& layers = endpoint.layers;
        check.require(layers.first < layers.end && layers.end <= target.layers, "layers",
            fmt::format("{}-{}", layers.first, layers.end),
            fmt::format("a range within 0-{} of model {}", target.layers, target.id.value()));
        check.require(all.acceleratorKinds.contains(endpoint.acceleratorKind), "accelerator",
            endpoint.acceleratorKind.value(), "an accelerator that the rules list");
        check.range(endpoint.accelerators, 1U, limits::accelerators, "accelerators");
    }

    void checkEndpoint(const Endpoint& endpoint, const Configuration& all, Problems& problems)
    {
        Checker check(problems, EntryKind::Endpoint, endpoint.id.value());
        check.id();
        check.require(validId(endpoint.dataCentre.value()), "data_centre", endpoint.dataCentre.value(), idRule);
        check.require(validId(endpoint.group.value()), "group", endpoint.group.value(), idRule);
        check.require(validAddress(endpoint.address), "address", endpoint.address, "IPv4:port or [IPv6]:port");
        check.range(endpoint.maxConcurrency, 1U, limits::concurrency, "max_concurrency");
        const auto target = all.targets.find(endpoint.target);
        if (target == all.targets.end()) {
            check.require(false, "target", endpoint.target.value(), "a model or a service that the rules list");
            return;
        }
        const bool linkGiven = !endpoint.link.value().empty();
        const bool linkRequired = target->second.kind == TargetKind::Model;
        check.require(all.linkClasses.contains(endpoint.link) || (!linkGiven && !linkRequired), "link",
            endpoint.link.value(), "a link that the rules list");
        if (target->second.kind == TargetKind::Model)
            checkRunner(endpoint, target->second, all, check);
        else
            check.require(endpoint.layers == LayerRange {} && endpoint.acceleratorKind.value().empty(), "target",
                endpoint.target.value(), "a model, for an endpoint with layers or an accelerator");
    }

    struct Group {
        const Endpoint* first = nullptr;
        std::size_t size = 0;
        std::multimap<std::uint32_t, std::uint32_t> ranges;
        bool mixed = false;
    };

    /// \return The highest layer that a chain of neighbouring ranges reaches from layer 0.
    std::uint32_t reach(const std::multimap<std::uint32_t, std::uint32_t>& ranges)
    {
        std::set<std::uint32_t> reached { 0 };
        for (const auto& [first, end] : ranges) {
            if (reached.contains(first))
                reached.insert(end);
        }
        return *reached.rbegin();
    }

    void checkGroup(const Group& group, const Configuration& all, Problems& problems)
    {
        const Endpoint& first = *group.first;
        const auto target = all.targets.find(first.target);
        if (group.mixed || target == all.targets.end() || target->second.kind != TargetKind::Model)
            return;
        Checker check(problems, EntryKind::Endpoint, first.id.value());
        check.require(group.size <= limits::runnersInGroup, "group",
            fmt::format("{} ({} runners)", first.group.value(), group.size),
            fmt::format("at most {} runners in a group", limits::runnersInGroup));
        const std::uint32_t end = reach(group.ranges);
        check.require(end >= target->second.layers, "layers",
            fmt::format("group {} whose ranges join up from 0 to {}", first.group.value(), end),
            fmt::format("ranges that join up from 0 to {} of model {}", target->second.layers, first.target.value()));
    }

    void checkFirst(const Endpoint& endpoint, const Endpoint& first, const Configuration& all, Problems& problems)
    {
        Checker check(problems, EntryKind::Endpoint, endpoint.id.value());
        const bool known = all.targets.contains(endpoint.target) && all.targets.contains(first.target);
        if (known && endpoint.target != first.target)
            check.require(false, "group", endpoint.group.value(),
                fmt::format("one target in a group; endpoint {} has {}", first.id.value(), first.target.value()));
        if (endpoint.dataCentre != first.dataCentre)
            check.require(false, "group", endpoint.group.value(),
                fmt::format(
                    "one data centre in a group; endpoint {} is in {}", first.id.value(), first.dataCentre.value()));
    }

    void checkGroups(const Configuration& all, Problems& problems)
    {
        std::map<GroupId, Group> groups;
        for (const auto& [id, endpoint] : all.endpoints) {
            Group& group = groups[endpoint.group];
            if (!group.first)
                group.first = &endpoint;
            checkFirst(endpoint, *group.first, all, problems);
            group.mixed |= endpoint.target != group.first->target;
            group.ranges.emplace(endpoint.layers.first, endpoint.layers.end);
            ++group.size;
        }
        for (const auto& [id, group] : groups)
            checkGroup(group, all, problems);
    }

    void checkAddresses(const Configuration& all, Problems& problems)
    {
        std::map<std::string_view, const Endpoint*> addresses;
        for (const auto& [id, endpoint] : all.endpoints) {
            const auto [entry, added] = addresses.emplace(endpoint.address, &endpoint);
            if (!added)
                problems.push_back({ EntryKind::Endpoint, id.value(), "address", endpoint.address,
                    fmt::format("an address of its own; endpoint {} has this one", entry->second->id.value()) });
        }
    }

} // namespace

std::string_view entryKindName(EntryKind kind)
{
    constexpr std::array<std::string_view, 7> names { "target", "endpoint", "organisation", "accelerator", "link",
        "rank", "general" };
    return names[static_cast<std::size_t>(kind)];
}

bool validId(std::string_view id)
{
    if (id.empty() || id.size() > limits::idLength || !isAlphanumeric(id[0]))
        return false;
    return std::all_of(
        id.begin(), id.end(), [](char c) { return isAlphanumeric(c) || c == '.' || c == '_' || c == '-'; });
}

bool validAddress(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const std::string_view digits = address.substr(colon + 1);
    std::uint32_t port = 0;
    if (digits.empty() || digits[0] < '1' || digits[0] > '9'
        || !absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()), &port) || port > 65535)
        return false;
    std::string_view ip = address.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        return validIp(ip.substr(1, ip.size() - 2), AF_INET6);
    return validIp(ip, AF_INET);
}

std::vector<ConfigurationProblem> checkConfiguration(const Configuration& configuration)
{
    Problems problems;
    for (const auto& [id, target] : configuration.targets)
        checkTarget(target, problems);
    for (const auto& [id, kind] : configuration.acceleratorKinds)
        checkAccelerator(kind, problems);
    for (const auto& [id, link] : configuration.linkClasses)
        checkLink(link, problems);
    for (const auto& [id, organisation] : configuration.organisations) {
        Checker check(problems, EntryKind::Organisation, id.value());
        check.id();
        check.range(organisation.weight, limits::minWeight, limits::maxWeight, "weight");
    }
    checkRanks(configuration, problems);
    const auto retention = configuration.claimRetention;
    if (retention < std::chrono::hours(1) || retention > limits::claimRetention)
        problems.push_back({ EntryKind::General, "", "claim_retention", fmt::format("{}h", retention.count()),
            fmt::format("1h to {}h", limits::claimRetention.count()) });
    for (const auto& [id, endpoint] : configuration.endpoints)
        checkEndpoint(endpoint, configuration, problems);
    checkGroups(configuration, problems);
    checkAddresses(configuration, problems);
    return problems;
}

} // namespace fuchsialb
