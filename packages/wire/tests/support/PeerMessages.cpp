#include "PeerMessages.h"

#include <algorithm>
#include <tuple>

namespace fuchsialb {

namespace {

    using Below = std::function<std::uint64_t(std::uint64_t)>;

    constexpr std::uint64_t anyNumber = std::uint64_t { 1 } << 62;
    constexpr std::uint64_t anyNumber32 = std::uint64_t { 1 } << 32;

    std::string text(const Below& below, std::uint64_t least, std::uint64_t characters)
    {
        std::string drawn(least + below(12), ' ');
        for (char& c : drawn)
            c = static_cast<char>(below(characters));
        return drawn;
    }

    // Ids of hosts and groups are UTF-8; texts of callers are any bytes.
    std::string id(const Below& below) { return text(below, 1, 0x80); }
    std::string raw(const Below& below) { return text(below, 0, 0x100); }
    std::uint32_t number32(const Below& below) { return static_cast<std::uint32_t>(below(anyNumber32)); }
    Bits128 bits(const Below& below) { return { below(anyNumber), below(anyNumber) }; }
    Duration duration(const Below& below) { return Duration(below(604'800'000'001)); }

    template <typename Enum> Enum any(const Below& below, Enum last)
    {
        return static_cast<Enum>(below(static_cast<std::uint64_t>(last) + 1));
    }

    template <typename Message> Message gossip(const Below& below)
    {
        Message message;
        message.sequence = below(anyNumber);
        message.subject = HostId(id(below));
        message.configuration = ConfigurationVersion(below(anyNumber));
        for (std::uint64_t i = below(4); i > 0; --i) {
            message.members.push_back({ HostId(id(below)), DataCentreId(id(below)), id(below),
                any(below, MemberState::Dead), Incarnation(below(anyNumber)), ConfigurationVersion(below(anyNumber)) });
            GroupLoad load { GroupId(id(below)), {}, number32(below), number32(below) };
            for (const Rank rank : allRanks)
                load.wait[rank] = duration(below);
            message.loads.push_back(load);
        }
        return message;
    }

    Request request(const Below& below)
    {
        Request drawn;
        drawn.id = RequestId(bits(below));
        drawn.organisation = OrganisationId(id(below));
        drawn.rank = any(below, Rank::Summary);
        drawn.kind = any(below, TargetKind::Service);
        drawn.target = TargetId(id(below));
        if (below(2) == 0)
            drawn.timeLeft = duration(below);
        drawn.idempotent = below(2) == 0;
        drawn.idempotencyKey = text(below, drawn.idempotent ? 0 : 1, 0x100);
        drawn.bodyDigest = below(anyNumber);
        drawn.promptTokens = number32(below);
        drawn.maxTokens = number32(below);
        for (std::string* field :
            { &drawn.traceParent, &drawn.prompt, &drawn.method, &drawn.path, &drawn.contentType, &drawn.body })
            *field = raw(below);
        return drawn;
    }

    Result result(const Below& below)
    {
        Result drawn;
        drawn.outcome = any(below, Outcome::Unknown);
        drawn.reason = any(below, Reason::Internal);
        drawn.detail = raw(below);
        if (below(2) == 0)
            drawn.retryAfter = duration(below);
        drawn.httpStatus = below(2) == 0 ? 0 : static_cast<std::uint32_t>(100 + below(900));
        drawn.contentType = raw(below);
        drawn.body = raw(below);
        drawn.replayed = below(2) == 0;
        drawn.generatedTokens = number32(below);
        return drawn;
    }

    ConfigChunk chunk(const Below& below)
    {
        ConfigChunk drawn { ConfigurationVersion(below(anyNumber)), below(1000), 0, bits(below), raw(below) };
        drawn.total = drawn.offset + drawn.bytes.size() + below(1000);
        return drawn;
    }

    TokensDelivered tokens(const Below& below)
    {
        TokensDelivered drawn { RequestId(bits(below)), static_cast<std::uint32_t>(below(anyNumber32 - 4)), {} };
        for (std::uint64_t i = below(4); i > 0; --i)
            drawn.tokens.push_back(raw(below));
        return drawn;
    }

    bool same(const GroupLoad& a, const GroupLoad& b)
    {
        return std::tie(a.group, a.running, a.slots) == std::tie(b.group, b.running, b.slots) && a.wait == b.wait;
    }

    template <typename Gossip>
    requires requires(Gossip message) { message.loads; }
    bool same(const Gossip& a, const Gossip& b)
    {
        return std::tie(a.sequence, a.subject, a.configuration, a.members)
            == std::tie(b.sequence, b.subject, b.configuration, b.members)
            && std::equal(a.loads.begin(), a.loads.end(), b.loads.begin(), b.loads.end(),
                [](const GroupLoad& left, const GroupLoad& right) { return same(left, right); });
    }

    bool same(const ConfigPull& a, const ConfigPull& b) { return a.version == b.version && a.offset == b.offset; }
    bool same(const ConfigChunk& a, const ConfigChunk& b)
    {
        return std::tie(a.version, a.offset, a.total, a.digest, a.bytes)
            == std::tie(b.version, b.offset, b.total, b.digest, b.bytes);
    }
    bool same(const Submit& a, const Submit& b) { return a.group == b.group && a.request == b.request; }
    bool same(const TokensDelivered& a, const TokensDelivered& b)
    {
        return std::tie(a.request, a.position, a.tokens) == std::tie(b.request, b.position, b.tokens);
    }
    bool same(const Finished& a, const Finished& b) { return a.request == b.request && a.result == b.result; }
    bool same(const Returned& a, const Returned& b) { return a.request == b.request && a.reason == b.reason; }
    bool same(const CancelRequest& a, const CancelRequest& b) { return a.request == b.request; }

} // namespace

PeerMessage anyPeerMessage(const Below& below)
{
    switch (below(std::variant_size_v<PeerMessage>)) {
    case 0: {
        auto probe = gossip<Probe>(below);
        probe.onBehalfOf = HostId(text(below, 0, 0x80));
        return probe;
    }
    case 1:
        return gossip<ProbeReply>(below);
    case 2:
        return ConfigPull { ConfigurationVersion(below(anyNumber)), below(1000) };
    case 3:
        return chunk(below);
    case 4:
        return Submit { GroupId(id(below)), request(below) };
    case 5:
        return tokens(below);
    case 6:
        return Finished { RequestId(bits(below)), result(below) };
    case 7:
        return Returned { RequestId(bits(below)), any(below, Reason::Internal) };
    default:
        return CancelRequest { RequestId(bits(below)) };
    }
}

bool sameMessage(const PeerMessage& a, const PeerMessage& b)
{
    return a.index() == b.index()
        && std::visit(
            [&](const auto& left) {
                const auto& right = std::get<std::decay_t<decltype(left)>>(b);
                if constexpr (std::is_same_v<std::decay_t<decltype(left)>, Probe>) {
                    if (left.onBehalfOf != right.onBehalfOf)
                        return false;
                }
                return same(left, right);
            },
            a);
}

} // namespace fuchsialb
