#include "PeerMessageCodec.h"
#include "WireLimits.h"

#include <peer.pb.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace fuchsialb {

namespace {

    constexpr std::uint32_t minHttpStatus = 100;
    constexpr std::uint32_t maxHttpStatus = 999;

    /// \brief Reads fields and keeps the first fault; after a fault the values read are not used.
    class Decoder {
    public:
        const absl::Status& status() const { return m_status; }

        void require(bool valid, std::string_view what)
        {
            if (!valid && m_status.ok())
                m_status = error(Reason::MalformedMessage, what);
        }

        template <typename Enum> Enum enumerator(std::uint32_t value, Enum last, std::string_view field)
        {
            const auto limit = static_cast<std::uint32_t>(last);
            if (value <= limit)
                return static_cast<Enum>(value);
            require(false, fmt::format("{} is {}, accepted are 0 to {}", field, value, limit));
            return last;
        }

        Duration duration(std::uint64_t micros, std::string_view field)
        {
            if (micros <= static_cast<std::uint64_t>(internal::maxDuration.count()))
                return Duration(static_cast<Duration::rep>(micros));
            require(false, fmt::format("{} is {} us, longer than one week", field, micros));
            return Duration(0);
        }

        std::string text(const std::string& value, std::size_t limit, std::string_view field)
        {
            if (value.size() > limit)
                require(false, fmt::format("{} has {} bytes, accepted are {}", field, value.size(), limit));
            return value;
        }

        /// Reads an id that must not be empty.
        template <typename Id> Id id(const std::string& value, std::string_view field)
        {
            if (value.empty())
                require(false, fmt::format("{} is empty", field));
            return Id(text(value, internal::maxIdBytes, field));
        }

        Bits128 bits(bool present, const wire::Bits128& value, std::string_view field)
        {
            if (!present)
                require(false, fmt::format("{} is missing", field));
            return { value.high(), value.low() };
        }

        template <typename Parent> RequestId requestId(const Parent& parent)
        {
            return RequestId(bits(parent.has_request(), parent.request(), "request id"));
        }

        std::uint32_t submission(std::uint32_t value)
        {
            require(value >= 1 && value <= internal::maxSubmissions,
                fmt::format("submission is {}, accepted are 1 to {}", value, internal::maxSubmissions));
            return value;
        }

        /// Reads the two fields that name a submission.
        template <typename To, typename From> To submissionOf(const From& from)
        {
            To to;
            to.request = requestId(from);
            to.submission = submission(from.submission());
            return to;
        }

    private:
        absl::Status m_status;
    };

    Member decodeMember(Decoder& in, const wire::Member& from)
    {
        Member to;
        to.host = in.id<HostId>(from.host(), "member.host");
        to.dataCentre = in.id<DataCentreId>(from.data_centre(), "member.data_centre");
        to.address = in.text(from.address(), internal::maxAddressBytes, "member.address");
        to.state = in.enumerator(from.state(), MemberState::Dead, "member.state");
        to.incarnation = Incarnation(from.incarnation());
        to.configuration = ConfigurationVersion(from.configuration());
        return to;
    }

    GroupLoad decodeLoad(Decoder& in, const wire::GroupLoad& from)
    {
        GroupLoad to;
        to.group = in.id<GroupId>(from.group(), "load.group");
        in.require(
            from.wait_us_size() == static_cast<int>(rankCount), "load.wait_us must have one value for each rank");
        for (int i = 0; i < from.wait_us_size() && i < static_cast<int>(rankCount); ++i)
            to.wait[static_cast<Rank>(i)] = in.duration(from.wait_us(i), "load.wait_us");
        to.running = from.running();
        to.slots = from.slots();
        to.scheduler = HostId(in.text(from.scheduler(), internal::maxIdBytes, "load.scheduler"));
        to.address = in.text(from.address(), internal::maxAddressBytes, "load.address");
        return to;
    }

