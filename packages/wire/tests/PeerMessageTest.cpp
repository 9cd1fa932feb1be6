#include "fuchsialb/Wire.h"
#include "tests/support/PeerMessages.h"

#include <peer.pb.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace fuchsialb;

namespace {

using Malformation = std::function<void(wire::Body&)>;

void fillRequest(wire::Body& body)
{
    body.mutable_submit()->set_group("g");
    wire::Request& request = *body.mutable_submit()->mutable_request();
    request.mutable_id()->set_low(1);
    request.set_organisation("o");
    request.set_target("t");
    request.set_idempotent(true);
    request.set_submission(1);
}

Malformation request(const std::function<void(wire::Request&)>& change)
{
    return [=](wire::Body& body) {
        fillRequest(body);
        change(*body.mutable_submit()->mutable_request());
    };
}

Malformation result(const std::function<void(wire::Result&)>& change)
{
    return [=](wire::Body& body) {
        body.mutable_finished()->mutable_request()->set_low(1);
        body.mutable_finished()->set_submission(1);
        change(*body.mutable_finished()->mutable_result());
    };
}

Malformation probe(const std::function<void(wire::Probe&)>& change)
{
    return [=](wire::Body& body) {
        body.mutable_probe()->set_subject("h");
        change(*body.mutable_probe());
    };
}

Malformation member(const std::function<void(wire::Member&)>& change)
{
    return probe([=](wire::Probe& body) {
        wire::Member& added = *body.add_members();
        added.set_host("h");
        added.set_data_centre("d");
        change(added);
    });
}

Malformation load(int waits, std::uint64_t wait)
{
    return probe([=](wire::Probe& body) {
        body.add_loads()->set_group("g");
        for (int i = 0; i < waits; ++i)
            body.mutable_loads(0)->add_wait_us(wait);
    });
}

Malformation chunk(std::uint64_t offset, std::uint64_t total, std::size_t bytes, bool digest = true)
{
    return [=](wire::Body& body) {
        body.mutable_config_chunk()->set_offset(offset);
        body.mutable_config_chunk()->set_total(total);
        body.mutable_config_chunk()->set_bytes(std::string(bytes, 'x'));
        if (digest)
            body.mutable_config_chunk()->mutable_digest();
    };
}

Malformation tokens(std::uint32_t position, int count)
{
    return [=](wire::Body& body) {
        body.mutable_tokens()->mutable_request();
        body.mutable_tokens()->set_submission(1);
        body.mutable_tokens()->set_position(position);
        for (int i = 0; i < count; ++i)
            body.mutable_tokens()->add_tokens("x");
    };
}

constexpr std::uint64_t week = 604'800'000'000;
constexpr std::uint64_t most = ~std::uint64_t { 0 };

const std::vector<std::pair<std::string, Malformation>> malformations {
    { "no kind", [](wire::Body&) {} },
    { "submit without request", [](wire::Body& body) { body.mutable_submit()->set_group("g"); } },
    { "empty group", [](wire::Body& body) { fillRequest(body), body.mutable_submit()->clear_group(); } },
    { "request without id", request([](auto& to) { to.clear_id(); }) },
    { "request without organisation", request([](auto& to) { to.clear_organisation(); }) },
    { "organisation too long", request([](auto& to) { to.set_organisation(std::string(256, 'x')); }) },
    { "unknown rank", request([](auto& to) { to.set_rank(3); }) },
    { "rank that wraps in a byte", request([](auto& to) { to.set_rank(256); }) },
    { "unknown target kind", request([](auto& to) { to.set_kind(2); }) },
    { "deadline over a week", request([](auto& to) { to.set_time_left_us(week + 1); }) },
    { "negative deadline", request([](auto& to) { to.set_time_left_us(most); }) },
    { "claim without key", request([](auto& to) { to.set_idempotent(false); }) },
    { "key too long", request([](auto& to) { to.set_idempotency_key(std::string(8193, 'x')); }) },
    { "path too long", request([](auto& to) { to.set_path(std::string(8193, 'x')); }) },
    { "unknown outcome", result([](auto& to) { to.set_outcome(3); }) },
    { "unknown reason", result([](auto& to) { to.set_reason(static_cast<std::uint32_t>(Reason::Internal) + 1); }) },
    { "negative retry", result([](auto& to) { to.set_retry_after_us(most); }) },
    { "http status", result([](auto& to) { to.set_http_status(99); }) },
    { "detail too long", result([](auto& to) { to.set_detail(std::string(4097, 'x')); }) },
    { "finished without result",
        [](wire::Body& body) {
            body.mutable_finished()->mutable_request();
            body.mutable_finished()->set_submission(1);
        } },
    { "finished without request",
        [](wire::Body& body) {
            body.mutable_finished()->mutable_result();
            body.mutable_finished()->set_submission(1);
        } },
    { "cancel without request", [](wire::Body& body) { body.mutable_cancel()->set_submission(1); } },
    { "returned without request", [](wire::Body& body) { body.mutable_returned()->set_submission(1); } },
    { "accepted without submission", [](wire::Body& body) { body.mutable_accepted()->mutable_request(); } },
    { "submission too large",
        [](wire::Body& body) {
            body.mutable_inquire()->mutable_request();
            body.mutable_inquire()->set_submission(256);
        } },
    { "request without submission", request([](auto& to) { to.clear_submission(); }) },
    { "reply without subject", [](wire::Body& body) { body.mutable_probe_reply(); } },
    { "too many hops", probe([](auto& to) { to.set_hops(9); }) },
    { "too many remote loads", probe([](auto& to) {
         for (int i = 0; i < 4097; ++i)
             for (wire::GroupLoad& added = *to.add_remote_loads(); added.wait_us_size() < 3; added.add_wait_us(1))
                 added.set_group("g");
     }) },
    { "too much store news", probe([](auto& to) {
         for (int i = 0; i < 65; ++i)
             to.add_store_news();
     }) },
    { "age of store news over a week", probe([](auto& to) { to.add_store_news()->set_age_us(week + 1); }) },
    { "too many members", probe([](auto& to) {
         for (int i = 0; i < 4097; ++i)
             to.add_members()->set_host("h"), to.mutable_members(i)->set_data_centre("d");
     }) },
    { "member without host", member([](auto& to) { to.clear_host(); }) },
    { "member state", member([](auto& to) { to.set_state(4); }) },
    { "address too long", member([](auto& to) { to.set_address(std::string(65, '1')); }) },
    { "too few waits", load(2, 1) },
    { "too many waits", load(4, 1) },
    { "wait over a week", load(3, week + 1) },
    { "negative wait", load(3, most) },
    { "chunk beyond total", chunk(6, 10, 5) },
    { "chunk offset that wraps", chunk(most, 10, 11) },
    { "chunk too large", chunk(0, 70'000, 65'537) },
    { "configuration too large", chunk(0, most, 1) },
    { "chunk without digest", chunk(0, 1, 1, false) },
    { "pull offset", [](wire::Body& body) { body.mutable_config_pull()->set_offset(most); } },
    { "position that wraps", tokens(0xffffffff, 1) },
    { "too many tokens", tokens(0, 131'073) },
};

} // namespace

// Guards against a peer's message with values that the core would index, cast or allocate by.
TEST_CASE("A malformed peer message is refused with a typed error")
{
    for (const auto& [name, malformation] : malformations) {
        DYNAMIC_SECTION(name)
        {
            wire::Body body;
            malformation(body);
            CHECK(reasonOf(decodePeerMessage(body.SerializeAsString()).status()) == Reason::MalformedMessage);
        }
    }
    SECTION("bytes that are no protobuf")
    {
        CHECK(reasonOf(decodePeerMessage("\xff\xff\xff").status()) == Reason::MalformedMessage);
    }
    SECTION("the unchanged parts of the table are accepted")
    {
        for (const Malformation& valid : { request([](auto&) {}), result([](auto&) {}), probe([](auto&) {}),
                 member([](auto&) {}), load(3, week), chunk(0, 1, 1), tokens(0xfffffffe, 1) }) {
            wire::Body body;
            valid(body);
            CHECK(decodePeerMessage(body.SerializeAsString()).status() == absl::OkStatus());
        }
    }
}

// Guards against a field that is lost or mixed up on the way.
TEST_CASE("Every valid peer message survives encoding and decoding")
{
    rc::detail::TestParams params;
    params.seed = 20;
    params.maxSuccess = 2000;
    const auto outcome = rc::detail::checkTestable(
        [] {
            Random random(*rc::gen::arbitrary<std::uint64_t>());
            const PeerMessage message = anyPeerMessage([&](std::uint64_t bound) { return random.below(bound); });
            const absl::StatusOr<PeerMessage> decoded = decodePeerMessage(encodePeerMessage(message));
            RC_ASSERT(decoded.ok());
            RC_ASSERT(sameMessage(message, *decoded));
        },
        rc::detail::TestMetadata {}, params);
    INFO(outcome);
    CHECK(outcome.is<rc::detail::SuccessResult>());
}

// Guards against a final answer that its receiver drops as malformed, which would leave the caller waiting.
TEST_CASE("Values that may drift out of range are brought into range on encoding")
{
    Request late;
    late.organisation = OrganisationId("o");
    late.target = TargetId("t");
    late.timeLeft = Duration(-5);
    const auto submit = decodePeerMessage(encodePeerMessage(Submit { GroupId("g"), late }));
    REQUIRE(submit.ok());
    CHECK(std::get<Submit>(*submit).request.timeLeft == Duration(0));

    Result verbose;
    verbose.detail = std::string(10'000, 'x');
    verbose.contentType = std::string(10'000, 'x');
    CHECK(decodePeerMessage(encodePeerMessage(Finished { RequestId(), 1, verbose })).ok());
}
