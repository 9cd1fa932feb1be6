#include "PeerMessageCodec.h"
#include "WireLimits.h"

#include <peer.pb.h>

#include <algorithm>
#include <variant>

namespace fuchsialb {

namespace {

    std::uint64_t micros(Duration duration)
    {
        return static_cast<std::uint64_t>(std::clamp(duration, Duration(0), internal::maxDuration).count());
    }

    template <typename Enum> std::uint32_t number(Enum value) { return static_cast<std::uint32_t>(value); }

    // A text of an endpoint that is too long is cut: the message must not be dropped by its receiver.
    std::string cut(const std::string& text, std::size_t limit) { return text.substr(0, limit); }

    void encode(const Bits128& from, wire::Bits128& to)
    {
        to.set_high(from.high);
        to.set_low(from.low);
    }

    void encode(const Member& from, wire::Member& to)
    {
        to.set_host(from.host.value());
        to.set_data_centre(from.dataCentre.value());
        to.set_address(from.address);
        to.set_state(number(from.state));
        to.set_incarnation(from.incarnation.value());
        to.set_configuration(from.configuration.value());
    }

    void encode(const GroupLoad& from, wire::GroupLoad& to)
    {
        to.set_group(from.group.value());
        for (const Rank rank : allRanks)
            to.add_wait_us(micros(from.wait[rank]));
        to.set_running(from.running);
        to.set_slots(from.slots);
        to.set_scheduler(from.scheduler.value());
        to.set_address(from.address);
    }

    void encode(const StoreNews& from, wire::StoreNews& to)
    {
        to.set_watcher(from.watcher.value());
        to.set_incarnation(from.incarnation.value());
        to.set_answers(from.answers);
        to.set_age_us(micros(from.age));
    }

    template <typename From, typename To> void encodeGossip(const From& from, To& to)
    {
        to.set_sequence(from.sequence);
        to.set_subject(from.subject.value());
        to.set_configuration(from.configuration.value());
        for (const Member& member : from.members)
            encode(member, *to.add_members());
        for (const GroupLoad& load : from.loads)
            encode(load, *to.add_loads());
        for (const StoreNews& news : from.storeNews)
            encode(news, *to.add_store_news());
    }

    void encode(const Request& from, wire::Request& to)
    {
        encode(from.id.value(), *to.mutable_id());
        to.set_organisation(from.organisation.value());
        to.set_rank(number(from.rank));
        to.set_kind(number(from.kind));
        to.set_target(from.target.value());
        if (from.timeLeft)
            to.set_time_left_us(micros(*from.timeLeft));
        to.set_idempotent(from.idempotent);
        to.set_idempotency_key(from.idempotencyKey);
        to.set_body_digest(from.bodyDigest);
        to.set_trace_parent(from.traceParent);
        to.set_prompt(from.prompt);
        to.set_prompt_tokens(from.promptTokens);
        to.set_max_tokens(from.maxTokens);
        to.set_method(from.method);
        to.set_path(from.path);
        to.set_content_type(from.contentType);
        to.set_body(from.body);
        to.set_submission(from.submission);
        for (const std::string& token : from.generated)
            to.add_generated(token);
    }

    void encode(const Result& from, wire::Result& to)
    {
        to.set_outcome(number(from.outcome));
        to.set_reason(number(from.reason));
        to.set_detail(cut(from.detail, internal::maxDetailBytes));
        if (from.retryAfter)
            to.set_retry_after_us(micros(*from.retryAfter));
        to.set_http_status(from.httpStatus);
        to.set_content_type(cut(from.contentType, internal::maxHeaderBytes));
        to.set_body(from.body);
        to.set_replayed(from.replayed);
        to.set_generated_tokens(from.generatedTokens);
        to.set_finish_reason(cut(from.finishReason, internal::maxIdBytes));
    }

    /// \param to A repeated field of `wire::RunnerLoad`.
    template <typename To> void encodeLoads(const LoadTable& from, To& to)
    {
        for (const auto& [runner, load] : from) {
            wire::RunnerLoad& added = *to.Add();
            added.set_runner(runner.value());
            added.set_cache(static_cast<float>(load.cache));
            added.set_sequences(static_cast<float>(load.sequences));
            added.set_first(static_cast<float>(load.firstStages));
            added.set_demand(static_cast<float>(load.demand));
        }
    }

    void encode(const RetryUse& from, wire::RetryUse& to)
    {
        to.set_hosts(static_cast<float>(from.hosts));
        to.set_shares(static_cast<float>(from.shares));
        for (const auto& [service, use] : from.services) {
            wire::ServiceRetries& added = *to.add_services();
            added.set_service(service.value());
            added.set_requests(static_cast<float>(use.requests));
            added.set_retries(static_cast<float>(use.retries));
            added.set_waiting(static_cast<float>(use.waiting));
        }
    }

    template <typename From, typename To> void encodeSubmission(const From& from, To& to)
    {
        encode(from.request.value(), *to.mutable_request());
        to.set_submission(from.submission);
    }

    void encodeDirectory(const DirectoryUpdate& from, wire::DirectoryUpdate& to)
    {
        to.set_era(from.era.value());
        to.set_version(from.version.value());
        to.set_age_us(micros(from.age));
        to.set_from(from.from.value());
        to.set_digest(from.digest.value());
        to.set_difference(from.isDifference);
        for (const KeyItem& change : from.changes) {
            wire::KeyItem& added = *to.add_changes();
            added.set_key(change.key);
            added.set_value(change.value);
            added.set_removed(change.removed);
            if (change.writtenHash)
                added.set_written_hash(*change.writtenHash);
        }
    }

