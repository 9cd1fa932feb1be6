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

    GroupLoad load(const Below& below)
    {
        GroupLoad drawn { GroupId(id(below)), HostId(id(below)), id(below), {}, number32(below), number32(below) };
        for (const Rank rank : allRanks)
            drawn.wait[rank] = duration(below);
        return drawn;
    }

    LoadTable loads(const Below& below)
    {
        LoadTable drawn;
        // Whole numbers that a float holds exactly.
        constexpr std::uint64_t exact = 1 << 20;
        for (std::uint64_t i = below(4); i > 0; --i)
            drawn[EndpointId(id(below))] = { static_cast<double>(below(exact)), static_cast<double>(below(exact)),
                static_cast<double>(below(exact)), static_cast<double>(below(exact)) };
        return drawn;
    }

    HostLoad hostLoad(const Below& below)
    {
        constexpr std::uint64_t exact = 1 << 20;
        HostLoad drawn { loads(below), { static_cast<double>(below(exact)), static_cast<double>(below(exact)), {} } };
        for (std::uint64_t i = below(4); i > 0; --i)
            drawn.retries.services[TargetId(id(below))] = { static_cast<double>(below(exact)),
                static_cast<double>(below(exact)), static_cast<double>(below(exact)) };
        return drawn;
    }

    DirectoryUpdate directory(const Below& below)
    {
        DirectoryUpdate drawn { StoreEra(below(anyNumber)), KeyVersion(below(anyNumber)),
            ContentDigest(below(anyNumber)), duration(below), KeyVersion(below(anyNumber)), {}, below(2) == 1 };
        for (std::uint64_t i = below(3); i > 0; --i)
            drawn.changes.push_back({ id(below), raw(below), below(2) == 1,
                below(2) == 1 ? std::optional(below(anyNumber)) : std::nullopt });
        return drawn;
    }

    HostBeat beat(const Below& below)
    {
        HostBeat drawn;
        drawn.sequence = below(anyNumber);
        drawn.echo = below(anyNumber);
        drawn.dataCentre = DataCentreId(id(below));
        drawn.address = id(below);
        drawn.leaving = below(2) == 1;
        drawn.configuration = ConfigurationVersion(below(anyNumber));
        drawn.proofAge = duration(below);
        drawn.configurationText = raw(below);
        drawn.configurationWanted = below(2) == 1;
        drawn.load = hostLoad(below);
        drawn.cells = 1 + static_cast<std::uint32_t>(below(64));
        drawn.cellLeader = below(2) == 1;
        drawn.storeLost = below(2) == 1;
        drawn.otherCells = hostLoad(below);
        for (std::uint64_t i = below(3); i > 0; --i)
            drawn.remote.push_back({ DataCentreId(id(below)), hostLoad(below) });
        for (std::uint64_t i = below(3); i > 0; --i)
            drawn.suspicions.push_back({ EndpointId(id(below)), duration(below) });
        for (std::uint64_t i = below(3); i > 0; --i)
            drawn.leavingRunners.push_back({ EndpointId(id(below)), static_cast<std::int64_t>(below(anyNumber)) });
        drawn.crashDigest = below(anyNumber);
        for (std::uint64_t i = below(3); i > 0; --i) {
            CrashReport report { { EndpointId(id(below)), static_cast<std::int64_t>(below(anyNumber)) },
                TargetId(id(below)), below(anyNumber), {}, duration(below) };
            std::uint64_t part = 0;
            for (std::uint64_t j = below(4); j > 0; --j)
                report.suspects.push_back({ PromptPartId::fromValue(part += below(1000)),
                    static_cast<std::uint32_t>(below(1000)), static_cast<std::uint32_t>(below(32)) });
            drawn.crashes.push_back(std::move(report));
        }
        for (std::uint64_t i = below(3); i > 0; --i) {
            RequestRateLimit limit { EndpointId(id(below)), static_cast<std::int64_t>(below(anyNumber)), std::nullopt,
                duration(below) };
            if (below(2) == 1)
                limit.rate = RequestsPerSecond(static_cast<double>(below(anyNumber)) / 16);
            drawn.rateLimits.push_back(limit);
        }
        drawn.runners = directory(below);
        drawn.hosts = directory(below);
        return drawn;
    }

    std::uint32_t submission(const Below& below) { return static_cast<std::uint32_t>(1 + below(255)); }

    template <typename Message> Message gossip(const Below& below)
    {
        Message message;
        message.sequence = below(anyNumber);
        message.subject = HostId(id(below));
        message.configuration = ConfigurationVersion(below(anyNumber));
        for (std::uint64_t i = below(4); i > 0; --i) {
            message.members.push_back({ HostId(id(below)), DataCentreId(id(below)), id(below),
                any(below, MemberState::Dead), Incarnation(below(anyNumber)), ConfigurationVersion(below(anyNumber)) });
            message.loads.push_back(load(below));
        }
        for (std::uint64_t i = below(4); i > 0; --i)
            message.storeNews.push_back(
                { HostId(id(below)), Incarnation(below(anyNumber)), below(anyNumber), duration(below) });
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
        drawn.submission = submission(below);
        for (std::uint64_t i = below(4); i > 0; --i)
            drawn.generated.push_back(raw(below));
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
        drawn.finishReason = raw(below).substr(0, 0x80);
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
        TokensDelivered drawn { RequestId(bits(below)), submission(below),
            static_cast<std::uint32_t>(below(anyNumber32 - 4)), {} };
        for (std::uint64_t i = below(4); i > 0; --i)
            drawn.tokens.push_back(raw(below));
        return drawn;
    }

} // namespace

PeerMessage anyPeerMessage(const Below& below)
{
    switch (below(std::variant_size_v<PeerMessage>)) {
    case 0: {
        auto probe = gossip<Probe>(below);
        probe.onBehalfOf = HostId(text(below, 0, 0x80));
        probe.fullState = below(2) == 0;
        probe.hops = static_cast<std::uint32_t>(below(9));
        for (std::uint64_t i = below(4); i > 0; --i)
            probe.remoteLoads.push_back(load(below));
        return probe;
    }
    case 1:
        return gossip<ProbeReply>(below);
    case 2:
        return ConfigPull { ConfigurationVersion(below(anyNumber)), below(1000) };
    case 3:
        return chunk(below);
    case 4:
        return Submit { GroupId(id(below)), request(below), number32(below) };
    case 5:
        return Accepted { RequestId(bits(below)), submission(below) };
    case 6:
        return Inquire { RequestId(bits(below)), submission(below), number32(below) };
    case 7:
        return NotKnown { RequestId(bits(below)), submission(below) };
    case 8:
        return tokens(below);
    case 9:
        return Finished { RequestId(bits(below)), submission(below), result(below) };
    case 10:
        return Returned { RequestId(bits(below)), submission(below), any(below, Reason::Internal) };
    case 11:
        return beat(below);
    default:
        return CancelRequest { RequestId(bits(below)), submission(below) };
    }
}

bool sameMessage(const PeerMessage& a, const PeerMessage& b) { return a == b; }

} // namespace fuchsialb