    StoreNews decodeNews(Decoder& in, const wire::StoreNews& from)
    {
        StoreNews to;
        to.watcher = HostId(in.text(from.watcher(), internal::maxIdBytes, "store_news.watcher"));
        to.incarnation = Incarnation(from.incarnation());
        to.answers = from.answers();
        to.age = in.duration(from.age_us(), "store_news.age_us");
        return to;
    }

    template <typename To, typename From> To decodeGossip(Decoder& in, const From& from)
    {
        To to;
        to.sequence = from.sequence();
        to.subject = HostId(in.text(from.subject(), internal::maxIdBytes, "subject"));
        to.configuration = ConfigurationVersion(from.configuration());
        in.require(from.members_size() <= internal::maxMembers, "too many members");
        in.require(from.loads_size() <= internal::maxLoads, "too many loads");
        in.require(from.store_news_size() <= internal::maxStoreNews, "too much store news");
        if (!in.status().ok())
            return to;
        for (const wire::Member& member : from.members())
            to.members.push_back(decodeMember(in, member));
        for (const wire::GroupLoad& load : from.loads())
            to.loads.push_back(decodeLoad(in, load));
        for (const wire::StoreNews& news : from.store_news())
            to.storeNews.push_back(decodeNews(in, news));
        return to;
    }

    Probe decode(Decoder& in, const wire::Probe& from)
    {
        Probe to = decodeGossip<Probe>(in, from);
        to.onBehalfOf = HostId(in.text(from.on_behalf_of(), internal::maxIdBytes, "on_behalf_of"));
        to.fullState = from.full_state();
        to.hops = from.hops();
        in.require(to.hops <= internal::maxHops, "hops is larger than any relay uses");
        in.require(from.remote_loads_size() <= internal::maxLoads, "too many remote loads");
        if (!in.status().ok())
            return to;
        for (const wire::GroupLoad& load : from.remote_loads())
            to.remoteLoads.push_back(decodeLoad(in, load));
        return to;
    }

    ProbeReply decode(Decoder& in, const wire::ProbeReply& from)
    {
        in.require(!from.subject().empty(), "subject is empty");
        return decodeGossip<ProbeReply>(in, from);
    }

    ConfigPull decode(Decoder& in, const wire::ConfigPull& from)
    {
        in.require(from.offset() <= internal::maxConfigurationBytes, "config_pull.offset is beyond any configuration");
        return { ConfigurationVersion(from.version()), from.offset() };
    }

    ConfigChunk decode(Decoder& in, const wire::ConfigChunk& from)
    {
        ConfigChunk to;
        to.version = ConfigurationVersion(from.version());
        to.offset = from.offset();
        to.total = from.total();
        to.digest = in.bits(from.has_digest(), from.digest(), "config_chunk.digest");
        to.bytes = in.text(from.bytes(), internal::maxChunkBytes, "config_chunk.bytes");
        in.require(to.total <= internal::maxConfigurationBytes, "config_chunk.total is larger than any configuration");
        in.require(to.offset <= to.total && to.bytes.size() <= to.total - to.offset, "config_chunk exceeds its total");
        return to;
    }

    Request decodeRequest(Decoder& in, const wire::Request& from)
    {
        Request to;
        to.id = RequestId(in.bits(from.has_id(), from.id(), "request.id"));
        to.organisation = in.id<OrganisationId>(from.organisation(), "request.organisation");
        to.rank = in.enumerator(from.rank(), Rank::Summary, "request.rank");
        to.kind = in.enumerator(from.kind(), TargetKind::Service, "request.kind");
        to.target = in.id<TargetId>(from.target(), "request.target");
        if (from.has_time_left_us())
            to.timeLeft = in.duration(from.time_left_us(), "request.time_left_us");
        to.idempotent = from.idempotent();
        to.idempotencyKey = in.text(from.idempotency_key(), internal::maxHeaderBytes, "request.idempotency_key");
        in.require(to.idempotent || !to.idempotencyKey.empty(), "a non-idempotent request has no idempotency_key");
        to.bodyDigest = from.body_digest();
        to.traceParent = in.text(from.trace_parent(), internal::maxHeaderBytes, "request.trace_parent");
        to.prompt = from.prompt();
        to.promptTokens = from.prompt_tokens();
        to.maxTokens = from.max_tokens();
        to.method = in.text(from.method(), internal::maxIdBytes, "request.method");
        to.path = in.text(from.path(), internal::maxHeaderBytes, "request.path");
        to.contentType = in.text(from.content_type(), internal::maxHeaderBytes, "request.content_type");
        to.body = from.body();
        to.submission = in.submission(from.submission());
        in.require(from.generated_size() <= internal::maxGeneratedTokens, "too many generated tokens");
        if (in.status().ok())
            to.generated.assign(from.generated().begin(), from.generated().end());
        return to;
    }