    void encodeCrash(const CrashReport& from, wire::CrashReport& to)
    {
        to.set_runner(from.process.runner.value());
        to.set_started_at(from.process.startedAt);
        to.set_service(from.service.value());
        to.set_age_us(micros(from.age));
        to.set_id(from.id);
        for (const SuspectPart& suspect : from.suspects) {
            to.add_suspects(suspect.part.value());
            to.add_positions(suspect.position);
            to.add_answer_bits(suspect.answerBits);
        }
    }

    /// \brief Fills the alternative of `Body` that belongs to a message.
    struct BodyEncoder {
        wire::Body& body;

        void operator()(const Probe& from) const
        {
            encodeGossip(from, *body.mutable_probe());
            wire::Probe& to = *body.mutable_probe();
            to.set_on_behalf_of(from.onBehalfOf.value());
            to.set_full_state(from.fullState);
            to.set_hops(from.hops);
            for (const GroupLoad& load : from.remoteLoads)
                encode(load, *to.add_remote_loads());
        }

        void operator()(const ProbeReply& from) const { encodeGossip(from, *body.mutable_probe_reply()); }

        void operator()(const ConfigPull& from) const
        {
            body.mutable_config_pull()->set_version(from.version.value());
            body.mutable_config_pull()->set_offset(from.offset);
        }

        void operator()(const ConfigChunk& from) const
        {
            wire::ConfigChunk& to = *body.mutable_config_chunk();
            to.set_version(from.version.value());
            to.set_offset(from.offset);
            to.set_total(from.total);
            encode(from.digest, *to.mutable_digest());
            to.set_bytes(from.bytes);
        }

        void operator()(const Submit& from) const
        {
            wire::Submit& to = *body.mutable_submit();
            to.set_group(from.group.value());
            encode(from.request, *to.mutable_request());
            to.set_received(from.received);
        }

        void operator()(const Accepted& from) const { encodeSubmission(from, *body.mutable_accepted()); }

        void operator()(const Inquire& from) const
        {
            encodeSubmission(from, *body.mutable_inquire());
            body.mutable_inquire()->set_received(from.received);
        }

        void operator()(const NotKnown& from) const { encodeSubmission(from, *body.mutable_not_known()); }

        void operator()(const TokensDelivered& from) const
        {
            wire::TokensDelivered& to = *body.mutable_tokens();
            encodeSubmission(from, to);
            to.set_position(from.position);
            for (const std::string& token : from.tokens)
                to.add_tokens(token);
        }

        void operator()(const Finished& from) const
        {
            encodeSubmission(from, *body.mutable_finished());
            encode(from.result, *body.mutable_finished()->mutable_result());
        }

        void operator()(const Returned& from) const
        {
            encodeSubmission(from, *body.mutable_returned());
            body.mutable_returned()->set_reason(number(from.reason));
        }

        void operator()(const CancelRequest& from) const { encodeSubmission(from, *body.mutable_cancel()); }

        void operator()(const HostBeat& from) const
        {
            wire::HostBeat& to = *body.mutable_host_beat();
            to.set_sequence(from.sequence);
            to.set_echo(from.echo);
            to.set_data_centre(from.dataCentre.value());
            to.set_address(from.address);
            to.set_leaving(from.leaving);
            to.set_configuration(from.configuration.value());
            to.set_proof_age_us(micros(from.proofAge));
            to.set_configuration_text(from.configurationText);
            to.set_configuration_wanted(from.configurationWanted);
            encodeLoads(from.load.runners, *to.mutable_load());
            encode(from.load.retries, *to.mutable_retries());
            to.set_cells(from.cells);
            to.set_cell_leader(from.cellLeader);
            to.set_store_lost(from.storeLost);
            encodeLoads(from.otherCells.runners, *to.mutable_other_cells());
            encode(from.otherCells.retries, *to.mutable_other_cells_retries());
            for (const DataCentreLoad& remote : from.remote) {
                wire::DataCentreLoad& added = *to.add_remote();
                added.set_data_centre(remote.dataCentre.value());
                encodeLoads(remote.load.runners, *added.mutable_load());
                encode(remote.load.retries, *added.mutable_retries());
            }
            for (const RunnerSuspicion& suspicion : from.suspicions) {
                wire::RunnerSuspicion& added = *to.add_suspicions();
                added.set_runner(suspicion.runner.value());
                added.set_left_us(micros(suspicion.left));
            }
            for (const RunnerLeaving& leaving : from.leavingRunners) {
                wire::RunnerLeaving& added = *to.add_leaving_runners();
                added.set_runner(leaving.runner.value());
                added.set_started_at(leaving.startedAt);
            }
            to.set_crash_digest(from.crashDigest);
            for (const CrashReport& crash : from.crashes)
                encodeCrash(crash, *to.add_crashes());
            for (const RequestRateLimit& limit : from.rateLimits) {
                wire::RequestRateLimit& added = *to.add_rate_limits();
                added.set_runner(limit.runner.value());
                added.set_started_at(limit.startedAt);
                if (limit.rate)
                    added.set_rate(limit.rate->value());
                added.set_age_us(micros(limit.age));
            }
            encodeDirectory(from.runners, *to.mutable_runners());
            encodeDirectory(from.hosts, *to.mutable_hosts());
        }
    };

} // namespace

std::string encodePeerMessage(const PeerMessage& message)
{
    wire::Body body;
    std::visit(BodyEncoder { body }, message);
    return body.SerializeAsString();
}

} // namespace fuchsialb