    Result decodeResult(Decoder& in, const wire::Result& from)
    {
        Result to;
        to.outcome = in.enumerator(from.outcome(), Outcome::Unknown, "result.outcome");
        to.reason = in.enumerator(from.reason(), Reason::Internal, "result.reason");
        to.detail = in.text(from.detail(), internal::maxDetailBytes, "result.detail");
        if (from.has_retry_after_us())
            to.retryAfter = in.duration(from.retry_after_us(), "result.retry_after_us");
        to.httpStatus = from.http_status();
        in.require(to.httpStatus == 0 || (to.httpStatus >= minHttpStatus && to.httpStatus <= maxHttpStatus),
            "result.http_status must be 0 or 100 to 999");
        to.contentType = in.text(from.content_type(), internal::maxHeaderBytes, "result.content_type");
        to.body = from.body();
        to.replayed = from.replayed();
        to.generatedTokens = from.generated_tokens();
        to.finishReason = in.text(from.finish_reason(), internal::maxIdBytes, "result.finish_reason");
        return to;
    }

    Submit decode(Decoder& in, const wire::Submit& from)
    {
        in.require(from.has_request(), "submit.request is missing");
        return { in.id<GroupId>(from.group(), "submit.group"), decodeRequest(in, from.request()), from.received() };
    }

    Accepted decode(Decoder& in, const wire::Accepted& from) { return in.submissionOf<Accepted>(from); }

    Inquire decode(Decoder& in, const wire::Inquire& from)
    {
        auto to = in.submissionOf<Inquire>(from);
        to.received = from.received();
        return to;
    }

    NotKnown decode(Decoder& in, const wire::NotKnown& from) { return in.submissionOf<NotKnown>(from); }

    TokensDelivered decode(Decoder& in, const wire::TokensDelivered& from)
    {
        auto to = in.submissionOf<TokensDelivered>(from);
        to.position = from.position();
        in.require(from.tokens_size() <= internal::maxTokensPerMessage, "too many tokens");
        const auto count = static_cast<std::uint32_t>(from.tokens_size());
        in.require(
            from.position() <= std::numeric_limits<std::uint32_t>::max() - count, "position of a token is too large");
        if (in.status().ok())
            to.tokens.assign(from.tokens().begin(), from.tokens().end());
        return to;
    }

    Finished decode(Decoder& in, const wire::Finished& from)
    {
        in.require(from.has_result(), "finished.result is missing");
        auto to = in.submissionOf<Finished>(from);
        to.result = decodeResult(in, from.result());
        return to;
    }

    Returned decode(Decoder& in, const wire::Returned& from)
    {
        auto to = in.submissionOf<Returned>(from);
        to.reason = in.enumerator(from.reason(), Reason::Internal, "returned.reason");
        return to;
    }

    CancelRequest decode(Decoder& in, const wire::CancelRequest& from) { return in.submissionOf<CancelRequest>(from); }

    template <typename From> LoadTable decodeLoads(Decoder& in, const From& from)
    {
        LoadTable to;
        in.require(from.size() <= internal::maxRunnerLoads, "too many runner loads");
        if (!in.status().ok())
            return to;
        for (const wire::RunnerLoad& load : from) {
            // Written so that NaN fails as well.
            in.require(load.cache() >= 0 && load.sequences() >= 0 && load.first() >= 0 && load.demand() >= 0,
                "a runner load is negative");
            to[in.id<EndpointId>(load.runner(), "load.runner")]
                += { load.cache(), load.sequences(), load.first(), load.demand() };
        }
        return to;
    }

    RetryUse decode(Decoder& in, const wire::RetryUse& from)
    {
        RetryUse to { from.hosts(), from.shares(), {} };
        in.require(from.hosts() >= 0 && from.shares() >= 0, "a use of retries is negative");
        in.require(from.services_size() <= internal::maxServices, "too many services");
        if (!in.status().ok())
            return to;
        for (const wire::ServiceRetries& use : from.services()) {
            in.require(use.requests() >= 0 && use.retries() >= 0 && use.waiting() >= 0, "a use of retries is negative");
            to.services[in.id<TargetId>(use.service(), "retries.service")]
                += { use.requests(), use.retries(), use.waiting() };
        }
        return to;
    }

    DirectoryUpdate decode(Decoder& in, const wire::DirectoryUpdate& from)
    {
        DirectoryUpdate to;
        to.era = StoreEra(from.era());
        to.version = KeyVersion(from.version());
        to.age = in.duration(from.age_us(), "directory.age_us");
        to.from = KeyVersion(from.from());
        to.digest = ContentDigest(from.digest());
        to.isDifference = from.difference();
        in.require(from.changes_size() <= internal::maxDirectoryChanges, "too many changes of a directory");
        if (!in.status().ok())
            return to;
        for (const wire::KeyItem& change : from.changes())
            to.changes.push_back({ in.text(change.key(), internal::maxKeyBytes, "directory.key"),
                in.text(change.value(), internal::maxValueBytes, "directory.value"), change.removed(),
                change.has_written_hash() ? std::optional(change.written_hash()) : std::nullopt });
        return to;
    }

    CrashReport decode(Decoder& in, const wire::CrashReport& from)
    {
        CrashReport to;
        to.process = { in.id<EndpointId>(from.runner(), "crash.runner"), from.started_at() };
        to.service = in.id<TargetId>(from.service(), "crash.service");
        to.age = in.duration(from.age_us(), "crash.age_us");
        to.id = from.id();
        in.require(from.suspects_size() <= internal::maxPromptParts, "too many parts of a prompt");
        in.require(from.positions_size() == from.suspects_size() && from.answer_bits_size() == from.suspects_size(),
            "parts of a prompt without position or answers");
        if (!in.status().ok())
            return to;
        for (int i = 0; i < from.suspects_size(); ++i)
            to.suspects.push_back(
                { PromptPartId::fromValue(from.suspects(i)), from.positions(i), from.answer_bits(i) });
        const auto byPart = [](const SuspectPart& a, const SuspectPart& b) { return a.part < b.part; };
        in.require(std::is_sorted(to.suspects.begin(), to.suspects.end(), byPart), "parts of a prompt out of order");
        return to;
    }

    RequestRateLimit decode(Decoder& in, const wire::RequestRateLimit& from)
    {
        RequestRateLimit to { in.id<EndpointId>(from.runner(), "rate_limit.runner"), from.started_at(), std::nullopt,
            in.duration(from.age_us(), "rate_limit.age_us") };
        if (!from.has_rate())
            return to;
        // Written so that NaN fails as well.
        in.require(from.rate() >= 0 && std::isfinite(from.rate()), "a limit on requests is negative or infinite");
        to.rate = RequestsPerSecond(from.rate());
        return to;
    }

    HostBeat decode(Decoder& in, const wire::HostBeat& from)
    {
        HostBeat to;
        to.sequence = from.sequence();
        to.echo = from.echo();
        to.dataCentre = in.id<DataCentreId>(from.data_centre(), "host_beat.data_centre");
        to.address = in.text(from.address(), internal::maxAddressBytes, "host_beat.address");
        to.leaving = from.leaving();
        to.configuration = ConfigurationVersion(from.configuration());
        to.proofAge = in.duration(from.proof_age_us(), "host_beat.proof_age_us");
        to.configurationText
            = in.text(from.configuration_text(), internal::maxConfigurationBytes, "host_beat.configuration_text");
        to.configurationWanted = from.configuration_wanted();
        to.load = { decodeLoads(in, from.load()), decode(in, from.retries()) };
        // Hosts of a build without cells don't tell a number.
        to.cells = std::max(1U, from.cells());
        to.cellLeader = from.cell_leader();
        to.storeLost = from.store_lost();
        to.otherCells = { decodeLoads(in, from.other_cells()), decode(in, from.other_cells_retries()) };
        in.require(from.remote_size() <= internal::maxRemoteLoads, "too many data centres");
        in.require(from.suspicions_size() <= internal::maxRunnerLoads, "too many suspicions");
        in.require(from.leaving_runners_size() <= internal::maxRunnerLoads, "too many leaving runners");
        in.require(from.crashes_size() <= internal::maxCrashReports, "too many crash reports");
        in.require(from.rate_limits_size() <= internal::maxRunnerLoads, "too many limits on requests");
        if (!in.status().ok())
            return to;
        for (const wire::DataCentreLoad& remote : from.remote())
            to.remote.push_back({ in.id<DataCentreId>(remote.data_centre(), "remote.data_centre"),
                { decodeLoads(in, remote.load()), decode(in, remote.retries()) } });
        for (const wire::RunnerSuspicion& suspicion : from.suspicions())
            to.suspicions.push_back({ in.id<EndpointId>(suspicion.runner(), "suspicion.runner"),
                in.duration(suspicion.left_us(), "suspicion.left_us") });
        for (const wire::RunnerLeaving& leaving : from.leaving_runners())
            to.leavingRunners.push_back(
                { in.id<EndpointId>(leaving.runner(), "leaving.runner"), leaving.started_at() });
        to.crashDigest = from.crash_digest();
        for (const wire::CrashReport& crash : from.crashes())
            to.crashes.push_back(decode(in, crash));
        for (const wire::RequestRateLimit& limit : from.rate_limits())
            to.rateLimits.push_back(decode(in, limit));
        to.runners = decode(in, from.runners());
        to.hosts = decode(in, from.hosts());
        return to;
    }

    PeerMessage decodeBody(Decoder& in, const wire::Body& body)
    {
        switch (body.kind_case()) {
        case wire::Body::kProbe:
            return decode(in, body.probe());
        case wire::Body::kProbeReply:
            return decode(in, body.probe_reply());
        case wire::Body::kSubmit:
            return decode(in, body.submit());
        case wire::Body::kAccepted:
            return decode(in, body.accepted());
        case wire::Body::kInquire:
            return decode(in, body.inquire());
        case wire::Body::kNotKnown:
            return decode(in, body.not_known());
        case wire::Body::kTokens:
            return decode(in, body.tokens());
        case wire::Body::kFinished:
            return decode(in, body.finished());
        case wire::Body::kReturned:
            return decode(in, body.returned());
        case wire::Body::kCancel:
            return decode(in, body.cancel());
        case wire::Body::kConfigPull:
            return decode(in, body.config_pull());
        case wire::Body::kConfigChunk:
            return decode(in, body.config_chunk());
        case wire::Body::kHostBeat:
            return decode(in, body.host_beat());
        case wire::Body::KIND_NOT_SET:
            break;
        }
        in.require(false, "message has no known kind");
        return PeerMessage();
    }

} // namespace

absl::StatusOr<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    wire::Body body;
    if (bytes.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())
        || !body.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return error(Reason::MalformedMessage, "body is not a peer message");
    Decoder in;
    PeerMessage message = decodeBody(in, body);
    if (!in.status().ok())
        return in.status();
    return message;
}

} // namespace fuchsialb
